// The records that the decisions share: endpoints, replication groups and pending requests. Plain data.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/decaying_counter.hpp"
#include "balancer/events.hpp"
#include "balancer/time_math.hpp"

namespace sablespur::balancer {

// One observed latency of an endpoint, with what is needed to compare it with others.
struct LatencySample {
  double latency;  // microseconds; kUnansweredLatency: it never answered
  int classIndex;
  int load;  // requests outstanding at the endpoint when the attempt was sent
  Time at;
};

// An attempt whose outcome is still to come.
struct InFlightAttempt {
  RequestId request;
  int attempt;  // index into PendingRequest::attempts
  int classIndex;
  int load;  // requests outstanding at the endpoint before this one
  Time sentAt;
  bool mayLag;  // the endpoint's known position fell short of what the read required
};

// Latencies of an endpoint by whether it could answer at once or may have had to wait for replication.
struct LatencyWindows {
  std::vector<LatencySample> immediate;
  std::vector<LatencySample> delayed;
};

enum class Role { Unknown, Primary, Replica };

struct RoleEvidence {
  Role role = Role::Unknown;
  Time at = kNever;  // when the newest evidence was true
};

struct LagSample {
  Time at;
  Time lag;  // age of the known position at that instant
};

struct ReplicationProgress {
  Time position = kNever;   // all commits up to here are applied; a lower bound that only grows
  Time primaryAt = kNever;  // it was primary then, on this proxy's clock: it had all commits up to here
  std::vector<LagSample> lags;
};

// What is known of an endpoint's ability to answer (outlier_detection.hpp).
struct Health {
  int consecutiveFailures = 0;
  Time ejectedUntil = kNever;  // then one trial at a time, until one succeeds
  Time ejectionBackoff{};
  bool answersWithErrors = false;  // ejected for errors alone: it does answer
  bool checkInProgress = false;
  Time checkedAt = kNever;  // when the latest health check began
};

// When an endpoint was last used and heard of.
struct Contact {
  Time lastAnswer = kNever;          // to an attempt
  Time lastUsed = kNever;            // last send or answer; also a health check that showed stale data
  Time newestAnsweredSend = kNever;  // when the youngest of the answered attempts was sent
  Time lastReply = kNever;           // of any kind, health checks included
  Time lastGossip = kNever;          // latest instant of which another proxy has passed on a reply
};

struct ReportedLoad {
  int inFlight = 0;  // from all proxies
  Time at = kNever;
};

// What this proxy may send an endpoint that is warming up, in requests of mean work (slow_start.hpp).
struct SlowStartBudget {
  double balance = 0;
  Time updatedAt = kNever;
  // The latest draw for a fraction of a request: when, for which request, what it costs if it is sent.
  Time drawnAt = kNever;
  RequestId drawnFor = 0;
  double price = 0;
  bool granted = false;
};

struct Endpoint {
  ListedEndpoint listed;
  bool seenDraining = false;
  bool suspended = false;  // by an administrator, whatever the list says
  Time suspendedAt = kNever;
  Time goneAt = kNever;  // when the list first lacked it
  RoleEvidence role;
  ReplicationProgress replication;
  LatencyWindows latencies;
  Health health;
  Contact contact;
  ReportedLoad reportedLoad;
  std::vector<InFlightAttempt> inFlight;
  std::uint64_t tieBreaker = 0;  // this proxy's own order of endpoints that are alike
  DecayingCounter served;        // its answers to this proxy, in requests of mean work
  SlowStartBudget readBudget;
  SlowStartBudget writeBudget;
};

// The search for a primary that neither the list nor an answer has named.
struct PrimaryDiscovery {
  Time wantedAt = kNever;               // when a write last needed the primary
  Time dataWantedAt = kNever;           // when a read last needed its data, as no other endpoint had them
  RequestId write = 0;                  // the one write that tries the endpoints in turn; 0: none
  std::uint64_t exhaustedInUpdate = 0;  // no endpoint was it, as of this list update; 0: not tried in vain
  Time nextRoundAt = kNever;            // without health checks: when the endpoints are tried anew
  Time roundBackoff{};                  // pause after the next round in vain; 0: the shortest
};

struct Group {
  std::vector<EndpointId> endpoints;  // ascending: the order in which writes look for a primary
  EndpointId primary = 0;             // 0: none known
  Time troubleAt = kNever;            // latest time-out, ejection or refusal of a stale read
  PrimaryDiscovery discovery;
  Time forgottenCommit = kNever;  // sessions that are no longer remembered may have written until then
  std::vector<RequestId> waiting;
};

struct Attempt {
  EndpointId endpoint;
  Time sentAt;
  Time requiredPosition = kNever;  // of a read when it was sent; kNever: any data will do
  bool inFlight = true;
  bool cancelled = false;
};

// The earliest attempt that may have run: what bounds further ones of a request that is not idempotent.
struct PossibleExecution {
  Time sentAt{};
  EndpointId endpoint = 0;  // 0: an earlier request of the same key, it is not known where
};

// The endpoint that a read has chosen, while it waits for a check that tells whether it is still the primary.
struct AwaitedChoice {
  EndpointId endpoint = 0;
  Time until{};  // then the read goes there without the check's reply
};

struct PendingRequest {
  Request request;
  Time arrivedAt{};
  Time requiredPosition = kNever;  // session and strong reads: data must reach this; kNever: any data will do
  std::vector<Attempt> attempts;
  std::vector<EndpointId> tried;  // in this round over the endpoints
  int outstanding = 0;            // attempts in flight
  bool reachedEndpoint = false;   // some endpoint has had it, whatever came of it
  std::optional<PossibleExecution> possibleExecution;
  bool waiting = false;
  bool healthChecksAwaited = false;  // its next attempt has already waited for health checks
  std::optional<AwaitedChoice> awaitedChoice;
};

}  // namespace sablespur::balancer
