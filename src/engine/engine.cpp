#include "engine/engine.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "logging/log.hpp"

namespace sablespur {

using balancer::Lifecycle;
using balancer::ListKind;

namespace {

// Positions older than this at the start, or at a rebase, are told as unknown.
constexpr Time kBeforeZero = std::chrono::minutes(1);
// After so long, zero moves on: at two hours an f32 of seconds still tells half a millisecond apart, and
// 4 x milliseconds fill a u32 only after twelve days.
constexpr Time kRebase = std::chrono::hours(2);
constexpr float kLeastTokenMs = 0.001f;  // 0 would say that no write was told
constexpr Time kSweep = std::chrono::seconds(1);
constexpr Time kWallEvery = std::chrono::milliseconds(100);  // between looks at the wall clock
// The list that the settings hold and the first that discovery tells: what is in them need not be new.
constexpr int kFirstLists = 2;
constexpr Time kStartMoves = std::chrono::seconds(1);  // less is not worth what the module knows of it
constexpr std::size_t kMostNames = 65536;              // that the list has ever had: staff may name no other

}  // namespace

// Rounded down: data must not look newer than it is.
float secondsSince(Time zero, double unixSeconds) {
  const double since = unixSeconds - static_cast<double>(zero.count()) / 1e6;
  if (!(since > 0)) return 0;
  const float f = static_cast<float>(since);
  return static_cast<double>(f) > since ? std::nextafterf(f, 0.0f) : f;
}
std::uint32_t millisecondsSince(Time zero, std::int64_t unixMs) {
  const std::int64_t since = unixMs - zero.count() / 1000;
  return since > 0 && since < (std::int64_t{1} << 30) ? static_cast<std::uint32_t>(since) : 0;
}

Engine::Engine(event_base* base, const Config& config, ClockSource clock)
    : config_(config),
      clock_(std::move(clock)),
      now_(clock_.now()),
      zero_(std::max(now_ - kBeforeZero, Time(0))),
      alarm_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void*) {}, nullptr)) {
  // Positions are whole milliseconds of Unix time; so is zero, lest rounding make data look newer.
  zero_ = std::chrono::duration_cast<std::chrono::milliseconds>(zero_);
  balancer::Settings settings = config.settings;
  settings.positionEpoch = zero_;
  balancer_ =
      std::make_unique<balancer::Balancer>(settings, config.seed, static_cast<balancer::ActionSink&>(*this));
}
Engine::~Engine() = default;

void Engine::start(Backend& members, DiscoverySource& lists) {
  members_ = &members;
  lists_ = &lists;
  events_.emplace_back(Listed{false, config_.known});
}

RequestId Engine::request(ResponseHandler& asker, balancer::Request q, RequestMessage message) {
  q.id = ++lastId_;
  held_[q.id] = Held{&asker, std::make_shared<const RequestMessage>(std::move(message)), q.classIndex, {}};
  events_.emplace_back(Arrived{q});
  return q.id;
}
void Engine::clientDisconnected(RequestId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  it->second.asker = nullptr;
  events_.emplace_back(Left{id});
}
void Engine::connectionReady(RequestId id, int attempt) { events_.emplace_back(Connected{id, attempt}); }
void Engine::attemptEnded(RequestId id, int attempt, EndpointId member, AttemptEnd ending) {
  events_.emplace_back(Ended{id, attempt, member, std::move(ending)});
}
void Engine::healthCheckEnded(EndpointId member, bool ok, const std::vector<double>& report) {
  events_.emplace_back(Probed{member, ok, report});
}
void Engine::gossipReceived(const cluster::GossipUpdate& hint) {
  if (gossip_.empty()) events_.emplace_back(Heard{});
  gossip_.push_back(hint);
}
bool Engine::suspend(const std::string& name, bool on) {
  if (everListed_.count(name) == 0 && banned_.count(name) == 0) return false;
  events_.emplace_back(Suspended{name, on});
  return true;
}
void Engine::restoreSuspension(const std::string& name) { banned_.insert(name); }
void Engine::updateSettings(const balancer::Settings& settings) { events_.emplace_back(Settled{settings}); }
void Engine::endpointsListed(EndpointList list) { events_.emplace_back(Listed{false, std::move(list)}); }
void Engine::discoveryFailed(const std::string&) { events_.emplace_back(Listed{true, {}}); }

void Engine::runTurn() {
  now_ = std::max(now_, clock_.now());
  followWallClock();
  rebase();
  std::vector<Incoming> events;
  events.swap(events_);
  for (Incoming& event : events) std::visit([&](auto& e) { tell(e); }, event);
  while (!timers_.empty() && timers_.top().due <= now_) {
    const std::uint64_t token = timers_.top().token;
    timers_.pop();
    balancer_->timerFired(now_, token);
  }
  if (now_ - swept_ >= kSweep) removeExpired(now_);
  if (confidant_) actions_.emplace_back([this] { confidant_->flush(); });
  std::vector<std::function<void()>> actions;
  actions.swap(actions_);
  for (const auto& act : actions) act();
  if (timers_.empty())
    event_del(alarm_.get());
  else
    startTimer(alarm_.get(), timers_.top().due - clock_.now());
}

// Guards against growth where data servers are replaced: each new one has a new name.
void Engine::removeExpired(Time now) {
  swept_ = now_ = std::max(now_, now);
  for (const EndpointId id : balancer_->removeExpiredEndpoints(now_)) {
    if (const auto name = names_.find(id); name != names_.end()) {
      ids_.erase(name->second);
      names_.erase(name);
    }
    ready_.erase(id);
    starts_.erase(id);
    probedAt_.erase(id);
    reference_.forget(id);
    if (const auto tag = tags_.find(id); tag != tags_.end()) {
      tagged_.erase(tag->second);
      tags_.erase(tag);
    }
    actions_.emplace_back([this, id] { members_->removeEndpoint(id); });
  }
}

// ---- other machines' time --------------------------------------------------------------------------------
void Engine::followWallClock() {
  if (now_ - wallReadAt_ < kWallEvery) return;
  wallReadAt_ = now_;
  if (const std::optional<Time> offset = clock_.wallOffset()) reference_.readWall(*offset);
  applyOffset();
}

void Engine::primaryTold(EndpointId member, Time position, Time sent) {
  reference_.primaryAnswered(member, position, sent, now_);
  applyOffset();
}

void Engine::applyOffset() {
  // Whole milliseconds, rounded up: data must not look newer than they are.
  const Time offset = std::chrono::ceil<std::chrono::milliseconds>(reference_.offset());
  const Time by = offset_ - offset;
  if (by == Time(0)) return;
  offset_ = offset;
  logEvent(LogLevel::Warning, "reference_clock_moved",
           {{"by_ms", -by.count() / 1000}, {"offset_ms", offset_.count() / 1000}});
  balancer_->instantsMoved(now_, by);
  judgeStartsAnew();
}

// A start that is first seen now counts as recent, whatever its stamp says: the warming window runs from
// here. In the first lists it may be long ago, which only the stamp can tell.
Time Engine::startOf(EndpointId id, const DiscoveredEndpoint& instance, bool fromFirstLists) {
  if (instance.startedMs == 0) {
    starts_.erase(id);
    return Time(0);
  }
  const auto known = starts_.find(id);
  if (known != starts_.end() && known->second.stampMs == instance.startedMs) return known->second.at;
  Start start;
  start.stampMs = instance.startedMs;
  start.byStamp = fromFirstLists;
  start.at = now_;
  if (fromFirstLists)
    start.at = std::clamp<Time>(std::chrono::milliseconds(instance.startedMs) - offset_, Time(1), now_);
  starts_[id] = start;
  return start.at;
}

// Guards against a server that has just started and was taken for warm since the wall clock was ahead.
void Engine::judgeStartsAnew() {
  std::vector<balancer::ListedEndpoint> later;
  for (auto& [id, start] : starts_) {
    if (!start.byStamp) continue;
    const Time at = std::clamp<Time>(std::chrono::milliseconds(start.stampMs) - offset_, Time(1), now_);
    const bool warming = now_ < at + config_.settings.warmUpPeriod;
    if (at < start.at + kStartMoves || !warming || start.listed.state != Lifecycle::Ready) continue;
    start.at = start.listed.started = at;
    later.push_back(start.listed);
  }
  if (!later.empty()) balancer_->endpointsListed(now_, ListKind::Delta, later);
}

void Engine::rebase() {
  if (now_ - zero_ < kRebase) return;
  zero_ = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - kBeforeZero);
  balancer_->setPositionEpoch(zero_);
}

// ---- events ----------------------------------------------------------------------------------------------
void Engine::tell(Arrived& e) {
  if (tracing())
    logEvent(LogLevel::Trace, "request_received",
             {{"r", e.request.id}, {"class", e.request.classIndex}, {"group", e.request.group}});
  // The reference may have moved since the age of the session's last write was counted.
  if (const auto it = held_.find(e.request.id); it != held_.end() && e.request.sessionTokenAgeMs > 0) {
    const Time moved = offset_ - it->second.message->clockOffset;
    e.request.sessionTokenAgeMs =
        std::max(kLeastTokenMs, e.request.sessionTokenAgeMs + static_cast<float>(moved.count()) / 1e3f);
  }
  balancer_->request(now_, e.request);
}

void Engine::tell(Left& e) {
  balancer_->clientDisconnected(now_, e.id);
  held_.erase(e.id);
}

void Engine::tell(Connected& e) {
  const auto it = held_.find(e.id);
  const bool fit =
      it != held_.end() &&
      balancer_->maySendNow(now_, e.id, it->second.sent[static_cast<std::size_t>(e.attempt)].member);
  actions_.emplace_back(
      [this, id = e.id, attempt = e.attempt, fit] { members_->continueAttempt(id, attempt, fit); });
}

void Engine::tell(Ended& e) {
  tellOn(e);
  const auto it = held_.find(e.id);
  if (tracing())
    logEvent(LogLevel::Trace, "attempt_ended",
             {{"r", e.id},
              {"a", e.attempt},
              {"m", endpointName(e.member)},
              {"result", static_cast<int>(e.ending.result)},
              {"position_ms", e.ending.positionMs}});
  if (witness_) witness_->attemptEnded(e.id, e.attempt, e.ending);
  balancer::AttemptOutcome o;
  o.request = e.id;
  o.attempt = e.attempt;
  o.endpoint = e.member;
  o.result = e.ending.result;
  // A bad statement is the client's fault: it is not tried elsewhere, nor held against the member.
  if (e.ending.invalidStatement) o.result = AttemptResult::Cancelled;
  o.clientAnswered = it == held_.end() || o.result == AttemptResult::Ok || e.ending.invalidStatement;
  const std::chrono::milliseconds position(e.ending.positionMs);
  if (e.ending.role == Role::Primary && e.ending.positionMs > 0 && it != held_.end())
    primaryTold(e.member, position, it->second.sent[static_cast<std::size_t>(e.attempt)].at);
  else if (e.ending.role == Role::Replica)
    reference_.forget(e.member);
  o.replicationStatus = millisecondsSince(zero_ + offset_, e.ending.positionMs) << 2;
  if (e.ending.role == Role::Primary) o.replicationStatus |= 1;
  if (e.ending.role == Role::Replica) o.replicationStatus |= 2;
  if (it != held_.end() && o.clientAnswered) {
    ResponseHandler* const asker = it->second.asker;
    if (asker && e.ending.invalidStatement && !e.ending.answer.messages)
      actions_.emplace_back([asker] { asker->failed(); });
    else if (asker)
      actions_.emplace_back([asker, answer = std::make_shared<Answer>(std::move(e.ending.answer))] {
        asker->served(std::move(*answer));
      });
    held_.erase(it);
  }
  balancer_->attemptEnded(now_, o);
}

// An answer with a position, for the other proxies; how long it took too, if it was a full one.
void Engine::tellOn(const Ended& e) {
  const auto tag = tags_.find(e.member);
  if (!confidant_ || e.ending.positionMs <= 0 || e.ending.positionMs > (now_ + offset_).count() / 1000 ||
      tag == tags_.end())
    return;
  cluster::GossipUpdate h{tag->second, e.ending.positionMs,
                          e.ending.role == Role::Primary   ? cluster::GossipRole::Primary
                          : e.ending.role == Role::Replica ? cluster::GossipRole::Replica
                                                           : cluster::GossipRole::Unknown};
  const auto it = held_.find(e.id);
  if (it != held_.end() && e.ending.result == AttemptResult::Ok) {
    h.classIndex = it->second.cls;
    h.latencyUs = (now_ - it->second.sent[static_cast<std::size_t>(e.attempt)].at).count();
  }
  confidant_->statusObserved(h);
}

// What other proxies had from members. A member is believed in only when the list has named it here.
void Engine::tell(Heard&) {
  for (const cluster::GossipUpdate& h : gossip_) {
    const auto it = tagged_.find(h.endpointTag);
    if (it == tagged_.end() || it->second == 0) continue;
    const std::uint32_t position = millisecondsSince(zero_ + offset_, h.positionMs) << 2;
    if (position > 0)
      balancer_->gossipReceived(now_, it->second, position | static_cast<std::uint32_t>(h.role), h.classIndex,
                                Time(h.latencyUs));
  }
  gossip_.clear();
}

void Engine::tell(Suspended& e) {
  if (e.on)
    banned_.insert(e.name);
  else
    banned_.erase(e.name);
  const auto it = ids_.find(e.name);
  if (it == ids_.end()) return;
  balancer_->suspend(now_, it->second, e.on);
  // One that staff let back counts as one that has just started, as in the Balancer.
  actions_.emplace_back([this, id = it->second, ready = !e.on && ready_.count(it->second) > 0,
                         warm = now_ + config_.settings.warmUpPeriod] {
    members_->endpointListed(id, Address(), ready, warm);
  });
}

void Engine::tell(Settled& e) {
  e.settings.positionEpoch = zero_;
  balancer_->updateSettings(now_, e.settings);
}

void Engine::tell(Probed& e) {
  const auto probedAt = probedAt_.find(e.member);
  const Time sent = probedAt == probedAt_.end() ? Time(0) : probedAt->second;
  const cluster::GossipUpdate said = hintOf(e);
  if (said.role == cluster::GossipRole::Primary && said.positionMs > 0)
    primaryTold(e.member, std::chrono::milliseconds(said.positionMs), sent);
  else if (said.role == cluster::GossipRole::Replica)
    reference_.forget(e.member);
  balancer::HealthCheckResult p;
  p.endpoint = e.member;
  p.ok = e.ok;
  for (std::size_t k = 0; k < e.report.size() && k < config_.settings.reportFields.size(); ++k)
    p.report.push_back(config_.settings.reportFields[k] == balancer::ReportField::Position
                           ? secondsSince(zero_ + offset_, e.report[k])
                           : static_cast<float>(e.report[k]));
  if (tracing())
    logEvent(LogLevel::Trace, "health_check_ended", {{"m", endpointName(e.member)}, {"ok", e.ok}});
  balancer_->healthCheckEnded(now_, p);
  tellOn(e);
}

// What a report says of position and role.
cluster::GossipUpdate Engine::hintOf(const Probed& e) const {
  cluster::GossipUpdate h;
  if (!e.ok) return h;
  for (std::size_t k = 0; k < e.report.size() && k < config_.settings.reportFields.size(); ++k) {
    if (config_.settings.reportFields[k] == balancer::ReportField::Position)
      h.positionMs = static_cast<std::int64_t>(e.report[k] * 1000);
    if (config_.settings.reportFields[k] == balancer::ReportField::Primary)
      h.role = e.report[k] > 0 ? cluster::GossipRole::Primary : cluster::GossipRole::Replica;
  }
  return h;
}

void Engine::tellOn(const Probed& e) {
  const auto tag = tags_.find(e.member);
  if (!confidant_ || !e.ok || tag == tags_.end()) return;
  cluster::GossipUpdate h = hintOf(e);
  h.endpointTag = tag->second;
  if (h.positionMs > 0) confidant_->statusObserved(h);
}

void Engine::tell(Listed& e) {
  if (e.failed) return balancer_->endpointsListed(now_, ListKind::Failed, {});
  const bool first = lastMember_ == 0 && generation_ == 0;
  generation_ = e.list.generation;
  tellList(first ? ListKind::Cached : e.list.reset ? ListKind::Full : ListKind::Delta, e.list);
}

void Engine::tellList(ListKind kind, const EndpointList& list) {
  const bool fromFirstLists = listsTold_ < kFirstLists;
  ++listsTold_;
  std::vector<balancer::ListedEndpoint> entries;
  for (const DiscoveredEndpoint& i : list.instances) {
    const bool unknown = ids_.find(i.name) == ids_.end();
    if (unknown && i.state == Lifecycle::Gone) continue;  // it came and went unseen
    balancer::ListedEndpoint m;
    m.id = idOf(i.name);
    m.group = i.group;
    const auto zone = std::find(config_.zones.begin(), config_.zones.end(), i.zone);
    m.zone = static_cast<int>(zone - config_.zones.begin());
    m.state = i.state;
    m.weight = i.weight;
    m.started = startOf(m.id, i, fromFirstLists);
    m.suspended = banned_.count(i.name) > 0;
    entries.push_back(m);
    if (const auto start = starts_.find(m.id); start != starts_.end()) start->second.listed = m;
    if (i.state == Lifecycle::Ready)
      ready_.insert(m.id);
    else
      ready_.erase(m.id);
    if (everListed_.size() < kMostNames) everListed_.insert(i.name);
    members_->endpointListed(m.id, i.address, i.state == Lifecycle::Ready && !m.suspended,
                             m.started > Time(0) ? m.started + config_.settings.warmUpPeriod : Time(0));
  }
  if (kind != ListKind::Delta) {
    std::unordered_set<EndpointId> listed;
    for (const balancer::ListedEndpoint& m : entries) listed.insert(m.id);
    for (const auto& [name, id] : ids_) {
      if (listed.count(id) > 0) continue;
      ready_.erase(id);
      members_->endpointListed(id, Address(), false, Time(0));
    }
  }
  balancer_->endpointsListed(now_, kind, entries);
}

EndpointId Engine::idOf(const std::string& name) {
  const auto [it, added] = ids_.emplace(name, lastMember_ + 1);
  lastMember_ += added;  // no id is given twice, for late events bear them
  if (added) {
    names_[it->second] = name;
    const std::uint64_t tag = cluster::endpointTag(name);
    tags_[it->second] = tag;
    const auto [same, alone] = tagged_.emplace(tag, it->second);
    if (!alone) same->second = 0;
  }
  return it->second;
}

std::string Engine::endpointName(EndpointId id) const {
  const auto it = names_.find(id);
  return it == names_.end() ? std::string() : it->second;
}

// ---- actions: recorded here, carried out at the end of the turn ---------------------------------------
void Engine::send(RequestId id, EndpointId member, Time until) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;  // no send is decided for what has been answered
  Held& h = it->second;
  const int attempt = static_cast<int>(h.sent.size());
  h.sent.push_back({member, now_});
  if (tracing())
    logEvent(LogLevel::Trace, "attempt_sent", {{"r", id}, {"a", attempt}, {"m", endpointName(member)}});
  actions_.emplace_back([this, id, attempt, member, until, message = h.message] {
    if (witness_) witness_->attemptSent(id, attempt, endpointName(member));
    members_->send(id, attempt, member, until, message);
  });
}
void Engine::reject(RequestId id, Time retryAfter) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  if (tracing())
    logEvent(LogLevel::Trace, "request_rejected", {{"r", id}, {"after_ms", retryAfter.count() / 1000}});
  if (ResponseHandler* const asker = it->second.asker)
    actions_.emplace_back([asker, retryAfter] { asker->rejected(retryAfter); });
  held_.erase(it);
}
void Engine::fail(RequestId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  if (tracing()) logEvent(LogLevel::Trace, "request_failed", {{"r", id}});
  if (ResponseHandler* const asker = it->second.asker) actions_.emplace_back([asker] { asker->failed(); });
  held_.erase(it);
}
void Engine::cancel(RequestId id, int attempt) {
  actions_.emplace_back([this, id, attempt] { members_->cancel(id, attempt); });
}
void Engine::scheduleTimer(Time in, std::uint64_t token) { timers_.push({now_ + in, ++timersSet_, token}); }
void Engine::startHealthCheck(EndpointId member) {
  if (tracing()) logEvent(LogLevel::Trace, "health_check_sent", {{"m", endpointName(member)}});
  probedAt_[member] = now_;
  actions_.emplace_back([this, member] { members_->startHealthCheck(member); });
}
void Engine::subscribe() {
  if (tracing()) logEvent(LogLevel::Trace, "discovery_watch_opened", {{"after", generation_}});
  actions_.emplace_back([this] { lists_->watch(generation_); });
}
void Engine::log(const std::string& line) { logEvent(LogLevel::Info, "decision", {{"text", line}}); }

}  // namespace sablespur
