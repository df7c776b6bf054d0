// Public interface of the decision module: the Balancer, and the sink for the actions that it
// decides on.
//
// The embedding program owns the network and the clock. It passes events to a Balancer one at a
// time, in order. The Balancer calls the ActionSink for each action before the event returns. A
// Balancer does no I/O, reads no clock, starts no thread and shares nothing with other Balancers:
// the same settings, seed and events produce the same actions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "balancer/events.hpp"
#include "balancer/settings.hpp"

namespace sablespur::balancer {

// Carries out the actions of a Balancer. Calls are made during an event, in the order in which they
// take effect.
class ActionSink {
 public:
  virtual ~ActionSink() = default;

  // Sends an attempt of the request. An answer is useful until `until`; 0: until the client leaves.
  virtual void send(RequestId, EndpointId, Time until) = 0;

  // Final answer: the request has taken no effect, or may safely be repeated. `retryAfter` 0: the
  // answer carries no retry advice.
  virtual void reject(RequestId, Time retryAfter) = 0;

  // Final answer: the request may have run.
  virtual void fail(RequestId) = 0;

  // Cancels an attempt. Its outcome must still be passed to Balancer::attemptEnded.
  virtual void cancel(RequestId, int attempt) = 0;

  // Schedules a call of Balancer::timerFired with the token, `in` from now and never earlier.
  virtual void scheduleTimer(Time in, std::uint64_t token) = 0;

  // Starts a health check, whose end is passed to Balancer::healthCheckEnded.
  virtual void startHealthCheck(EndpointId) = 0;

  // Requests the endpoint list from discovery; the response is passed to Balancer::endpointsListed.
  virtual void subscribe() = 0;
};

struct Context;

// Decides for each request to which endpoint it is sent and when it is given up.
//
// Every call takes the current time, which must not decrease. Events about unknown or forgotten
// requests and endpoints are ignored. The sink must outlive the Balancer and must not call into it.
// The constructor throws std::invalid_argument if the settings contradict each other; no other call
// throws except when memory runs out.
class Balancer {
 public:
  Balancer(const Settings&, std::uint64_t seed, ActionSink&);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) = delete;

  // The endpoint list or changes to it. The first call is made right after construction.
  void endpointsListed(Time now, ListKind, const std::vector<ListedEndpoint>&);

  // The endpoint list may be used until `until`, unless a later call allows more; std::nullopt:
  // without limit, as at the start. After that, requests wait and are rejected when their time is up.
  void limitList(Time now, std::optional<Time> until);

  // A client's request. From this call on, the Balancer must give it exactly one final answer.
  void request(Time now, const Request&);

  // Called exactly once for each attempt that was sent, including one that timed out at the
  // client's deadline.
  void attemptEnded(Time now, const AttemptOutcome&);

  // The client has disconnected. No answer is owed any more, but the outcomes of its attempts are
  // still reported.
  void clientDisconnected(Time now, RequestId);

  // Called exactly once for each health check.
  void healthCheckEnded(Time now, const HealthCheckResult&);

  void timerFired(Time now, std::uint64_t token);

  // Passes on what another proxy received from an endpoint: a replication status as in
  // AttemptOutcome, and the class and latency of the request that was answered (a class below 0:
  // none). Gossip may be old or get lost.
  void gossipReceived(Time now, EndpointId, std::uint32_t replicationStatus, int classIndex, Time latency);

  // Returns whether an attempt that had to wait for its connection may still be sent. Meanwhile the
  // endpoint may have begun to drain, or its data may have become too old. If false, the outcome of
  // the attempt is AttemptResult::NotSent.
  bool maySendNow(Time now, RequestId, EndpointId);

  // Returns whether the answer of an attempt that ended with AttemptResult::Ok may be given to the
  // client. False if it did not come from a primary and its data may be older than its class
  // allows; the outcome of the attempt is then AttemptResult::StaleAnswer.
  bool isFreshEnough(Time now, const AttemptOutcome&);

  // Suspends or restores an endpoint for an administrator, regardless of the list. A suspended
  // endpoint gets no new requests or health checks; attempts in flight continue. A restored
  // endpoint counts as just started, unless the list reports a later start.
  void suspend(Time now, EndpointId, bool suspended);

  // Another process may have answered writes of any session until now. Session reads whose clients
  // do not send their last commit require data of this instant from then on. To be called in the
  // turn of such a read, before the read.
  void unseenCommitsPossible(Time now);

  // Replaces the settings. Classes that pending requests may use keep their indices; new classes
  // are appended.
  void updateSettings(Time now, const Settings&);

  // Removes the endpoints that were gone for long enough and of which no event is outstanding.
  // Returns their ids, which the caller may drop.
  std::vector<EndpointId> removeExpiredEndpoints(Time now);

  // Sets the origin of the positions in later answers and reports.
  void setPositionEpoch(Time epoch);

  // Shifts the stored instants that come from other machines' clocks after the caller's estimate of
  // those clocks has changed. They lie `by` later on the caller's clock than was assumed; earlier
  // if it is negative.
  void referenceClockMoved(Time now, Time by);

 private:
  std::unique_ptr<Context> context_;
};

}  // namespace sablespur::balancer
