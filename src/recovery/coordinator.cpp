#include "recovery/coordinator.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/gossip.hpp"
#include "durability/whole_file.hpp"
#include "logging/log.hpp"
#include "recovery/peer_state_exchange.hpp"
#include "recovery/recovery_admission.hpp"
#include "recovery/snapshot.hpp"
#include "recovery/snapshot_validation.hpp"

namespace sablespur {
namespace {

using recovery::EndpointRecord;
using recovery::Snapshot;
using recovery::SnapshotHeader;

constexpr Time kTickInterval = std::chrono::milliseconds(20);  // while service returns
constexpr double kSmooth = 0.1;                                // weight of a new latency in a member's own
constexpr Time kRateSpan = std::chrono::seconds(4);            // of the rates that are kept
// Ids of requests that never reach the engine; its own count up from 1.
constexpr RequestId kFirstRejectedId = RequestId{1} << 62;

struct EndpointStatistics {                    // of a member, from this run's own answers
  double latencyUs = 0, decayedResponses = 0;  // answers: decayed over kRateSpan
  Time updatedAt{};
  std::int64_t positionMs = 0;
};

std::string snapshotPath(const Config& c) { return c.store->directory + ".snapshot"; }

class FleetRecoveryCoordinator final : public RecoveryCoordinator {
 public:
  FleetRecoveryCoordinator(event_base* base, Engine& engine, WorkerPool& workers, Config& c,
                           PeerTransport port, ReplicationObserver* next)
      : engine_(engine),
        workers_(workers),
        settings_(c.recovery),
        ownName_(c.peerListen.none() ? c.name : c.peerListen.text()),
        classes_(c.settings.classes),
        retryAfterAllowed_(c.settings.retryAfterAllowed),
        snapshotPath_(snapshotPath(c)),
        transport_(std::move(port)),
        nextObserver_(next),
        startedAt_(engine.now()),
        ownSnapshot_(readSnapshot()),
        recoveredState_(recovery::validateSnapshot(ownSnapshot_, nowMs(), {})),
        peerStateExchange_(exchangePolicy(transport_.peers), c.seed, startedAt_, headerOf(ownSnapshot_)),
        admission_(admissionPolicy(c), c.seed ^ 0x5ab1e, startedAt_),
        deliverRejections_(event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void* self) {
              static_cast<FleetRecoveryCoordinator*>(self)->deliverRejections();
            },
            this)),
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
    for (const Address& a : c.peers) proxyNames_.push_back(a.text());
    sequence_ = ownSnapshot_.sequence;
    epoch_ = ownSnapshot_.epoch;
    loadKnownEndpoints(c);
    logEvent(LogLevel::Info, "recovery_started",
             {{"snapshot", view_.snapshot},
              {"epoch", ownSnapshot_.epoch},
              {"sequence", ownSnapshot_.sequence},
              {"age_ms", recoveredState_.age.count() / 1000},
              {"future", recoveredState_.fromFuture},
              {"members", recoveredState_.endpoints.size()},
              {"weight", recoveredState_.ownWeight},
              {"peers", transport_.peers}});
    // A first start is no return: there was no service to come back to.
    if (!settings_.order || !isRestart()) admissionFinished_ = true;
    assumeFreshStarts_ = isRestart() && c.source == Source::DnsSd && settings_.trust != Trust::All;
    startTimer(tick_.get(), kTickInterval);
    startTimer(snapshotTimer_.get(), settings_.every);
  }

  // ---- requests ------------------------------------------------------------------------------------------
  RequestId request(ResponseHandler& asker, balancer::Request q, Message m) override {
    if (admissionFinished_) return engine_.request(asker, std::move(q), std::move(m));
    const bool write =
        classes_[static_cast<std::size_t>(q.classIndex)].requirement == balancer::Requirement::Write;
    const std::uint32_t group = q.group;
    const recovery::RecoveryAdmission::Decision d = admission_.admit(engine_.now(), group, write);
    if (!d.admitted) {
      ++view_.requestsRejected;
      const RequestId id = kFirstRejectedId + ++lastRejectedId_;
      rejected_.emplace(id, RejectedRequest{&asker, retryAfterAllowed_ ? d.retryAfter : Time(0)});
      startTimer(deliverRejections_.get(), Time(0));
      return id;
    }
    auto passed = std::make_unique<AdmittedRequest>(*this, asker, group, write);
    AdmittedRequest& p = *passed;
    p.id = engine_.request(p, std::move(q), std::move(m));
    admitted_.emplace(p.id, std::move(passed));
    return p.id;
  }
  void clientDisconnected(RequestId id) override {
    if (id >= kFirstRejectedId) {
      rejected_.erase(id);
      return;
    }
    engine_.clientDisconnected(id);
    const auto it = admitted_.find(id);
    if (it == admitted_.end()) return;
    admission_.requestEnded(engine_.now(), it->second->group, it->second->write,
                            recovery::RequestEnd::ClientDisconnected);
    admitted_.erase(it);
  }

  // ---- the list ------------------------------------------------------------------------------------------
  void endpointsListed(EndpointList list) override {
    if (list.reset) endpoints_.clear();
    for (DiscoveredEndpoint& i : list.instances) {
      // Where the source tells no starts, each may have started while this proxy was down.
      if (assumeFreshStarts_ && i.startedMs == 0 && i.state == balancer::Lifecycle::Ready)
        i.startedMs = assumedStartsMs_.emplace(i.name, (startedAt_ + engine_.clockOffset()).count() / 1000)
                          .first->second;
      updateEndpoint(i);
    }
    if (endpointsByTag_.size() > 4 * endpoints_.size() + 64) rebuildTagIndex();
    engine_.endpointsListed(std::move(list));
  }
  void discoveryFailed(const std::string& why) override { engine_.discoveryFailed(why); }
  std::uint64_t generation() const override { return engine_.generation(); }

  // ---- what answers and probes tell
  // ------------------------------------------------------------------------
  void statusObserved(const cluster::GossipUpdate& h) override {
    if (nextObserver_) nextObserver_->statusObserved(h);
    const auto it = endpointsByTag_.find(h.tag);
    if (it == endpointsByTag_.end()) return;
    const auto m = endpoints_.find(it->second);
    if (m == endpoints_.end()) return;
    const std::uint32_t group = m->second.group;
    EndpointStatistics& f = statistics_[it->second];
    const Time now = engine_.now();
    f.positionMs = std::max(f.positionMs, h.positionMs);
    if (h.latencyUs > 0) {
      const auto us = static_cast<double>(h.latencyUs);
      f.latencyUs = f.latencyUs > 0 ? f.latencyUs + kSmooth * (us - f.latencyUs) : us;
      f.decayedResponses = decayed(f, now) + 1;
      f.updatedAt = now;
    }
    if (!admissionFinished_) admission_.endpointResponded(now, group);
    if (h.role != cluster::GossipRole::Primary) return;
    ConfirmedPrimary& p = primaries_[group];
    const bool other = p.member != it->second;
    p = {it->second, nowMs()};
    if (!other) return;
    const std::optional<std::uint64_t> claim = peerStateExchange_.confirmPrimary(group, h.tag);
    if (!admissionFinished_) admission_.primaryResponded(now, group);
    logEvent(LogLevel::Info, "primary_confirmed",
             {{"group", group},
              {"name", it->second},
              {"claimed", claim.has_value()},
              {"epoch", static_cast<std::int64_t>(claim.value_or(0))},
              {"after_ms", (now - startedAt_).count() / 1000}});
  }
  void flush() override {
    if (nextObserver_) nextObserver_->flush();
  }

  // ---- other proxies
  // ---------------------------------------------------------------------------------------
  void peerDatagramReceived(std::size_t peer, std::string_view datagram) override {
    const std::optional<SnapshotHeader> h = recovery::decodeSnapshotHeader(datagram);
    if (!h) return;
    if (h->isRequest) {
      SnapshotHeader answer = currentHeader();
      answer.nonce = h->nonce;
      if (transport_.send) transport_.send(peer, recovery::encode(answer));
      return;
    }
    const bool believed = peerStateExchange_.responseReceived(peer, *h, nowMs());
    logEvent(
        LogLevel::Info, believed ? "peer_state_accepted" : "peer_state_rejected",
        {{"peer", peer}, {"epoch", h->epoch}, {"serving", h->serving}, {"ahead_ms", h->wallMs - nowMs()}});
  }
  Time connectDelay(const std::string& member) const override {
    return recovery::connectDelay(member, ownName_, proxyNames_, settings_.dials);
  }

  RecoveryView view() const override {
    RecoveryView v = view_;
    v.state = exchangingState_ ? "asking" : admissionFinished_ ? "returned" : "returning";
    v.epoch = epoch_;
    v.sequence = sequence_;
    v.peerStatesAccepted = peerStateExchange_.acceptedResponses();
    v.peerStatesRejected = peerStateExchange_.rejectedResponses();
    v.joinedEpoch = peerStateExchange_.joined();
    return v;
  }

 private:
  // A request that went on while service returned: how it ended is the order's evidence.
  struct AdmittedRequest final : ResponseHandler {
    AdmittedRequest(FleetRecoveryCoordinator& r, ResponseHandler& a, std::uint32_t g, bool w)
        : recoverer(r), asker(a), group(g), write(w) {}
    void served(Answer a) override {
      ResponseHandler& to = asker;
      recoverer.requestEnded(
          *this, a.problem ? recovery::RequestEnd::ClientDisconnected : recovery::RequestEnd::Served);
      to.served(std::move(a));
    }
    void rejected(Time retryAfter) override {
      ResponseHandler& to = asker;
      recoverer.requestEnded(*this, recovery::RequestEnd::Rejected);
      to.rejected(retryAfter);
    }
    void failed() override {
      ResponseHandler& to = asker;
      recoverer.requestEnded(*this, recovery::RequestEnd::Failed);
      to.failed();
    }
    FleetRecoveryCoordinator& recoverer;
    ResponseHandler& asker;
    const std::uint32_t group;
    const bool write;
    RequestId id = 0;
  };
  struct RejectedRequest {
    ResponseHandler* asker;
    Time back;
  };
  struct ConfirmedPrimary {
    std::string member;
    std::int64_t atMs = 0;
  };

  // Ends the life of p.
  void requestEnded(AdmittedRequest& p, recovery::RequestEnd end) {
    const Time now = engine_.now();
    // Where data servers tell no positions, their answers are the evidence.
    if (end == recovery::RequestEnd::Served && p.write) admission_.primaryResponded(now, p.group);
    if (end == recovery::RequestEnd::Served) admission_.endpointResponded(now, p.group);
    admission_.requestEnded(now, p.group, p.write, end);
    admitted_.erase(p.id);
  }
  void deliverRejections() {
    std::map<RequestId, RejectedRequest> all;
    all.swap(rejected_);
    for (const auto& [id, r] : all) r.asker->rejected(r.back);
  }

  bool isRestart() const { return view_.snapshot != "none"; }  // there was a run before this one
  std::int64_t nowMs() const { return engine_.unixNow().count() / 1000; }
  static double decayed(const EndpointStatistics& f, Time now) {
    return f.decayedResponses * std::exp(-static_cast<double>((now - f.updatedAt).count()) /
                                         static_cast<double>(kRateSpan.count()));
  }
  static recovery::PeerStateExchangePolicy exchangePolicy(std::size_t peers) {
    recovery::PeerStateExchangePolicy p;
    p.peers = peers;
    return p;
  }
  static recovery::RecoveryAdmissionPolicy admissionPolicy(const Config& c) {
    recovery::RecoveryAdmissionPolicy p;
    p.proxies = c.settings.proxyCount;
    p.timeout = c.recovery.longest;
    return p;
  }
  static SnapshotHeader headerOf(const Snapshot& s) {
    SnapshotHeader h;
    h.epoch = s.epoch;
    h.sequence = s.sequence;
    h.wallMs = s.wallMs;
    for (const recovery::PrimaryRecord& p : s.primaries)
      h.primaries.push_back({p.group, cluster::endpointTag(p.endpoint)});
    return h;
  }
  SnapshotHeader currentHeader() const {
    SnapshotHeader h = headerOf(ownSnapshot_);
    if (exchangingState_) return h;  // of the past, as it was written
    h.serving = true;
    h.epoch = epoch_;
    h.sequence = sequence_;
    h.wallMs = nowMs();
    h.primaries.clear();
    for (const auto& [group, p] : primaries_) h.primaries.push_back({group, cluster::endpointTag(p.member)});
    return h;
  }

  Snapshot readSnapshot() {
    view_.snapshot = "none";
    try {
      const std::optional<std::string> bytes = durability::readFile(*files_, snapshotPath_);
      if (!bytes) return {};
      const Snapshot s = recovery::decode(*bytes);
      view_.snapshot = "read";
      return s;
    } catch (const recovery::SnapshotError& e) {
      logEvent(LogLevel::Warning, "snapshot_rejected",
               {{"file", snapshotPath_}, {"at", e.offset}, {"why", e.what()}});
    } catch (const std::exception& e) {
      logEvent(LogLevel::Warning, "snapshot_rejected", {{"file", snapshotPath_}, {"why", e.what()}});
    }
    view_.snapshot = "refused";
    files_->RenameFile(snapshotPath_, snapshotPath_ + ".refused");  // for whoever looks into it; one is kept
    return {};
  }

  // The members of the snapshot stand in for those of the settings, which may be older; the first list
  // replaces both.
  void loadKnownEndpoints(Config& c) {
    if (settings_.trust != Trust::Nothing && c.source != Source::Fixed &&
        !recoveredState_.endpoints.empty()) {
      c.known.instances.clear();
      for (const EndpointRecord& m : recoveredState_.endpoints) {
        DiscoveredEndpoint i;
        i.name = m.name;
        i.address = Address::parse(m.address).value_or(Address());
        i.zone = m.zone;
        i.group = m.group;
        i.weight = m.weight > 0 ? m.weight : 1;
        i.startedMs = m.startedMs;
        if (!i.address.none()) c.known.instances.push_back(std::move(i));
      }
    }
    for (DiscoveredEndpoint& i : c.known.instances) {
      // Warmth is health, and never trusted: whatever stopped this proxy may have stopped them.
      if (isRestart() && settings_.trust != Trust::All)
        i.startedMs = assumedStartsMs_.emplace(i.name, nowMs()).first->second;
      updateEndpoint(i);
    }
    std::map<std::uint32_t, double> out;  // by Little's law
    for (const EndpointRecord& m : recoveredState_.endpoints)
      out[m.group] += m.responsesPerSecond * m.latencyUs / 1e6;
    for (const auto& [group, n] : out)
      if (settings_.trust != Trust::Nothing && n > 0) admission_.setUsualConcurrency(group, n);
    if (settings_.trust != Trust::All) return;
    // For the lab: what trust by kind guards against.
    std::vector<cluster::GossipUpdate> hints;
    for (const EndpointRecord& m : ownSnapshot_.endpoints) {
      const bool primary = std::any_of(ownSnapshot_.primaries.begin(), ownSnapshot_.primaries.end(),
                                       [&](const auto& p) { return p.endpoint == m.name; });
      hints.push_back({cluster::endpointTag(m.name), m.positionMs,
                       primary ? cluster::GossipRole::Primary : cluster::GossipRole::Replica});
    }
    trustedUpdates_ = std::move(hints);
  }
  void updateEndpoint(const DiscoveredEndpoint& i) {
    if (i.state == balancer::Lifecycle::Gone) {
      endpoints_.erase(i.name);
      return;
    }
    DiscoveredEndpoint& m = endpoints_[i.name];
    const Address was = m.address;
    m = i;
    if (m.address.none()) m.address = was;
    endpointsByTag_[cluster::endpointTag(i.name)] = i.name;
  }
  void rebuildTagIndex() {
    endpointsByTag_.clear();
    for (const auto& [name, m] : endpoints_) endpointsByTag_[cluster::endpointTag(name)] = name;
    for (auto it = statistics_.begin(); it != statistics_.end();)
      it = endpoints_.count(it->first) ? std::next(it) : statistics_.erase(it);
  }

  void tick() {
    const Time now = engine_.now();
    for (const cluster::GossipUpdate& h : std::exchange(trustedUpdates_, {})) engine_.gossipReceived(h);
    for (const std::size_t peer : peerStateExchange_.duePeers(now)) {
      SnapshotHeader q = headerOf(ownSnapshot_);
      q.isRequest = true;
      q.nonce = peerStateExchange_.nonce();
      if (transport_.send) transport_.send(peer, recovery::encode(q));
    }
    if (exchangingState_ && peerStateExchange_.finished(now)) {
      exchangingState_ = false;
      epoch_ = peerStateExchange_.epoch();
      logEvent(LogLevel::Info, "epoch_entered",
               {{"epoch", epoch_},
                {"joined", peerStateExchange_.joined()},
                {"believed", peerStateExchange_.acceptedResponses()},
                {"turned_away", peerStateExchange_.rejectedResponses()},
                {"after_ms", (now - startedAt_).count() / 1000}});
      writeSnapshot();
    }
    for (const recovery::RecoveryAdmission::PhaseChange& c : admission_.takePhaseChanges())
      logEvent(LogLevel::Info, "group_recovery_advanced",
               {{"group", c.group},
                {"step", recovery::recoveryPhaseName(c.phase)},
                {"after_ms", c.sinceStart.count() / 1000}});
    if (!admissionFinished_ && admission_.finished(now)) {
      admissionFinished_ = true;
      view_.duration = now - startedAt_;
      logEvent(LogLevel::Info, "recovery_ended",
               {{"after_ms", view_.duration.count() / 1000}, {"refused", view_.requestsRejected}});
    }
    if (admissionFinished_ && !exchangingState_) event_del(tick_.get());
  }

  // Taken in the loop, encoded and written on a worker. One at a time: a disk that hangs holds up nothing
  // else.
  void writeSnapshot() {
    if (snapshotWrite_ || exchangingState_) return;
    Snapshot s;
    s.epoch = epoch_;
    s.sequence = ++sequence_;
    s.wallMs = nowMs();
    for (const auto& [name, i] : endpoints_) {
      if (i.state != balancer::Lifecycle::Ready) continue;
      EndpointRecord m;
      m.name = name;
      m.address = i.address.text();
      m.zone = i.zone;
      m.group = i.group;
      m.weight = i.weight;
      m.startedMs = i.startedMs;
      if (const auto f = statistics_.find(name); f != statistics_.end()) {
        m.latencyUs = f->second.latencyUs;
        m.responsesPerSecond =
            decayed(f->second, engine_.now()) / (static_cast<double>(kRateSpan.count()) / 1e6);
        m.positionMs = f->second.positionMs;
      } else if (!admissionFinished_) {
        // Nothing has been heard of it yet: what was believed is not thrown away by a second loss.
        for (const EndpointRecord& b : recoveredState_.endpoints)
          if (b.name == name) m.latencyUs = b.latencyUs, m.responsesPerSecond = b.responsesPerSecond;
      }
      s.endpoints.push_back(std::move(m));
    }
    for (const auto& [group, p] : primaries_) s.primaries.push_back({group, p.member, p.atMs});
    for (const recovery::PrimaryRecord& p : recoveredState_.primaryCandidates)
      if (primaries_.count(p.group) == 0) s.primaries.push_back(p);
    snapshotWrite_ = workers_.run(
        [files = files_, path = snapshotPath_, taken = std::move(s)] {
          return durability::replaceFile(*files, path, recovery::encode(taken));
        },
        [this](const std::string& why) {
          snapshotWrite_.reset();
          ++(why.empty() ? view_.snapshotsWritten : view_.snapshotsFailed);
          const bool failedBefore = std::exchange(writeFailed_, !why.empty());
          if (!why.empty() && !failedBefore)
            logEvent(LogLevel::Warning, "snapshot_write_failed", {{"why", why}});
          if (why.empty() && failedBefore) logEvent(LogLevel::Info, "snapshot_write_recovered");
        });
  }

  Engine& engine_;
  WorkerPool& workers_;
  const RecoveryConfig settings_;
  const std::string ownName_;
  const std::vector<balancer::ClassSettings> classes_;
  const bool retryAfterAllowed_;
  const std::string snapshotPath_;
  const PeerTransport transport_;
  ReplicationObserver* const nextObserver_;
  const Time startedAt_;
  RecoveryView view_;
  const std::shared_ptr<durability::Files> files_ =
      std::make_shared<durability::Files>();  // a worker may outlive this
  const Snapshot ownSnapshot_;
  const recovery::RecoveredState recoveredState_;
  recovery::PeerStateExchange peerStateExchange_;
  recovery::RecoveryAdmission admission_;
  std::vector<std::string> proxyNames_;
  std::vector<cluster::GossipUpdate> trustedUpdates_;
  std::map<std::string, std::int64_t> assumedStartsMs_;  // starts of those that do not tell theirs
  std::map<std::string, DiscoveredEndpoint> endpoints_;
  std::unordered_map<std::string, EndpointStatistics> statistics_;
  std::unordered_map<std::uint64_t, std::string> endpointsByTag_;
  std::map<std::uint32_t, ConfirmedPrimary> primaries_;
  std::unordered_map<RequestId, std::unique_ptr<AdmittedRequest>> admitted_;
  std::map<RequestId, RejectedRequest> rejected_;
  std::uint64_t epoch_ = 0, sequence_ = 0, lastRejectedId_ = 0;
  bool exchangingState_ = true, admissionFinished_ = false, assumeFreshStarts_ = false;
  WorkerPool::Ticket snapshotWrite_;
  bool writeFailed_ = false;  // the last one; logged already
  Event deliverRejections_, tick_, snapshotTimer_;
};

}  // namespace

std::unique_ptr<RecoveryCoordinator> createRecoveryCoordinator(event_base* base, Engine& engine,
                                                               WorkerPool& workers, Config& c,
                                                               const PeerTransport& port,
                                                               ReplicationObserver* next) {
  if (!c.store || !c.recovery.on) return nullptr;
  return std::make_unique<FleetRecoveryCoordinator>(base, engine, workers, c, port, next);
}

}  // namespace sablespur
