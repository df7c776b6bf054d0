#include "frontend/admission_controller.hpp"

#include <algorithm>
#include <unordered_map>

#include "admission/connection_limit.hpp"
#include "admission/rejection_period.hpp"
#include "admission/request_queues.hpp"
#include "admission/settings.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

using admission::Answered;
using admission::IpAddress;
using admission::RejectionPeriod;
using admission::RequestDecision;
using admission::RequestLimiter;

// How often what waits too long, what is held beyond a cap and spells of refusals are looked at.
constexpr Time kRound = std::chrono::milliseconds(20);
constexpr std::size_t kSurplus = 64;   // idle connections taken back in one round
constexpr std::size_t kShortage = 32;  // the same, when descriptors run out

class AdmissionGate final : public AdmissionController {
 public:
  AdmissionGate(event_base* base, Engine& engine, RequestHandler& next, const Config& c)
      : engine_(engine),
        next_(next),
        classes_(c.settings.classes),
        s_(c.admission),
        door_(s_->door, s_->networks),
        known_(s_->known),
        deliver_(event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<AdmissionGate*>(self)->deliver(); }, this)),
        round_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<AdmissionGate*>(self)->round(); }, this)) {
    if (s_->requests) requests_ = std::make_unique<admission::RequestQueues>(*s_->requests);
    spells_.resize(2 * door_.groups());
    startTimer(round_.get(), kRound);
  }

  bool expectsProxyHeader(const Address& a) const override {
    return s_->fronts.size() > 0 && s_->fronts.find(admission::addressOf(a.data()), 1) == 0;
  }
  bool knowsNames() const override { return !s_->users.empty(); }
  std::size_t maxUnadmittedConnections() const override { return s_->antechamber; }

  AdmissionDecision connectionArrived(AdmittedConnection& g, const Address& from) override {
    const IpAddress ip = admission::addressOf(from.data());
    std::optional<std::size_t> group;
    if (s_->servedBefore && door_.groupOf(ip) == door_.groups() - 1 && known_.is(engine_.now(), ip))
      group = s_->servedBefore;
    return enter(g, ip, group);
  }

  AdmissionDecision userAuthenticated(AdmittedConnection& g, PermitId place, const Address& from,
                                      const std::string& user) override {
    const auto it = s_->users.find(user);
    if (place == 0) {
      if (it != s_->users.end()) return enter(g, admission::addressOf(from.data()), it->second);
      AdmissionDecision none;
      none.why = "full";
      return none;
    }
    if (it != s_->users.end()) door_.belongs(place, it->second);
    AdmissionDecision a;
    a.place = place;
    return a;
  }

  void connectionClosed(PermitId place) override {
    if (place == 0) return;
    door_.left(place);
    guests_.erase(place);
  }
  void busy(PermitId place) override { door_.busy(place); }
  void idle(PermitId place) override { door_.idle(engine_.now(), place); }
  void served(PermitId place) override {
    const auto it = guests_.find(place);
    if (s_->servedBefore && it != guests_.end()) known_.served(engine_.now(), it->second.address);
  }
  void onExhaustion() override {
    std::size_t reserved = 0;
    for (std::size_t k = 0; k < door_.groups(); ++k) reserved += door_.limits(k).reserve;
    ceiling_.ranShort(engine_.now(), door_.held(), reserved);
    door_.ceiling(ceiling_.value(engine_.now(), s_->door.most));
    for (const admission::ConnectionId id : door_.spare(engine_.now(), kShortage)) askBack(id);
  }

  RequestId request(ResponseHandler& asker, balancer::Request q, RequestMessage m, PermitId place) override {
    if (!requests_) return next_.request(asker, q, std::move(m));
    const RequestId key = ++lastKey_;
    auto e = std::make_unique<Entered>(*this, key, asker, q, std::move(m));
    e->arrived = engine_.now();
    Entered& entered = *entered_.emplace(key, std::move(e)).first->second;
    const RequestLimiter::Asked a =
        requests_->ask(engine_.now(), key, laneOf(q), door_.groupOf(place), engine_.now() + aimOf(q));
    if (a.turn == RequestDecision::Admit) go(entered);
    if (a.turn == RequestDecision::Reject) refuse(key, a.comeBack);
    carryOut(a.others);
    return key;
  }
  void requestCancelled(RequestId key) override {
    if (!requests_) return next_.clientDisconnected(key);
    const auto it = entered_.find(key);
    if (it == entered_.end()) return;
    if (it->second->inEngine != 0) next_.clientDisconnected(it->second->inEngine);
    entered_.erase(it);
    carryOut(requests_->left(engine_.now(), key));
  }

  void reload(const Config& c) override {
    if (!c.admission || c.admission->requests.has_value() != s_->requests.has_value() ||
        (c.admission->requests && c.admission->requests->limit.kind != s_->requests->limit.kind))
      logEvent(LogLevel::Warning, "config_restart_needed",
               {{"key", c.admission ? "[admission] requests" : "[admission] door"}});
    if (!c.admission) return;
    // By name: the spell that a group is in goes on.
    std::vector<RejectionPeriod> spells(2 * c.admission->door.groups.size());
    for (std::size_t k = 0; k < c.admission->door.groups.size(); ++k)
      for (std::size_t was = 0; was < door_.groups(); ++was)
        if (door_.limits(was).name == c.admission->door.groups[k].name) {
          spells[2 * k] = spells_[2 * was];
          spells[2 * k + 1] = spells_[2 * was + 1];
        }
    s_ = c.admission;
    spells_ = std::move(spells);
    door_.reload(s_->door, s_->networks);
    if (requests_ && s_->requests) requests_->reload(*s_->requests);
  }

  AdmissionView view() const override {
    AdmissionView v;
    v.held = door_.held();
    v.most = door_.most();
    v.antechamber = s_->antechamber;
    v.known = known_.size();
    v.limits = requests_ != nullptr;
    if (requests_)
      for (const admission::RequestQueues::View& l : requests_->view())
        v.lanes.push_back(
            {l.lane == admission::RequestQueues::kRest ? -1 : static_cast<std::int64_t>(l.lane >> 1),
             (l.lane & 1) != 0, l.limit, l.out, l.waiting, l.usual});
    for (std::size_t k = 0; k < door_.groups(); ++k) {
      const admission::ConnectionAdmission::Count& c = door_.count(k);
      AdmissionView::Group g;
      g.name = door_.limits(k).name;
      g.held = c.held;
      g.idle = c.idle;
      g.most = door_.limits(k).most;
      g.reserve = door_.limits(k).reserve;
      g.reserveLeft = c.reserveLeft;
      g.weight = door_.limits(k).weight;
      g.admitted = c.admitted;
      g.askedBack = c.asked;
      for (const auto& [why, n] : c.refused) g.refused[admission::rejectionReasonName(why)] = n;
      if (requests_ && k < requests_->groups()) {
        const RequestLimiter::Count r = requests_->count(k);
        g.out = r.out;
        g.waiting = r.waiting;
        g.went = r.went;
        g.waited = r.waited;
        for (std::size_t t = 0; t < admission::kTurned; ++t)
          if (r.refused[t] > 0)
            g.turnedAway[admission::turnedName(static_cast<admission::RequestRejection>(t))] = r.refused[t];
      }
      g.refusing = spells_[2 * k].on() || spells_[2 * k + 1].on();
      v.groups.push_back(std::move(g));
    }
    return v;
  }

 private:
  // A request between its front and the engine. The engine answers it, and it tells the decisions how that
  // ended before its front hears of it.
  struct Entered final : ResponseHandler {
    Entered(AdmissionGate& g, RequestId k, ResponseHandler& a, const balancer::Request& r, RequestMessage&& m)
        : gate(g), key(k), asker(a), q(r), message(std::move(m)) {}
    void served(Answer answer) override {
      ResponseHandler& to = asker;
      gate.ended(*this, End::Served);  // this is no more
      to.served(std::move(answer));
    }
    void rejected(Time retryAfter) override {
      ResponseHandler& to = asker;
      gate.ended(*this, End::Refused);
      to.rejected(retryAfter);
    }
    void failed() override {
      ResponseHandler& to = asker;
      gate.ended(*this, End::Failed);
      to.failed();
    }
    AdmissionGate& gate;
    const RequestId key;
    ResponseHandler& asker;
    balancer::Request q;
    RequestMessage message;
    RequestId inEngine = 0;  // 0: it has not gone on
    Time arrived{}, went{};
  };
  enum class End { Served, Refused, Failed };

  AdmissionDecision enter(AdmittedConnection& g, const IpAddress& ip, std::optional<std::size_t> group) {
    const PermitId id = ++lastPlace_;
    const admission::ConnectionDecision w = door_.arrived(engine_.now(), id, ip, group);
    AdmissionDecision a;
    if (!w.admitted) {
      a.why = admission::rejectionReasonName(w.why);
      a.comeBack = w.comeBack;
      return a;
    }
    if (w.close != 0) askBack(w.close);
    guests_.emplace(id, Held{&g, ip});
    a.place = id;
    return a;
  }
  // The door has forgotten it already.
  void askBack(admission::ConnectionId id) {
    const auto it = guests_.find(id);
    if (it == guests_.end()) return;
    AdmittedConnection* const g = it->second.guest;
    guests_.erase(it);
    g->evict();
  }

  const balancer::ClassSettings& classOf(const balancer::Request& q) const {
    return classes_[static_cast<std::size_t>(q.classIndex)];
  }
  // Who has to queue does so to be answered within the aim. Later an answer may still have some worth, but a
  // place that it takes then is one that another could have had on time.
  Time aimOf(const balancer::Request& q) const {
    return std::min(classOf(q).latencyObjective, q.deadline - engine_.now());
  }
  admission::QueueKey laneOf(const balancer::Request& q) const {
    const balancer::Requirement need = classOf(q).requirement;
    const bool primary = need == balancer::Requirement::Write || need == balancer::Requirement::Strong;
    return static_cast<admission::QueueKey>(q.group) << 1 | (primary ? 1 : 0);
  }
  void go(Entered& e) {
    e.went = engine_.now();
    // How long ago the session last wrote counts from now.
    if (e.q.sessionTokenAgeMs > 0)
      e.q.sessionTokenAgeMs += static_cast<float>((e.went - e.arrived).count()) / 1e3f;
    e.inEngine = next_.request(e, e.q, std::move(e.message));
  }
  void refuse(RequestId key, Time comeBack) {
    refusals_.emplace_back(key, comeBack);
    event_active(deliver_.get(), EV_TIMEOUT, 0);
  }
  void carryOut(const std::vector<Answered>& all) {
    for (const Answered& a : all) {
      const auto it = entered_.find(a.key);
      if (it == entered_.end()) continue;
      if (a.turn == RequestDecision::Admit)
        go(*it->second);
      else
        refuse(a.key, a.comeBack);
    }
  }
  void ended(Entered& e, End how) {
    const Time now = engine_.now(), latency = now - e.went;
    // The module's own refusals, and failures before the time was up, tell of a server or a role: a limit
    // that shrank for them would turn away what others can be served.
    const bool late = how == End::Failed && now + kRound >= e.q.deadline;
    const RequestId key = e.key;
    entered_.erase(key);
    carryOut(how == End::Served || late ? requests_->ended(now, key, latency, late)
                                        : requests_->left(now, key));
  }
  void deliver() {
    std::vector<std::pair<RequestId, Time>> all;
    all.swap(refusals_);
    for (const auto& [key, comeBack] : all) {
      const auto it = entered_.find(key);
      if (it == entered_.end()) continue;  // its client has left
      ResponseHandler& asker = it->second->asker;
      entered_.erase(it);
      asker.rejected(comeBack);
    }
  }
  void round() {
    const Time now = engine_.now();
    if (requests_) carryOut(requests_->overdue(now));
    if (ceiling_.bound()) door_.ceiling(ceiling_.value(now, s_->door.most));
    for (const admission::ConnectionId id : door_.surplus(now, kSurplus)) askBack(id);
    for (std::size_t k = 0; k < door_.groups(); ++k) {
      std::uint64_t refused = 0, turned = 0;
      std::uint64_t most = 0;
      const char* why = "none";
      for (const auto& [w, n] : door_.count(k).refused) {
        refused += n;
        if (n > most) why = admission::rejectionReasonName(w);
        most = std::max(most, n);
      }
      tell(k, "connections", spells_[2 * k], refused, why);
      if (!requests_ || k >= requests_->groups()) continue;
      const RequestLimiter::Count c = requests_->count(k);
      std::size_t widest = 0;
      for (std::size_t t = 0; t < admission::kTurned; ++t) {
        turned += c.refused[t];
        if (c.refused[t] > c.refused[widest]) widest = t;
      }
      tell(k, "requests", spells_[2 * k + 1], turned,
           admission::turnedName(static_cast<admission::RequestRejection>(widest)));
    }
  }
  void tell(std::size_t group, const char* what, RejectionPeriod& spell, std::uint64_t total,
            const char* why) {
    const RejectionPeriod::Turn turn = spell.at(engine_.now(), total);
    const std::string& name = door_.limits(group).name;
    if (turn == RejectionPeriod::Turn::Began)
      logEvent(LogLevel::Warning, "rejection_started",
               {{"group", name}, {"what", what}, {"mostly", why}, {"held", door_.count(group).held}});
    if (turn == RejectionPeriod::Turn::Ended)
      logEvent(LogLevel::Info, "rejection_ended",
               {{"group", name},
                {"what", what},
                {"refused", spell.within()},
                {"seconds", static_cast<double>(spell.lasted().count()) / 1e6}});
  }

  struct Held {
    AdmittedConnection* guest;
    IpAddress address;
  };
  Engine& engine_;
  RequestHandler& next_;
  const std::vector<balancer::ClassSettings> classes_;
  std::shared_ptr<const admission::Settings> s_;
  admission::ConnectionAdmission door_;
  admission::RecentClients known_;
  admission::ConnectionLimit ceiling_;
  std::unique_ptr<admission::RequestQueues> requests_;
  std::unordered_map<PermitId, Held> guests_;
  std::unordered_map<RequestId, std::unique_ptr<Entered>> entered_;
  std::vector<std::pair<RequestId, Time>> refusals_;  // to be told
  std::vector<RejectionPeriod> spells_;               // by group: of connections, of requests
  PermitId lastPlace_ = 0;
  RequestId lastKey_ = 0;
  Event deliver_, round_;
};

}  // namespace

std::unique_ptr<AdmissionController> createAdmissionController(event_base* base, Engine& engine,
                                                               RequestHandler& next, const Config& c) {
  if (!c.admission) return nullptr;
  return std::make_unique<AdmissionGate>(base, engine, next, c);
}

}  // namespace sablespur
