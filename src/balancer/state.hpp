// Plain data shared by the decisions: endpoints, replication groups and pending requests.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/decaying_counter.hpp"
#include "balancer/events.hpp"
#include "balancer/time_math.hpp"

namespace sablespur::balancer {

// An observed latency of an endpoint, with what is needed to compare it with others.
struct LatencySample {
  double latency;  // microseconds; kUnansweredLatency: no answer came
  int classIndex;
  int load;  // requests outstanding at the endpoint when the attempt was sent
  Time at;
};

// An attempt whose outcome has not arrived yet.
struct InFlightAttempt {
  RequestId request;
  int attempt;  // index into PendingRequest::attempts
  int classIndex;
  int load;  // requests outstanding at the endpoint before this one
  Time sentAt;
  bool mayLag;  // the endpoint's known position was below what the read required
};

// Latencies of an endpoint, separated by whether its data were known to be fresh enough (immediate)
// or it may have had to wait for replication (delayed).
struct LatencyWindows {
  std::vector<LatencySample> immediate;
  std::vector<LatencySample> delayed;
};

enum class Role { Unknown, Primary, Replica };

struct RoleEvidence {
  Role role = Role::Unknown;
  Time at = kNever;  // instant at which the newest evidence was true
};

struct LagSample {
  Time at;
  Time lag;  // age of the known position at `at`
};

struct ReplicationProgress {
  Time position = kNever;  // all commits up to here are applied; a lower bound that never decreases
  // Latest instant, on this proxy's clock, at which it is known to have been primary and so had all
  // commits up to then.
  Time primaryAt = kNever;
  std::vector<LagSample> lags;
};

// Health of an endpoint as seen by outlier detection (outlier_detection.hpp).
struct Health {
  int consecutiveFailures = 0;
  Time ejectedUntil = kNever;  // after that one trial attempt at a time, until one is answered
  Time ejectionBackoff{};
  bool answersWithErrors = false;  // ejected for errors only; the endpoint does answer
  bool checkInProgress = false;
  Time checkedAt = kNever;  // when the latest health check began
};

// When an endpoint was last used, and when it last replied to this proxy or, by gossip, to others.
struct Contact {
  Time lastAnswer = kNever;  // to an attempt
  Time lastUsed = kNever;    // last send or answer, or a health check that showed stale data
  // Send time of the most recently sent attempt that was answered.
  Time newestAnsweredSend = kNever;
  Time lastReply = kNever;   // of any kind, including to health checks
  Time lastGossip = kNever;  // newest reply to another proxy that gossip has reported
};

struct ReportedLoad {
  int inFlight = 0;  // requests of all proxies
  Time at = kNever;
};

// Budget of what this proxy may send to an endpoint that is warming up, in requests of mean work
// (slow_start.hpp).
struct SlowStartBudget {
  double balance = 0;
  Time updatedAt = kNever;
  // The latest draw: when, for which request, its price, and whether it was granted.
  Time drawnAt = kNever;
  RequestId drawnFor = 0;
  double price = 0;
  bool granted = false;
};

struct Endpoint {
  ListedEndpoint listed;
  bool seenDraining = false;
  bool suspended = false;  // by an administrator, regardless of the list
  Time suspendedAt = kNever;
  Time goneAt = kNever;  // when it first became absent from the list or was listed as gone
  RoleEvidence role;
  ReplicationProgress replication;
  LatencyWindows latencies;
  Health health;
  Contact contact;
  ReportedLoad reportedLoad;
  std::vector<InFlightAttempt> inFlight;
  std::uint64_t tieBreaker = 0;  // orders otherwise equal endpoints, differently at each proxy
  DecayingCounter served;        // answers to this proxy, in requests of mean work
  SlowStartBudget readBudget;
  SlowStartBudget writeBudget;
};

// State of the search for a primary that neither the list nor an answer has named.
struct PrimaryDiscovery {
  Time wantedAt = kNever;  // when a write last needed the primary
  // When a read last needed its data because no other endpoint had them.
  Time dataWantedAt = kNever;
  RequestId write = 0;  // the write that tries the endpoints in turn; 0: none
  // List update in which no endpoint turned out to be primary; 0: no round has failed.
  std::uint64_t exhaustedInUpdate = 0;
  Time nextRoundAt = kNever;  // without health checks: start of the next round over the endpoints
  Time roundBackoff{};        // pause after the next unsuccessful round; 0: the shortest
};

struct Group {
  std::vector<EndpointId> endpoints;  // ascending; writes search for a primary in this order
  EndpointId primary = 0;             // 0: none known
  Time lastFailureAt = kNever;        // latest time-out, ejection, stale answer or TooStale
  PrimaryDiscovery discovery;
  std::vector<RequestId> waiting;
};

struct Attempt {
  EndpointId endpoint;
  Time sentAt;
  Time requiredPosition = kNever;  // of a read when it was sent; kNever: data of any age will do
  bool inFlight = true;
  bool cancelled = false;
};

// The earliest attempt that may have run. Limits further attempts of a request that is not
// idempotent.
struct PossibleExecution {
  Time sentAt{};
  EndpointId endpoint = 0;  // 0: an earlier request with the same key, at an unknown endpoint
};

// The endpoint that a read has chosen, while it waits for a health check to confirm that the
// endpoint is still primary.
struct AwaitedChoice {
  EndpointId endpoint = 0;
  Time until{};  // after that the read is sent without waiting for the check
};

struct PendingRequest {
  Request request;
  Time arrivedAt{};
  // Session and strong reads: least position of the data; kNever: any data will do.
  Time requiredPosition = kNever;
  std::vector<Attempt> attempts;
  std::vector<EndpointId> tried;  // in the current round over the endpoints
  int outstanding = 0;            // attempts in flight
  bool reachedEndpoint = false;   // an attempt has reached an endpoint, whatever its outcome
  std::optional<PossibleExecution> possibleExecution;
  bool waiting = false;
  bool sessionUnknown = false;       // a write that arrived before session reads were possible
  bool healthChecksAwaited = false;  // the next attempt has already waited for health checks
  std::optional<AwaitedChoice> awaitedChoice;
};

}  // namespace sablespur::balancer
