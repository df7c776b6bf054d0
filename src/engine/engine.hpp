// Connects the balancer to the event loop: queues events, passes them to the balancer in turns, and
// executes the balancer's decisions.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "engine/clock.hpp"
#include "engine/endpoint_registry.hpp"
#include "engine/endpoint_start_times.hpp"
#include "engine/event.hpp"
#include "engine/interfaces.hpp"
#include "engine/list_limit_monitor.hpp"
#include "engine/primary_lag_monitor.hpp"
#include "engine/process_presence.hpp"
#include "engine/queued_event.hpp"
#include "engine/reference_time.hpp"
#include "engine/replication_status.hpp"
#include "engine/timer_queue.hpp"

namespace sablespur {

// Owns the balancer, its timers and the endpoint registry.
//
// Calls from outside only queue an event; runTurn() passes the queued events to the balancer. As
// the balancer's ActionSink the engine only records actions and executes them at the end of the
// turn, so that the balancer is never called from within one of its own calls.
class Engine final : public RequestHandler, public EndpointListConsumer, balancer::ActionSink {
 public:
  // The Config must outlive the Engine.
  Engine(event_base*, const Config&, ClockSource = {});
  ~Engine() override;
  // Null: no observer. An observer must outlive the last turn.
  void setAttemptObserver(AttemptObserver* observer) { collaborators_.attempts = observer; }
  void setReplicationObserver(ReplicationObserver* observer) { collaborators_.replication = observer; }
  // Null: this is the only process of the proxy. The presence must outlive the last turn.
  void setProcessPresence(ProcessPresence* presence) { collaborators_.processes = presence; }
  // Queues the known list of the settings. Both arguments must outlive the last turn.
  void start(Backend&, DiscoverySource&);

  RequestId request(ResponseHandler&, balancer::Request, RequestMessage) override;
  void clientDisconnected(RequestId) override;
  // Reports that a new connection is ready for an attempt; answered by Backend::continueAttempt.
  void connectionReady(RequestId, int attempt);
  void attemptEnded(RequestId, int attempt, EndpointId, AttemptEnd);
  // `report` holds the values of the configured report fields; positions in Unix seconds.
  void healthCheckEnded(EndpointId, bool healthy, const std::vector<double>& report);
  // Queues an update from another proxy. Updates of unknown endpoints, and those that arrive faster
  // than they are handled, are ignored.
  void gossipReceived(const cluster::GossipUpdate&);
  void endpointsListed(EndpointList) override;
  void discoveryFailed(const std::string& why) override;
  void listLimited(std::optional<Time> until, ListLimit) override;
  std::uint64_t generation() const override { return list_.generation; }

  // Suspends or restores an endpoint in the next turn. Returns false if the endpoint was never
  // listed.
  bool suspend(const std::string& name, bool suspended);
  // Called before start() for each suspension that an earlier process of this proxy has recorded.
  void restoreSuspension(const std::string& name);
  // Replaces the balancer's settings in the next turn.
  void updateSettings(const balancer::Settings&);

  // Returns an empty string if the endpoint is unknown or has been removed.
  std::string endpointName(EndpointId id) const { return endpoints_.name(id); }
  // Number of requests sent to an endpoint that had been listed as draining or gone for more than
  // half of the drain grace period.
  std::uint64_t sendsToDraining() const { return sendsToDraining_; }
  // Number of session reads for which commits of another process of this proxy had to be assumed.
  std::uint64_t readsWithUnseenCommits() const { return readsWithUnseenCommits_; }
  // Number of requests rejected while the endpoint list was too old to be used.
  std::uint64_t rejectionsForListAge() const { return listLimit_.rejections(); }
  // Number of answers withheld from clients because their replication position showed stale data.
  std::uint64_t staleAnswersWithheld() const { return staleAnswersWithheld_; }
  ReferenceClock::Summary referenceClock() const { return reference_.summary(); }
  // Number of primaries whose last reported position was behind the reference clock.
  std::size_t laggingPrimaries() const { return primaryLags_.laggingCount(); }
  bool hasPendingEvents() const { return !events_.empty(); }
  // Changes with each turn.
  std::uint64_t turn() const { return turn_; }
  void runTurn();
  // Removes endpoints that are gone and have nothing in flight; runTurn() calls this once a second.
  void removeExpired(Time now);

  Time now() const { return clock_.now(); }
  const Clock& clock() const { return clock_; }
  // Unix time by the reference clock, for comparison with time stamps of other machines. Durations
  // are measured with now().
  Time unixNow() const { return clock_.now() + reference_.offset(); }
  // The reference clock's Unix time minus now().
  Time clockOffset() const { return reference_.offset(); }

 private:
  // The objects that the engine calls; set before the first turn.
  struct Collaborators {
    Backend* backend = nullptr;
    DiscoverySource* discovery = nullptr;
    AttemptObserver* attempts = nullptr;         // null: no observer
    ReplicationObserver* replication = nullptr;  // null: no observer
    ProcessPresence* processes = nullptr;        // null: no other process of this proxy can run
  };
  struct InFlightAttempt {
    EndpointId endpoint;
    Time sentAt;
  };
  struct PendingRequest {
    ResponseHandler* handler = nullptr;  // null: the client has disconnected
    std::shared_ptr<const RequestMessage> message;
    int classIndex = 0;
    bool mayHaveRunBefore = false;          // an earlier request with the same key
    std::vector<InFlightAttempt> attempts;  // indexed by attempt number; ended attempts stay
    const InFlightAttempt& attempt(int number) const { return attempts[static_cast<std::size_t>(number)]; }
  };
  // State of the endpoint list last received.
  struct ListState {
    std::uint64_t generation = 0;
    int applied = 0;  // number of lists applied
  };

  // The steps of a turn.
  void followWallClock();
  void advancePositionEpoch();
  void handleQueuedEvents();
  void fireDueTimers();
  void performActions();
  void armWakeup();

  void handle(engine_event::RequestReceived&);
  void handle(engine_event::ClientDisconnected&);
  void handle(engine_event::ConnectionReady&);
  void handle(engine_event::AttemptEnded&);
  void handle(engine_event::HealthCheckEnded&);
  void handle(engine_event::EndpointsListed&);
  void handle(engine_event::DiscoveryFailed&);
  void handle(engine_event::ListLimited&);
  void handle(engine_event::GossipReceived&);
  void handleGossip(const cluster::GossipUpdate&);
  void handle(engine_event::SuspensionChanged&);
  void handle(engine_event::SettingsUpdated&);

  // Tells the balancer if another process of this proxy may have answered writes. Checks once a turn.
  void detectUnseenCommits();
  bool dependsOnSessionCommits(const balancer::Request&) const;
  // Counts and logs a request that is sent to an endpoint after half of its drain grace period.
  void recordSend(RequestId, EndpointId, const char* reason);

  // Processing of answers: the response to the client, and updates to other proxies and the
  // reference clock.
  balancer::AttemptOutcome outcomeOf(const engine_event::AttemptEnded&) const;
  void withholdStaleAnswer(EndpointId, AttemptEnd&);
  void respond(const PendingRequest&, AttemptEnd&);
  void shareStatus(const engine_event::AttemptEnded&);
  void shareStatus(const engine_event::HealthCheckEnded&);
  void observeAnswer(EndpointId, const cluster::GossipUpdate& status, std::optional<Time> sentAt,
                     bool isNewCommit);
  // Whether the answer is to a write that can only have run with this attempt.
  bool isNewCommit(const PendingRequest&, const engine_event::AttemptEnded&) const;
  void observePrimaryLag(EndpointId, Time position);
  void forgetPrimary(EndpointId);
  // `cause` is the endpoint whose answer may have moved the reference clock; std::nullopt: the wall
  // clock.
  void applyClockOffset(std::optional<EndpointId> cause);
  Time positionEpochUnix() const { return positionEpoch_ + reference_.offset(); }

  // The endpoint list.
  void applyList(balancer::ListKind, const EndpointList&);
  balancer::ListedEndpoint listEndpoint(const DiscoveredEndpoint&, bool inInitialLists);
  int zoneIndex(const std::string& zone) const;
  void markUnlistedNotReady(const std::vector<balancer::ListedEndpoint>& listed);

  // balancer::ActionSink
  void send(RequestId, EndpointId, Time until) override;
  void reject(RequestId, Time retryAfter) override;
  void fail(RequestId) override;
  void cancel(RequestId, int attempt) override;
  void scheduleTimer(Time in, std::uint64_t token) override;
  void startHealthCheck(EndpointId) override;
  void subscribe() override;

  const Config& config_;
  Collaborators collaborators_;

  Clock clock_;
  ReferenceTime reference_;
  PrimaryLagMonitor primaryLags_;
  std::uint64_t turn_ = 1;
  Time now_;                                // time of the current turn
  Time positionEpoch_;                      // zero point of the balancer's positions, on clock_
  Time lastExpiryAt_{};                     // last call of removeExpired()
  std::optional<Time> processesCheckedAt_;  // turn in which detectUnseenCommits() last checked
  bool unseenCommits_ = false;              // as found then

  std::vector<engine_event::QueuedEvent> events_;
  std::vector<cluster::GossipUpdate> gossip_;   // not handled yet; storage is reused
  std::vector<std::function<void()>> actions_;  // in order of execution
  std::unordered_map<RequestId, PendingRequest> requests_;
  RequestId lastRequest_ = 0;
  std::uint64_t sendsToDraining_ = 0;
  std::uint64_t staleAnswersWithheld_ = 0;
  std::uint64_t readsWithUnseenCommits_ = 0;

  EndpointRegistry endpoints_;
  EndpointStartTimes startTimes_;
  std::unordered_set<std::string> suspended_;  // by name
  ListState list_;
  ListLimitMonitor listLimit_;

  TimerQueue timers_;
  Event wakeup_;  // wakes the event loop when the first timer is due
  std::unique_ptr<balancer::Balancer> balancer_;
};

}  // namespace sablespur
