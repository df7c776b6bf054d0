#include "recovery/coordinator.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cluster/gossip.hpp"
#include "logging/log.hpp"
#include "recovery/endpoint_tracker.hpp"
#include "recovery/peer_state_exchange.hpp"
#include "recovery/recovery_request_handler.hpp"
#include "recovery/snapshot.hpp"
#include "recovery/snapshot_file.hpp"
#include "recovery/snapshot_validation.hpp"

namespace sablespur {
namespace {

using recovery::EndpointRecord;
using recovery::Snapshot;
using recovery::SnapshotFile;
using recovery::SnapshotHeader;

constexpr Time kTickInterval = std::chrono::milliseconds(20);  // during recovery

std::int64_t milliseconds(Time time) { return time.count() / 1000; }

recovery::PeerStateExchangePolicy exchangePolicy(std::size_t peers) {
  recovery::PeerStateExchangePolicy policy;
  policy.peers = peers;
  return policy;
}

SnapshotHeader headerOf(const Snapshot& snapshot) {
  SnapshotHeader header;
  header.epoch = snapshot.epoch;
  header.sequence = snapshot.sequence;
  header.wallMs = snapshot.wallMs;
  for (const recovery::PrimaryRecord& primary : snapshot.primaries)
    header.primaries.push_back({primary.group, cluster::endpointTag(primary.endpoint)});
  return header;
}

// Converts positions and roles of the snapshot to gossip updates, without validation. Used with
// Trust::All only, which lets tests show the errors that validation prevents.
std::vector<cluster::GossipUpdate> gossipUpdatesOf(const Snapshot& snapshot) {
  std::vector<cluster::GossipUpdate> updates;
  for (const EndpointRecord& endpoint : snapshot.endpoints) {
    const bool primary = std::any_of(snapshot.primaries.begin(), snapshot.primaries.end(),
                                     [&](const auto& p) { return p.endpoint == endpoint.name; });
    updates.push_back({cluster::endpointTag(endpoint.name), endpoint.positionMs,
                       primary ? cluster::GossipRole::Primary : cluster::GossipRole::Replica});
  }
  return updates;
}

DiscoveredEndpoint discoveredEndpoint(const EndpointRecord& record) {
  DiscoveredEndpoint endpoint;
  endpoint.name = record.name;
  endpoint.address = Address::parse(record.address).value_or(Address());
  endpoint.zone = record.zone;
  endpoint.group = record.group;
  endpoint.weight = record.weight > 0 ? record.weight : 1;
  endpoint.startedMs = record.startedMs;
  return endpoint;
}

class FleetRecoveryCoordinator final : public RecoveryCoordinator {
 public:
  FleetRecoveryCoordinator(event_base* base, Engine& engine, WorkerPool& workers, Config& config,
                           PeerTransport transport, ReplicationObserver* next)
      : engine_(engine),
        settings_(config.recovery),
        ownName_(config.peerListen.none() ? config.name : config.peerListen.text()),
        transport_(std::move(transport)),
        nextObserver_(next),
        startedAt_(engine.now()),
        snapshotFile_(workers, config.store->directory + ".snapshot"),
        loaded_(snapshotFile_.load()),
        recoveredState_(recovery::validateSnapshot(loaded_.snapshot, nowMs(), {})),
        peerStateExchange_(exchangePolicy(transport_.peers), config.seed, startedAt_,
                           headerOf(loaded_.snapshot)),
        requests_(base, engine, config, startedAt_),
        epoch_(loaded_.snapshot.epoch),
        sequence_(loaded_.snapshot.sequence),
        tick_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<FleetRecoveryCoordinator*>(self)->tick(); },
            this)),
        snapshotTimer_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) {
              static_cast<FleetRecoveryCoordinator*>(self)->writeSnapshot();
            },
            this)) {
    for (const Address& peer : config.peers) proxyNames_.push_back(peer.text());
    loadKnownEndpoints(config);
    logStarted();
    // Without a snapshot file this is the first start, and there is nothing to recover.
    if (!settings_.gradualAdmission || !isRestart()) requests_.finish();
    assumeFreshStarts_ =
        isRestart() && config.source == DiscoveryKind::DnsSd && settings_.trust != Trust::All;
    startTimer(tick_.get(), kTickInterval);
    startTimer(snapshotTimer_.get(), settings_.snapshotInterval);
  }

  RequestId request(ResponseHandler& handler, balancer::Request request, RequestMessage message) override {
    return requests_.request(handler, request, std::move(message));
  }
  void clientDisconnected(RequestId id) override { requests_.clientDisconnected(id); }

  void endpointsListed(EndpointList list) override;
  void discoveryFailed(const std::string& why) override { engine_.discoveryFailed(why); }
  void listLimited(std::optional<Time> until, ListLimit limit) override { engine_.listLimited(until, limit); }
  std::uint64_t generation() const override { return engine_.generation(); }

  void statusObserved(const cluster::GossipUpdate&) override;
  void flush() override {
    if (nextObserver_) nextObserver_->flush();
  }

  void peerDatagramReceived(std::size_t peer, std::string_view datagram) override;
  Time connectDelay(const std::string& endpoint) const override {
    return recovery::connectDelay(endpoint, ownName_, proxyNames_, settings_.dialsPerSecond);
  }

  RecoveryView view() const override;

 private:
  struct ConfirmedPrimary {
    std::string endpoint;
    std::int64_t seenMs = 0;
  };

  bool isRestart() const { return loaded_.status != SnapshotFile::LoadStatus::Missing; }
  std::int64_t nowMs() const { return milliseconds(engine_.unixNow()); }
  void logStarted() const;
  void loadKnownEndpoints(Config&);
  void setUsualConcurrency();
  SnapshotHeader currentHeader() const;
  void confirmPrimary(const DiscoveredEndpoint&, std::uint64_t tag, Time now);

  void tick();
  void requestPeerStates(Time now);
  void finishExchange(Time now);
  void advanceAdmission(Time now);

  void writeSnapshot();
  Snapshot takeSnapshot();

  Engine& engine_;
  const RecoveryConfig settings_;
  const std::string ownName_;
  const PeerTransport transport_;
  ReplicationObserver* const nextObserver_;
  const Time startedAt_;
  SnapshotFile snapshotFile_;
  const SnapshotFile::LoadResult loaded_;
  const recovery::RecoveredState recoveredState_;
  recovery::PeerStateExchange peerStateExchange_;
  recovery::RecoveryRequestHandler requests_;
  std::uint64_t epoch_;
  std::uint64_t sequence_;
  bool exchangingState_ = true;
  bool assumeFreshStarts_ = false;
  Time recoveryDuration_{};
  std::vector<std::string> proxyNames_;
  std::vector<cluster::GossipUpdate> trustedUpdates_;    // passed to the engine at the first tick
  std::map<std::string, std::int64_t> assumedStartsMs_;  // by endpoint whose start time is not known
  recovery::EndpointTracker endpoints_;
  std::map<std::uint32_t, ConfirmedPrimary> primaries_;  // by group
  Event tick_;
  Event snapshotTimer_;
};

void FleetRecoveryCoordinator::logStarted() const {
  logEvent(LogLevel::Info, "recovery_started",
           {{"snapshot", recovery::loadStatusName(loaded_.status)},
            {"epoch", loaded_.snapshot.epoch},
            {"sequence", loaded_.snapshot.sequence},
            {"age_ms", milliseconds(recoveredState_.age)},
            {"future", recoveredState_.fromFuture},
            {"members", recoveredState_.endpoints.size()},
            {"weight", recoveredState_.ownWeight},
            {"peers", transport_.peers}});
}

RecoveryView FleetRecoveryCoordinator::view() const {
  RecoveryView view;
  view.snapshot = recovery::loadStatusName(loaded_.status);
  view.state = exchangingState_ ? "asking" : requests_.finished() ? "returned" : "returning";
  view.epoch = epoch_;
  view.sequence = sequence_;
  view.peerStatesAccepted = peerStateExchange_.acceptedResponses();
  view.peerStatesRejected = peerStateExchange_.rejectedResponses();
  view.requestsRejected = requests_.requestsRejected();
  view.snapshotsWritten = snapshotFile_.writesSucceeded();
  view.snapshotsFailed = snapshotFile_.writesFailed();
  view.joinedEpoch = peerStateExchange_.joined();
  view.duration = recoveryDuration_;
  return view;
}

// Endpoints of the snapshot replace the known list of the settings, which may be older. The first
// list from discovery replaces both.
void FleetRecoveryCoordinator::loadKnownEndpoints(Config& config) {
  std::vector<DiscoveredEndpoint>& known = config.known.instances;
  if (settings_.trust != Trust::Nothing && config.source != DiscoveryKind::Fixed &&
      !recoveredState_.endpoints.empty()) {
    known.clear();
    for (const EndpointRecord& record : recoveredState_.endpoints) {
      DiscoveredEndpoint endpoint = discoveredEndpoint(record);
      if (!endpoint.address.none()) known.push_back(std::move(endpoint));
    }
  }
  for (DiscoveredEndpoint& endpoint : known) {
    // Endpoints count as just started: a power loss that stopped this proxy may have stopped them
    // as well.
    if (isRestart() && settings_.trust != Trust::All)
      endpoint.startedMs = assumedStartsMs_.emplace(endpoint.name, nowMs()).first->second;
    endpoints_.update(endpoint);
  }
  if (settings_.trust != Trust::Nothing) setUsualConcurrency();
  if (settings_.trust == Trust::All) trustedUpdates_ = gossipUpdatesOf(loaded_.snapshot);
}

// Estimates the requests that were in flight in each group before the start: response rate times
// latency (Little's law).
void FleetRecoveryCoordinator::setUsualConcurrency() {
  std::map<std::uint32_t, double> concurrency;
  for (const EndpointRecord& record : recoveredState_.endpoints)
    concurrency[record.group] += record.responsesPerSecond * record.latencyUs / 1e6;
  for (const auto& [group, inFlight] : concurrency)
    if (inFlight > 0) requests_.admission().setUsualConcurrency(group, inFlight);
}

void FleetRecoveryCoordinator::endpointsListed(EndpointList list) {
  if (list.reset) endpoints_.clearListed();
  for (DiscoveredEndpoint& endpoint : list.instances) {
    // Discovery reports no start time, so the endpoint may have started while this proxy was down.
    if (assumeFreshStarts_ && endpoint.startedMs == 0 && endpoint.state == balancer::Lifecycle::Ready) {
      const std::int64_t ownStartMs = milliseconds(startedAt_ + engine_.clockOffset());
      endpoint.startedMs = assumedStartsMs_.emplace(endpoint.name, ownStartMs).first->second;
    }
    endpoints_.update(endpoint);
  }
  endpoints_.removeStaleEntries();
  engine_.endpointsListed(std::move(list));
}

void FleetRecoveryCoordinator::statusObserved(const cluster::GossipUpdate& update) {
  if (nextObserver_) nextObserver_->statusObserved(update);
  const DiscoveredEndpoint* const endpoint = endpoints_.findByTag(update.endpointTag);
  if (endpoint == nullptr) return;
  const Time now = engine_.now();
  endpoints_.recordResponse(endpoint->name, update, now);
  if (!requests_.finished()) requests_.admission().endpointResponded(now, endpoint->group);
  if (update.role == cluster::GossipRole::Primary) confirmPrimary(*endpoint, update.endpointTag, now);
}

void FleetRecoveryCoordinator::confirmPrimary(const DiscoveredEndpoint& endpoint, std::uint64_t tag,
                                              Time now) {
  ConfirmedPrimary& primary = primaries_[endpoint.group];
  const bool changed = primary.endpoint != endpoint.name;
  primary = {endpoint.name, nowMs()};
  if (!changed) return;
  const std::optional<std::uint64_t> claimedEpoch = peerStateExchange_.confirmPrimary(endpoint.group, tag);
  if (!requests_.finished()) requests_.admission().primaryResponded(now, endpoint.group);
  logEvent(LogLevel::Info, "primary_confirmed",
           {{"group", endpoint.group},
            {"name", endpoint.name},
            {"claimed", claimedEpoch.has_value()},
            {"epoch", static_cast<std::int64_t>(claimedEpoch.value_or(0))},
            {"after_ms", milliseconds(now - startedAt_)}});
}

SnapshotHeader FleetRecoveryCoordinator::currentHeader() const {
  SnapshotHeader header = headerOf(loaded_.snapshot);
  if (exchangingState_) return header;  // no epoch entered yet: report the previous run's snapshot
  header.serving = true;
  header.epoch = epoch_;
  header.sequence = sequence_;
  header.wallMs = nowMs();
  header.primaries.clear();
  for (const auto& [group, primary] : primaries_)
    header.primaries.push_back({group, cluster::endpointTag(primary.endpoint)});
  return header;
}

void FleetRecoveryCoordinator::peerDatagramReceived(std::size_t peer, std::string_view datagram) {
  const std::optional<SnapshotHeader> header = recovery::decodeSnapshotHeader(datagram);
  if (!header) return;
  if (header->isRequest) {
    SnapshotHeader response = currentHeader();
    response.nonce = header->nonce;
    if (transport_.send) transport_.send(peer, recovery::encode(response));
    return;
  }
  const bool accepted = peerStateExchange_.responseReceived(peer, *header, nowMs());
  logEvent(LogLevel::Info, accepted ? "peer_state_accepted" : "peer_state_rejected",
           {{"peer", peer},
            {"epoch", header->epoch},
            {"serving", header->serving},
            {"ahead_ms", header->wallMs - nowMs()}});
}

void FleetRecoveryCoordinator::tick() {
  const Time now = engine_.now();
  for (const cluster::GossipUpdate& update : std::exchange(trustedUpdates_, {}))
    engine_.gossipReceived(update);
  requestPeerStates(now);
  if (exchangingState_ && peerStateExchange_.finished(now)) finishExchange(now);
  advanceAdmission(now);
  if (requests_.finished() && !exchangingState_) event_del(tick_.get());
}

void FleetRecoveryCoordinator::requestPeerStates(Time now) {
  for (const std::size_t peer : peerStateExchange_.duePeers(now)) {
    SnapshotHeader request = headerOf(loaded_.snapshot);
    request.isRequest = true;
    request.nonce = peerStateExchange_.nonce();
    if (transport_.send) transport_.send(peer, recovery::encode(request));
  }
}

void FleetRecoveryCoordinator::finishExchange(Time now) {
  exchangingState_ = false;
  epoch_ = peerStateExchange_.epoch();
  logEvent(LogLevel::Info, "epoch_entered",
           {{"epoch", epoch_},
            {"joined", peerStateExchange_.joined()},
            {"believed", peerStateExchange_.acceptedResponses()},
            {"turned_away", peerStateExchange_.rejectedResponses()},
            {"after_ms", milliseconds(now - startedAt_)}});
  writeSnapshot();
}

void FleetRecoveryCoordinator::advanceAdmission(Time now) {
  for (const recovery::RecoveryAdmission::PhaseChange& change : requests_.admission().takePhaseChanges())
    logEvent(LogLevel::Info, "group_recovery_advanced",
             {{"group", change.group},
              {"step", recovery::recoveryPhaseName(change.phase)},
              {"after_ms", milliseconds(change.sinceStart)}});
  if (requests_.finished() || !requests_.admission().finished(now)) return;
  requests_.finish();
  recoveryDuration_ = now - startedAt_;
  logEvent(LogLevel::Info, "recovery_ended",
           {{"after_ms", milliseconds(recoveryDuration_)}, {"refused", requests_.requestsRejected()}});
}

// Writes a snapshot unless the previous write is still in progress, so a disk that hangs delays
// snapshots and nothing else.
void FleetRecoveryCoordinator::writeSnapshot() {
  if (snapshotFile_.writeInProgress() || exchangingState_) return;
  snapshotFile_.write(takeSnapshot());
}

Snapshot FleetRecoveryCoordinator::takeSnapshot() {
  // Endpoints that have not responded during recovery keep the previous snapshot's figures, so that
  // these survive another restart before recovery ends.
  static const std::vector<EndpointRecord> kNoFallback;
  const bool recovering = !requests_.finished();
  Snapshot snapshot;
  snapshot.epoch = epoch_;
  snapshot.sequence = ++sequence_;
  snapshot.wallMs = nowMs();
  snapshot.endpoints =
      endpoints_.records(engine_.now(), recovering ? recoveredState_.endpoints : kNoFallback);
  for (const auto& [group, primary] : primaries_)
    snapshot.primaries.push_back({group, primary.endpoint, primary.seenMs});
  for (const recovery::PrimaryRecord& candidate : recoveredState_.primaryCandidates)
    if (primaries_.count(candidate.group) == 0) snapshot.primaries.push_back(candidate);
  return snapshot;
}

}  // namespace

std::unique_ptr<RecoveryCoordinator> createRecoveryCoordinator(event_base* base, Engine& engine,
                                                               WorkerPool& workers, Config& config,
                                                               const PeerTransport& transport,
                                                               ReplicationObserver* next) {
  if (!config.store || !config.recovery.enabled) return nullptr;
  return std::make_unique<FleetRecoveryCoordinator>(base, engine, workers, config, transport, next);
}

}  // namespace sablespur
