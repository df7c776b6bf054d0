// The event loop's turn: gathers events, hands them to the balancer, and carries out what it decides.
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
#include "engine/queued_event.hpp"
#include "engine/reference_time.hpp"
#include "engine/replication_status.hpp"
#include "engine/timer_queue.hpp"

namespace sablespur {

// Owns the balancer, its timers and the identity of endpoints. Calls from outside only queue an event; the
// next turn hands it to the balancer. As the balancer's ActionSink it only records actions, so the balancer
// is never entered from within one of its own calls; the actions are carried out at the end of the turn.
class Engine final : public RequestHandler, public EndpointListConsumer, balancer::ActionSink {
 public:
  // The settings have to outlive it.
  Engine(event_base*, const Config&, ClockSource = {});
  ~Engine() override;
  // Null: none. An observer has to outlive the last turn.
  void setAttemptObserver(AttemptObserver* observer) { neighbours_.attempts = observer; }
  void setReplicationObserver(ReplicationObserver* observer) { neighbours_.replication = observer; }
  // Queues the endpoint list of the settings. Both have to outlive the last turn.
  void start(Backend&, DiscoverySource&);

  RequestId request(ResponseHandler&, balancer::Request, RequestMessage) override;
  void clientDisconnected(RequestId) override;
  // A new connection is ready for an attempt; answered by Backend::continueAttempt.
  void connectionReady(RequestId, int attempt);
  void attemptEnded(RequestId, int attempt, EndpointId, AttemptEnd);
  // `report` holds the values of the configured report fields; positions in Unix seconds.
  void healthCheckEnded(EndpointId, bool healthy, const std::vector<double>& report);
  // From another proxy. Updates of endpoints that this proxy does not know are ignored.
  void gossipReceived(const cluster::GossipUpdate&);
  void endpointsListed(EndpointList) override;
  void discoveryFailed(const std::string& why) override;
  std::uint64_t generation() const override { return list_.generation; }

  // Suspends or restores an endpoint in the next turn. False: the endpoint list has never named it.
  bool suspend(const std::string& name, bool suspended);
  // Before the start: a suspension that an earlier process of this proxy has recorded.
  void restoreSuspension(const std::string& name);
  // Replaces the balancer's settings in the next turn.
  void updateSettings(const balancer::Settings&);

  // Empty for an endpoint that is not known (any more).
  std::string endpointName(EndpointId id) const { return endpoints_.name(id); }
  // Requests that went to an endpoint listed as draining or gone for over half of the grace.
  std::uint64_t sendsToDraining() const { return sendsToDraining_; }
  // Answers that were not given to their clients, as they showed that their data were too old.
  std::uint64_t staleAnswersWithheld() const { return staleAnswersWithheld_; }
  bool hasPendingEvents() const { return !events_.empty(); }
  void runTurn();
  // Forgets endpoints that are gone and have nothing in flight; runTurn() does so once a second.
  void removeExpired(Time now);

  Time now() const { return clock_.now(); }
  const Clock& clock() const { return clock_; }
  // Unix time by the reference clock, for comparison with instants of other machines; spans are measured
  // with now().
  Time unixNow() const { return clock_.now() + reference_.offset(); }
  // Unix time of other machines less now().
  Time clockOffset() const { return reference_.offset(); }

 private:
  // What the engine calls; set before the first turn.
  struct Neighbours {
    Backend* backend = nullptr;
    DiscoverySource* discovery = nullptr;
    AttemptObserver* attempts = nullptr;         // null: none
    ReplicationObserver* replication = nullptr;  // null: none
  };
  struct InFlightAttempt {
    EndpointId endpoint;
    Time sentAt;
  };
  struct PendingRequest {
    ResponseHandler* handler = nullptr;  // null: the client has disconnected
    std::shared_ptr<const RequestMessage> message;
    int classIndex = 0;
    std::vector<InFlightAttempt> attempts;  // by number; ended ones stay
    const InFlightAttempt& attempt(int number) const { return attempts[static_cast<std::size_t>(number)]; }
  };
  // The endpoint list as it was last received.
  struct ListState {
    std::uint64_t generation = 0;
    int applied = 0;  // lists so far
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
  void handle(engine_event::GossipReceived&);
  void handle(engine_event::SuspensionChanged&);
  void handle(engine_event::SettingsUpdated&);

  // Counts and logs a request that goes to an endpoint that has been draining for long.
  void recordSend(RequestId, EndpointId, const char* reason);

  // Answers: what the client is sent, what other proxies and the reference clock learn.
  balancer::AttemptOutcome outcomeOf(const engine_event::AttemptEnded&) const;
  void withholdStaleAnswer(EndpointId, AttemptEnd&);
  void respond(const PendingRequest&, AttemptEnd&);
  void shareStatus(const engine_event::AttemptEnded&);
  void shareStatus(const engine_event::HealthCheckEnded&);
  void observeAnswer(EndpointId, const cluster::GossipUpdate& status, std::optional<Time> sentAt);
  void applyClockOffset();
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
  Neighbours neighbours_;

  Clock clock_;
  ReferenceTime reference_;
  Time now_;             // of this turn
  Time positionEpoch_;   // the balancer counts positions from here, on clock_
  Time lastExpiryAt_{};  // of removeExpired()

  std::vector<engine_event::QueuedEvent> events_;
  std::vector<cluster::GossipUpdate> gossip_;   // since the last turn; keeps its storage
  std::vector<std::function<void()>> actions_;  // in the order in which they take effect
  std::unordered_map<RequestId, PendingRequest> requests_;
  RequestId lastRequest_ = 0;
  std::uint64_t sendsToDraining_ = 0;
  std::uint64_t staleAnswersWithheld_ = 0;

  EndpointRegistry endpoints_;
  EndpointStartTimes startTimes_;
  std::unordered_set<std::string> suspended_;  // by name
  ListState list_;

  TimerQueue timers_;
  Event wakeup_;  // ends the loop's wait when the first timer is due
  std::unique_ptr<balancer::Balancer> balancer_;
};

}  // namespace sablespur
