// The event loop's turn: gathers events, hands them to the balancer, and carries out what it decides.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "engine/clock.hpp"
#include "engine/endpoint_registry.hpp"
#include "engine/endpoint_start_times.hpp"
#include "engine/event.hpp"
#include "engine/interfaces.hpp"
#include "engine/reference_clock.hpp"
#include "engine/replication_status.hpp"

namespace sablespur {

// Owns the balancer, its timers and the identity of endpoints. Calls from outside only queue an event; the
// next turn hands it to the balancer. As the balancer's ActionSink it only records actions, so the balancer
// is never entered from within one of its own calls; the actions are carried out at the end of the turn.
class Engine final : public RequestHandler, public EndpointListConsumer, balancer::ActionSink {
 public:
  Engine(event_base*, const Config&, ClockSource = {});
  ~Engine() override;
  void setAttemptObserver(AttemptObserver* observer) { attemptObserver_ = observer; }  // null: none
  void setReplicationObserver(ReplicationObserver* observer) { replicationObserver_ = observer; }
  // Queues the endpoint list of the settings. Both have to outlive the last turn.
  void start(Backend&, DiscoverySource&);

  RequestId request(ResponseHandler&, balancer::Request, RequestMessage) override;
  void clientDisconnected(RequestId) override;
  // A new connection is ready for an attempt; answered by Backend::continueAttempt.
  void connectionReady(RequestId, int attempt);
  void attemptEnded(RequestId, int attempt, EndpointId, AttemptEnd);
  // `report` holds the values of the configured report fields; positions in Unix seconds.
  void healthCheckEnded(EndpointId, bool ok, const std::vector<double>& report);
  // From another proxy. Updates of endpoints that this proxy does not know are ignored.
  void gossipReceived(const cluster::GossipUpdate&);
  void endpointsListed(EndpointList) override;
  void discoveryFailed(const std::string& why) override;
  std::uint64_t generation() const override { return generation_; }

  // Suspends or restores an endpoint in the next turn. False: the endpoint list has never named it.
  bool suspend(const std::string& name, bool on);
  // Before the start: a suspension that an earlier process of this proxy has recorded.
  void restoreSuspension(const std::string& name);
  // Replaces the balancer's settings in the next turn.
  void updateSettings(const balancer::Settings&);

  std::string endpointName(EndpointId id) const { return endpoints_.name(id); }
  bool hasPendingEvents() const { return !events_.empty(); }
  void runTurn();
  // Forgets endpoints that are gone and have nothing in flight; runTurn() does so once a second.
  void removeExpired(Time now);

  Time now() const { return clock_.now(); }
  const Clock& clock() const { return clock_; }
  // Unix time by the reference clock, for comparison with instants of other machines; spans are measured
  // with now().
  Time unixNow() const { return clock_.now() + clockOffset_; }
  Time clockOffset() const { return clockOffset_; }

 private:
  struct RequestReceived {
    balancer::Request request;
  };
  struct ClientDisconnected {
    RequestId request;
  };
  struct ConnectionReady {
    RequestId request;
    int attempt;
  };
  struct AttemptEnded {
    RequestId request;
    int attempt;
    EndpointId endpoint;
    AttemptEnd end;
  };
  struct HealthCheckEnded {
    EndpointId endpoint;
    bool ok;
    std::vector<double> report;
  };
  struct EndpointsListed {
    EndpointList list;
  };
  struct DiscoveryFailed {};
  struct GossipReceived {};  // the updates are in gossip_
  struct SuspensionChanged {
    std::string name;
    bool on;
  };
  struct SettingsUpdated {
    balancer::Settings settings;
  };
  using QueuedEvent =
      std::variant<RequestReceived, ClientDisconnected, ConnectionReady, AttemptEnded, HealthCheckEnded,
                   EndpointsListed, DiscoveryFailed, GossipReceived, SuspensionChanged, SettingsUpdated>;

  struct InFlightAttempt {
    EndpointId endpoint;
    Time sentAt;
  };
  struct PendingRequest {
    ResponseHandler* handler;  // null: the client has disconnected
    std::shared_ptr<const RequestMessage> message;
    int classIndex;
    std::vector<InFlightAttempt> attempts;  // by number; ended ones stay
    const InFlightAttempt& attempt(int number) const { return attempts[static_cast<std::size_t>(number)]; }
  };
  struct Timer {
    Time due;
    std::uint64_t sequence;  // timers due at the same time fire in the order in which they were set
    std::uint64_t token;
    bool operator>(const Timer& other) const {
      return due != other.due ? due > other.due : sequence > other.sequence;
    }
  };
  using Timers = std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>>;

  // The steps of a turn.
  void followWallClock();
  void advancePositionEpoch();
  void handleQueuedEvents();
  void fireDueTimers();
  void performActions();
  void armWakeup();

  void handle(RequestReceived&);
  void handle(ClientDisconnected&);
  void handle(ConnectionReady&);
  void handle(AttemptEnded&);
  void handle(HealthCheckEnded&);
  void handle(EndpointsListed&);
  void handle(DiscoveryFailed&);
  void handle(GossipReceived&);
  void handle(SuspensionChanged&);
  void handle(SettingsUpdated&);

  void shareStatus(const AttemptEnded&);
  void shareStatus(const HealthCheckEnded&);
  void respond(const PendingRequest&, AttemptEnd&);
  void applyList(balancer::ListKind, const EndpointList&);
  balancer::ListedEndpoint listEndpoint(const DiscoveredEndpoint&, bool inInitialLists);
  void markUnlistedNotReady(const std::vector<balancer::ListedEndpoint>& listed);
  void primaryAnswered(EndpointId, Time position, Time sentAt);
  void applyClockOffset();
  Time positionEpochUnix() const { return positionEpoch_ + clockOffset_; }

  // balancer::ActionSink
  void send(RequestId, EndpointId, Time until) override;
  void reject(RequestId, Time retryAfter) override;
  void fail(RequestId) override;
  void cancel(RequestId, int attempt) override;
  void scheduleTimer(Time in, std::uint64_t token) override;
  void startHealthCheck(EndpointId) override;
  void subscribe() override;

  const Config& config_;

  Clock clock_;
  ReferenceClock reference_;
  Time clockOffset_{};   // Unix time of other machines less clock_, as the balancer knows it
  Time wallReadAt_{};    // when the wall clock was last read
  Time now_;             // of this turn
  Time positionEpoch_;   // the balancer counts positions from here, on clock_
  Time lastExpiryAt_{};  // of removeExpired()

  Backend* backend_ = nullptr;
  DiscoverySource* discovery_ = nullptr;
  AttemptObserver* attemptObserver_ = nullptr;
  ReplicationObserver* replicationObserver_ = nullptr;

  std::vector<QueuedEvent> events_;
  std::vector<cluster::GossipUpdate> gossip_;   // since the last turn; keeps its storage
  std::vector<std::function<void()>> actions_;  // in the order in which they take effect
  std::unordered_map<RequestId, PendingRequest> requests_;
  RequestId lastRequest_ = 0;

  EndpointRegistry endpoints_;
  EndpointStartTimes startTimes_;
  std::unordered_set<std::string> suspended_;
  std::unordered_set<EndpointId> ready_;  // by the endpoint list
  std::unordered_map<EndpointId, Time> healthCheckSentAt_;
  std::uint64_t generation_ = 0;  // of the endpoint list
  int listsApplied_ = 0;

  Timers timers_;
  std::uint64_t lastTimer_ = 0;
  Event wakeup_;  // ends the loop's wait when the first timer is due
  std::unique_ptr<balancer::Balancer> balancer_;
};

}  // namespace sablespur
