// The engine's entry points and the steps of a turn.
#include "engine/engine.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "logging/log.hpp"

namespace sablespur {
namespace {

// The epoch is set this far before the current time; older positions count as unknown.
constexpr Time kPositionHistory = std::chrono::minutes(1);
// Age at which the epoch is advanced. At two hours a 32-bit float of seconds still resolves half a
// millisecond; 4 x milliseconds would overflow 32 bits only after twelve days.
constexpr Time kPositionEpochLifetime = std::chrono::hours(2);
constexpr Time kExpiryInterval = std::chrono::seconds(1);
// Updates from other proxies that wait for their turn; a lost one costs a health check.
constexpr std::size_t kMaxWaitingGossip = 4096;

// Positions are whole milliseconds of Unix time. Their epoch is, too, so that rounding cannot make
// data look newer.
Time wholeMilliseconds(Time time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time); }

}  // namespace

Engine::Engine(event_base* base, const Config& config, ClockSource clock)
    : config_(config),
      clock_(std::move(clock)),
      now_(clock_.now()),
      positionEpoch_(wholeMilliseconds(std::max(now_ - kPositionHistory, Time(0)))),
      wakeup_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void*) {}, nullptr)) {
  balancer::Settings settings = config.settings;
  settings.positionEpoch = positionEpoch_;
  balancer_ =
      std::make_unique<balancer::Balancer>(settings, config.seed, static_cast<balancer::ActionSink&>(*this));
}
Engine::~Engine() = default;

void Engine::start(Backend& backend, DiscoverySource& discovery) {
  collaborators_.backend = &backend;
  collaborators_.discovery = &discovery;
  events_.emplace_back(engine_event::EndpointsListed{config_.known});
}

// ---- events, queued until the turn ----------------------------------------------------------------------
RequestId Engine::request(ResponseHandler& handler, balancer::Request request, RequestMessage message) {
  request.id = ++lastRequest_;
  PendingRequest& pending = requests_[request.id];
  pending.handler = &handler;
  pending.message = std::make_shared<const RequestMessage>(std::move(message));
  pending.classIndex = request.classIndex;
  pending.mayHaveRunBefore = request.mayHaveRunSince > Time(0);
  events_.emplace_back(engine_event::RequestReceived{request});
  return request.id;
}

void Engine::clientDisconnected(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  it->second.handler = nullptr;
  events_.emplace_back(engine_event::ClientDisconnected{id});
}

void Engine::connectionReady(RequestId id, int attempt) {
  events_.emplace_back(engine_event::ConnectionReady{id, attempt});
}

void Engine::attemptEnded(RequestId id, int attempt, EndpointId endpoint, AttemptEnd end) {
  events_.emplace_back(engine_event::AttemptEnded{id, attempt, endpoint, std::move(end)});
}

void Engine::healthCheckEnded(EndpointId endpoint, bool healthy, const std::vector<double>& report) {
  events_.emplace_back(engine_event::HealthCheckEnded{endpoint, healthy, report});
}

void Engine::gossipReceived(const cluster::GossipUpdate& update) {
  if (gossip_.size() >= kMaxWaitingGossip) return;
  if (gossip_.empty()) events_.emplace_back(engine_event::GossipReceived{});
  gossip_.push_back(update);
}

bool Engine::suspend(const std::string& name, bool suspended) {
  if (!endpoints_.wasListed(name) && suspended_.count(name) == 0) return false;
  events_.emplace_back(engine_event::SuspensionChanged{name, suspended});
  return true;
}

void Engine::restoreSuspension(const std::string& name) { suspended_.insert(name); }

void Engine::updateSettings(const balancer::Settings& settings) {
  events_.emplace_back(engine_event::SettingsUpdated{settings});
}

void Engine::endpointsListed(EndpointList list) {
  events_.emplace_back(engine_event::EndpointsListed{std::move(list)});
}

void Engine::listLimited(std::optional<Time> until, ListLimit limit) {
  events_.emplace_back(engine_event::ListLimited{until, limit});
}

void Engine::discoveryFailed(const std::string&) { events_.emplace_back(engine_event::DiscoveryFailed{}); }

// ---- the turn -------------------------------------------------------------------------------------------
void Engine::runTurn() {
  ++turn_;
  now_ = std::max(now_, clock_.now());
  followWallClock();
  advancePositionEpoch();
  listLimit_.advance(now_);
  handleQueuedEvents();
  fireDueTimers();
  if (now_ - lastExpiryAt_ >= kExpiryInterval) {
    removeExpired(now_);
    if (!config_.settings.sessionTokensCarried) detectUnseenCommits();
  }
  performActions();
  armWakeup();
}

void Engine::handleQueuedEvents() {
  std::vector<engine_event::QueuedEvent> events;
  events.swap(events_);
  for (engine_event::QueuedEvent& event : events)
    std::visit([this](auto& concrete) { handle(concrete); }, event);
}

void Engine::fireDueTimers() {
  while (const auto token = timers_.popDue(now_)) balancer_->timerFired(now_, *token);
}

void Engine::performActions() {
  if (collaborators_.replication) actions_.emplace_back([this] { collaborators_.replication->flush(); });
  std::vector<std::function<void()>> actions;
  actions.swap(actions_);
  for (const auto& action : actions) action();
}

void Engine::armWakeup() {
  if (const auto due = timers_.nextDue())
    startTimer(wakeup_.get(), *due - clock_.now());
  else
    event_del(wakeup_.get());
}

// Endpoints are replaced by new ones with new names; without removal the tables would grow without
// bound.
void Engine::removeExpired(Time now) {
  now_ = std::max(now_, now);
  lastExpiryAt_ = now_;
  for (const EndpointId id : balancer_->removeExpiredEndpoints(now_)) {
    endpoints_.remove(id);
    reference_.setGroupCount(endpoints_.groupCount());
    startTimes_.remove(id);
    forgetPrimary(id);
    actions_.emplace_back([this, id] { collaborators_.backend->removeEndpoint(id); });
  }
}

// ---- reference time -------------------------------------------------------------------------------------
void Engine::followWallClock() {
  reference_.followWallClock(clock_, now_);
  applyClockOffset(std::nullopt);
}

// Only answers of a primary bound the time of other machines, because a replica's position may lag.
void Engine::observeAnswer(EndpointId endpoint, const cluster::GossipUpdate& status,
                           std::optional<Time> sentAt, bool isNewCommit) {
  if (status.role == cluster::GossipRole::Primary && status.positionMs > 0 && sentAt) {
    const std::chrono::milliseconds position(status.positionMs);
    if (isNewCommit) {
      reference_.writeCommitted(endpoint, position, *sentAt, now_);
    } else {
      observePrimaryLag(endpoint, position);
      reference_.primaryAnswered(endpoint, position, *sentAt, now_);
    }
    applyClockOffset(endpoint);
  } else if (status.role == cluster::GossipRole::Replica) {
    forgetPrimary(endpoint);
  }
}

void Engine::observePrimaryLag(EndpointId endpoint, Time position) {
  const Time behind = now_ + reference_.offset() - position;
  const std::optional<Time> since = primaryLags_.laggingSince(endpoint);
  switch (primaryLags_.observe(endpoint, behind, now_)) {
    case PrimaryLagMonitor::Change::None:
      return;
    case PrimaryLagMonitor::Change::Began:
      return logEvent(LogLevel::Warning, "primary_position_lags",
                      {{"endpoint", endpoints_.name(endpoint)},
                       {"behind_ms", behind.count() / 1000},
                       {"position_ms", position.count() / 1000}});
    case PrimaryLagMonitor::Change::Ended:
      return logEvent(LogLevel::Info, "primary_position_current",
                      {{"endpoint", endpoints_.name(endpoint)},
                       {"behind_ms", behind.count() / 1000},
                       {"lagged_ms", (now_ - since.value_or(now_)).count() / 1000}});
  }
}

void Engine::forgetPrimary(EndpointId endpoint) {
  reference_.forget(endpoint);
  primaryLags_.forget(endpoint);
}

void Engine::applyClockOffset(std::optional<EndpointId> cause) {
  using std::chrono::milliseconds;
  const auto movedBy = reference_.updateOffset();
  if (!movedBy) return;
  const Time offset = reference_.offset();
  const ReferenceClock::Summary summary = reference_.summary();
  logEvent(LogLevel::Warning, "reference_clock_moved",
           {{"by_ms", std::chrono::duration_cast<milliseconds>(*movedBy).count()},
            {"offset_ms", std::chrono::duration_cast<milliseconds>(offset).count()},
            {"source", nameOf(summary.source)},
            {"cause", cause ? endpoints_.name(*cause) : "wall clock"},
            {"wall_offset_ms", std::chrono::duration_cast<milliseconds>(summary.wallOffset).count()},
            {"proven_offset_ms",
             std::chrono::duration_cast<milliseconds>(summary.provenOffset.value_or(Time(0))).count()},
            {"primaries", summary.primaries},
            {"behind", summary.wallClockBehind},
            {"ahead", summary.wallClockAhead},
            {"confirmed", summary.wallClockConfirmed}});
  balancer_->referenceClockMoved(now_, -*movedBy);
  const auto corrected = startTimes_.reassess(now_, offset, config_.settings.warmUpPeriod);
  if (!corrected.empty()) balancer_->endpointsListed(now_, balancer::ListKind::Delta, corrected);
}

void Engine::advancePositionEpoch() {
  if (now_ - positionEpoch_ < kPositionEpochLifetime) return;
  positionEpoch_ = wholeMilliseconds(now_ - kPositionHistory);
  balancer_->setPositionEpoch(positionEpoch_);
}

}  // namespace sablespur
