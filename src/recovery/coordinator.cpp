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

constexpr Time kLook = std::chrono::milliseconds(20);  // while service returns
constexpr double kSmooth = 0.1;                        // weight of a new latency in a member's own
constexpr Time kRateSpan = std::chrono::seconds(4);    // of the rates that are kept
// Ids of requests that never reach the engine; its own count up from 1.
constexpr RequestId kTurnedAway = RequestId{1} << 62;

struct Figures {                      // of a member, from this run's own answers
  double latencyUs = 0, answers = 0;  // answers: decayed over kRateSpan
  Time at{};
  std::int64_t positionMs = 0;
};

std::string snapshotPath(const Config& c) { return c.store->directory + ".snapshot"; }

class FleetRecoverer final : public RecoveryCoordinator {
 public:
  FleetRecoverer(event_base* base, Engine& engine, WorkerPool& workers, Config& c, PeerTransport port,
                 ReplicationObserver* next)
      : engine_(engine),
        workers_(workers),
        settings_(c.recovery),
        name_(c.peerListen.none() ? c.name : c.peerListen.text()),
        classes_(c.settings.classes),
        retryAfter_(c.settings.retryAfterAllowed),
        path_(snapshotPath(c)),
        port_(std::move(port)),
        next_(next),
        began_(engine.now()),
        own_(read()),
        beliefs_(recovery::validateSnapshot(own_, nowMs(), {})),
        inquiry_(inquiryPolicy(port_.peers), c.seed, began_, headOf(own_)),
        order_(orderPolicy(c), c.seed ^ 0x5ab1e, began_),
        deliver_(event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<FleetRecoverer*>(self)->deliver(); }, this)),
        look_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<FleetRecoverer*>(self)->look(); }, this)),
        write_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<FleetRecoverer*>(self)->write(); }, this)) {
    for (const Address& a : c.peers) proxies_.push_back(a.text());
    sequence_ = own_.sequence;
    epoch_ = own_.epoch;
    known(c);
    logEvent(LogLevel::Info, "recovery_started",
             {{"snapshot", view_.snapshot},
              {"epoch", own_.epoch},
              {"sequence", own_.sequence},
              {"age_ms", beliefs_.age.count() / 1000},
              {"future", beliefs_.future},
              {"members", beliefs_.members.size()},
              {"weight", beliefs_.weight},
              {"peers", port_.peers}});
    // A first start is no return: there was no service to come back to.
    if (!settings_.order || !comesBack()) done_ = true;
    startsUnknown_ = comesBack() && c.source == Source::DnsSd && settings_.trust != Trust::All;
    startTimer(look_.get(), kLook);
    startTimer(write_.get(), settings_.every);
  }

  // ---- requests ------------------------------------------------------------------------------------------
  RequestId request(ResponseHandler& asker, balancer::Request q, RequestMessage m) override {
    if (done_) return engine_.request(asker, std::move(q), std::move(m));
    const bool write =
        classes_[static_cast<std::size_t>(q.classIndex)].requirement == balancer::Requirement::Write;
    const std::uint32_t group = q.group;
    const recovery::RecoveryAdmission::Decision d = order_.ask(engine_.now(), group, write);
    if (!d.go) {
      ++view_.refused;
      const RequestId id = kTurnedAway + ++turnedAway_;
      refused_.emplace(id, Refused{&asker, retryAfter_ ? d.back : Time(0)});
      startTimer(deliver_.get(), Time(0));
      return id;
    }
    auto passed = std::make_unique<Passed>(*this, asker, group, write);
    Passed& p = *passed;
    p.id = engine_.request(p, std::move(q), std::move(m));
    passed_.emplace(p.id, std::move(passed));
    return p.id;
  }
  void clientDisconnected(RequestId id) override {
    if (id >= kTurnedAway) {
      refused_.erase(id);
      return;
    }
    engine_.clientDisconnected(id);
    const auto it = passed_.find(id);
    if (it == passed_.end()) return;
    order_.ended(engine_.now(), it->second->group, it->second->write, recovery::End::Left);
    passed_.erase(it);
  }

  // ---- the list ------------------------------------------------------------------------------------------
  void endpointsListed(EndpointList list) override {
    if (list.reset) members_.clear();
    for (DiscoveredEndpoint& i : list.instances) {
      // Where the source tells no starts, each may have started while this proxy was down.
      if (startsUnknown_ && i.startedMs == 0 && i.state == balancer::Lifecycle::Ready)
        i.startedMs = assumed_.emplace(i.name, (began_ + engine_.clockOffset()).count() / 1000).first->second;
      note(i);
    }
    if (tags_.size() > 4 * members_.size() + 64) retag();
    engine_.endpointsListed(std::move(list));
  }
  void discoveryFailed(const std::string& why) override { engine_.discoveryFailed(why); }
  std::uint64_t generation() const override { return engine_.generation(); }

  // ---- what answers and probes tell
  // ------------------------------------------------------------------------
  void statusObserved(const cluster::GossipUpdate& h) override {
    if (next_) next_->statusObserved(h);
    const auto it = tags_.find(h.endpointTag);
    if (it == tags_.end()) return;
    const auto m = members_.find(it->second);
    if (m == members_.end()) return;
    const std::uint32_t group = m->second.group;
    Figures& f = figures_[it->second];
    const Time now = engine_.now();
    f.positionMs = std::max(f.positionMs, h.positionMs);
    if (h.latencyUs > 0) {
      const auto us = static_cast<double>(h.latencyUs);
      f.latencyUs = f.latencyUs > 0 ? f.latencyUs + kSmooth * (us - f.latencyUs) : us;
      f.answers = decayed(f, now) + 1;
      f.at = now;
    }
    if (!done_) order_.answered(now, group);
    if (h.role != cluster::GossipRole::Primary) return;
    Seen& p = primaries_[group];
    const bool other = p.member != it->second;
    p = {it->second, nowMs()};
    if (!other) return;
    const std::optional<std::uint64_t> claim = inquiry_.confirmed(group, h.endpointTag);
    if (!done_) order_.primary(now, group);
    logEvent(LogLevel::Info, "primary_confirmed",
             {{"group", group},
              {"name", it->second},
              {"claimed", claim.has_value()},
              {"epoch", static_cast<std::int64_t>(claim.value_or(0))},
              {"after_ms", (now - began_).count() / 1000}});
  }
  void flush() override {
    if (next_) next_->flush();
  }

  // ---- other proxies
  // ---------------------------------------------------------------------------------------
  void heard(std::size_t peer, std::string_view datagram) override {
    const std::optional<SnapshotHeader> h = recovery::decodeHead(datagram);
    if (!h) return;
    if (h->question) {
      SnapshotHeader answer = current();
      answer.nonce = h->nonce;
      if (port_.send) port_.send(peer, recovery::encode(answer));
      return;
    }
    const bool believed = inquiry_.answered(peer, *h, nowMs());
    logEvent(
        LogLevel::Info, believed ? "peer_state_accepted" : "peer_state_rejected",
        {{"peer", peer}, {"epoch", h->epoch}, {"serving", h->serving}, {"ahead_ms", h->wallMs - nowMs()}});
  }
  Time dialTurn(const std::string& member) const override {
    return recovery::dialTurn(member, name_, proxies_, settings_.dials);
  }

  RecoveryView view() const override {
    RecoveryView v = view_;
    v.state = asking_ ? "asking" : done_ ? "returned" : "returning";
    v.epoch = epoch_;
    v.sequence = sequence_;
    v.believed = inquiry_.believed();
    v.turnedAway = inquiry_.turnedAway();
    v.joined = inquiry_.joined();
    return v;
  }

 private:
  // A request that went on while service returned: how it ended is the order's evidence.
  struct Passed final : ResponseHandler {
    Passed(FleetRecoverer& r, ResponseHandler& a, std::uint32_t g, bool w)
        : recoverer(r), asker(a), group(g), write(w) {}
    void served(Answer a) override {
      ResponseHandler& to = asker;
      recoverer.ended(*this, a.problem ? recovery::End::Left : recovery::End::Served);
      to.served(std::move(a));
    }
    void rejected(Time retryAfter) override {
      ResponseHandler& to = asker;
      recoverer.ended(*this, recovery::End::TurnedAway);
      to.rejected(retryAfter);
    }
    void failed() override {
      ResponseHandler& to = asker;
      recoverer.ended(*this, recovery::End::Failed);
      to.failed();
    }
    FleetRecoverer& recoverer;
    ResponseHandler& asker;
    const std::uint32_t group;
    const bool write;
    RequestId id = 0;
  };
  struct Refused {
    ResponseHandler* asker;
    Time back;
  };
  struct Seen {
    std::string member;
    std::int64_t atMs = 0;
  };

  // Ends the life of p.
  void ended(Passed& p, recovery::End end) {
    const Time now = engine_.now();
    // Where data servers tell no positions, their answers are the evidence.
    if (end == recovery::End::Served && p.write) order_.primary(now, p.group);
    if (end == recovery::End::Served) order_.answered(now, p.group);
    order_.ended(now, p.group, p.write, end);
    passed_.erase(p.id);
  }
  void deliver() {
    std::map<RequestId, Refused> all;
    all.swap(refused_);
    for (const auto& [id, r] : all) r.asker->rejected(r.back);
  }

  bool comesBack() const { return view_.snapshot != "none"; }  // there was a run before this one
  std::int64_t nowMs() const { return engine_.unixNow().count() / 1000; }
  static double decayed(const Figures& f, Time now) {
    return f.answers *
           std::exp(-static_cast<double>((now - f.at).count()) / static_cast<double>(kRateSpan.count()));
  }
  static recovery::PeerStateExchangePolicy inquiryPolicy(std::size_t peers) {
    recovery::PeerStateExchangePolicy p;
    p.peers = peers;
    return p;
  }
  static recovery::RecoveryAdmissionPolicy orderPolicy(const Config& c) {
    recovery::RecoveryAdmissionPolicy p;
    p.proxies = c.settings.proxyCount;
    p.longest = c.recovery.longest;
    return p;
  }
  static SnapshotHeader headOf(const Snapshot& s) {
    SnapshotHeader h;
    h.epoch = s.epoch;
    h.sequence = s.sequence;
    h.wallMs = s.wallMs;
    for (const recovery::PrimaryRecord& p : s.primaries)
      h.primaries.push_back({p.group, cluster::endpointTag(p.member)});
    return h;
  }
  SnapshotHeader current() const {
    SnapshotHeader h = headOf(own_);
    if (asking_) return h;  // of the past, as it was written
    h.serving = true;
    h.epoch = epoch_;
    h.sequence = sequence_;
    h.wallMs = nowMs();
    h.primaries.clear();
    for (const auto& [group, p] : primaries_) h.primaries.push_back({group, cluster::endpointTag(p.member)});
    return h;
  }

  Snapshot read() {
    view_.snapshot = "none";
    try {
      const std::optional<std::string> bytes = durability::readWhole(*files_, path_);
      if (!bytes) return {};
      const Snapshot s = recovery::decode(*bytes);
      view_.snapshot = "read";
      return s;
    } catch (const recovery::Damaged& e) {
      logEvent(LogLevel::Warning, "snapshot_rejected", {{"file", path_}, {"at", e.at}, {"why", e.what()}});
    } catch (const std::exception& e) {
      logEvent(LogLevel::Warning, "snapshot_rejected", {{"file", path_}, {"why", e.what()}});
    }
    view_.snapshot = "refused";
    files_->RenameFile(path_, path_ + ".refused");  // for whoever looks into it; one is kept
    return {};
  }

  // The members of the snapshot stand in for those of the settings, which may be older; the first list
  // replaces both.
  void known(Config& c) {
    if (settings_.trust != Trust::Nothing && c.source != Source::Fixed && !beliefs_.members.empty()) {
      c.known.instances.clear();
      for (const EndpointRecord& m : beliefs_.members) {
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
      if (comesBack() && settings_.trust != Trust::All)
        i.startedMs = assumed_.emplace(i.name, nowMs()).first->second;
      note(i);
    }
    std::map<std::uint32_t, double> out;  // by Little's law
    for (const EndpointRecord& m : beliefs_.members) out[m.group] += m.perSecond * m.latencyUs / 1e6;
    for (const auto& [group, n] : out)
      if (settings_.trust != Trust::Nothing && n > 0) order_.usual(group, n);
    if (settings_.trust != Trust::All) return;
    // For the lab: what trust by kind guards against.
    std::vector<cluster::GossipUpdate> hints;
    for (const EndpointRecord& m : own_.members) {
      const bool primary = std::any_of(own_.primaries.begin(), own_.primaries.end(),
                                       [&](const auto& p) { return p.member == m.name; });
      hints.push_back({cluster::endpointTag(m.name), m.positionMs,
                       primary ? cluster::GossipRole::Primary : cluster::GossipRole::Replica});
    }
    naive_ = std::move(hints);
  }
  void note(const DiscoveredEndpoint& i) {
    if (i.state == balancer::Lifecycle::Gone) {
      members_.erase(i.name);
      return;
    }
    DiscoveredEndpoint& m = members_[i.name];
    const Address was = m.address;
    m = i;
    if (m.address.none()) m.address = was;
    tags_[cluster::endpointTag(i.name)] = i.name;
  }
  void retag() {
    tags_.clear();
    for (const auto& [name, m] : members_) tags_[cluster::endpointTag(name)] = name;
    for (auto it = figures_.begin(); it != figures_.end();)
      it = members_.count(it->first) ? std::next(it) : figures_.erase(it);
  }

  void look() {
    const Time now = engine_.now();
    for (const cluster::GossipUpdate& h : std::exchange(naive_, {})) engine_.gossipReceived(h);
    for (const std::size_t peer : inquiry_.due(now)) {
      SnapshotHeader q = headOf(own_);
      q.question = true;
      q.nonce = inquiry_.nonce();
      if (port_.send) port_.send(peer, recovery::encode(q));
    }
    if (asking_ && inquiry_.over(now)) {
      asking_ = false;
      epoch_ = inquiry_.epoch();
      logEvent(LogLevel::Info, "epoch_entered",
               {{"epoch", epoch_},
                {"joined", inquiry_.joined()},
                {"believed", inquiry_.believed()},
                {"turned_away", inquiry_.turnedAway()},
                {"after_ms", (now - began_).count() / 1000}});
      write();
    }
    for (const recovery::RecoveryAdmission::Change& c : order_.changes())
      logEvent(LogLevel::Info, "group_recovery_advanced",
               {{"group", c.group},
                {"step", recovery::recoveryPhaseName(c.step)},
                {"after_ms", c.after.count() / 1000}});
    if (!done_ && order_.over(now)) {
      done_ = true;
      view_.took = now - began_;
      logEvent(LogLevel::Info, "recovery_ended",
               {{"after_ms", view_.took.count() / 1000}, {"refused", view_.refused}});
    }
    if (done_ && !asking_) event_del(look_.get());
  }

  // Taken in the loop, encoded and written on a worker. One at a time: a disk that hangs holds up nothing
  // else.
  void write() {
    if (writing_ || asking_) return;
    Snapshot s;
    s.epoch = epoch_;
    s.sequence = ++sequence_;
    s.wallMs = nowMs();
    for (const auto& [name, i] : members_) {
      if (i.state != balancer::Lifecycle::Ready) continue;
      EndpointRecord m;
      m.name = name;
      m.address = i.address.text();
      m.zone = i.zone;
      m.group = i.group;
      m.weight = i.weight;
      m.startedMs = i.startedMs;
      if (const auto f = figures_.find(name); f != figures_.end()) {
        m.latencyUs = f->second.latencyUs;
        m.perSecond = decayed(f->second, engine_.now()) / (static_cast<double>(kRateSpan.count()) / 1e6);
        m.positionMs = f->second.positionMs;
      } else if (!done_) {
        // Nothing has been heard of it yet: what was believed is not thrown away by a second loss.
        for (const EndpointRecord& b : beliefs_.members)
          if (b.name == name) m.latencyUs = b.latencyUs, m.perSecond = b.perSecond;
      }
      s.members.push_back(std::move(m));
    }
    for (const auto& [group, p] : primaries_) s.primaries.push_back({group, p.member, p.atMs});
    for (const recovery::PrimaryRecord& p : beliefs_.candidates)
      if (primaries_.count(p.group) == 0) s.primaries.push_back(p);
    writing_ = workers_.run(
        [files = files_, path = path_, taken = std::move(s)] {
          return durability::replaceWhole(*files, path, recovery::encode(taken));
        },
        [this](const std::string& why) {
          writing_.reset();
          ++(why.empty() ? view_.written : view_.lost);
          const bool failedBefore = std::exchange(writeFailed_, !why.empty());
          if (!why.empty() && !failedBefore)
            logEvent(LogLevel::Warning, "snapshot_write_failed", {{"why", why}});
          if (why.empty() && failedBefore) logEvent(LogLevel::Info, "snapshot_write_recovered");
        });
  }

  Engine& engine_;
  WorkerPool& workers_;
  const RecoveryConfig settings_;
  const std::string name_;
  const std::vector<balancer::ClassSettings> classes_;
  const bool retryAfter_;
  const std::string path_;
  const PeerTransport port_;
  ReplicationObserver* const next_;
  const Time began_;
  RecoveryView view_;
  const std::shared_ptr<durability::Files> files_ =
      std::make_shared<durability::Files>();  // a worker may outlive this
  const Snapshot own_;
  const recovery::RecoveredState beliefs_;
  recovery::PeerStateExchange inquiry_;
  recovery::RecoveryAdmission order_;
  std::vector<std::string> proxies_;
  std::vector<cluster::GossipUpdate> naive_;
  std::map<std::string, std::int64_t> assumed_;  // starts of those that do not tell theirs
  std::map<std::string, DiscoveredEndpoint> members_;
  std::unordered_map<std::string, Figures> figures_;
  std::unordered_map<std::uint64_t, std::string> tags_;
  std::map<std::uint32_t, Seen> primaries_;
  std::unordered_map<RequestId, std::unique_ptr<Passed>> passed_;
  std::map<RequestId, Refused> refused_;
  std::uint64_t epoch_ = 0, sequence_ = 0, turnedAway_ = 0;
  bool asking_ = true, done_ = false, startsUnknown_ = false;
  WorkerPool::Ticket writing_;
  bool writeFailed_ = false;  // the last one; logged already
  Event deliver_, look_, write_;
};

}  // namespace

std::unique_ptr<RecoveryCoordinator> createRecoveryCoordinator(event_base* base, Engine& engine,
                                                               WorkerPool& workers, Config& c,
                                                               const PeerTransport& port,
                                                               ReplicationObserver* next) {
  if (!c.store || !c.recovery.on) return nullptr;
  return std::make_unique<FleetRecoverer>(base, engine, workers, c, port, next);
}

}  // namespace sablespur
