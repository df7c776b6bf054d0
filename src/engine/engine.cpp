// The engine's entry points and the steps of a turn.
#include "engine/engine.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "logging/log.hpp"

namespace sablespur {
namespace {

// Positions older than this when the epoch is set count as unknown.
constexpr Time kPositionHistory = std::chrono::minutes(1);
// The epoch moves on after so long: at two hours an f32 of seconds still tells half a millisecond apart, and
// 4 x milliseconds fill a u32 only after twelve days.
constexpr Time kPositionEpochLifetime = std::chrono::hours(2);
constexpr Time kExpiryInterval = std::chrono::seconds(1);
constexpr Time kWallClockInterval = std::chrono::milliseconds(100);

// Positions are whole milliseconds of Unix time; so is their epoch, lest rounding make data look newer.
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
  backend_ = &backend;
  discovery_ = &discovery;
  events_.emplace_back(EndpointsListed{config_.known});
}

// ---- events, queued until the turn ----------------------------------------------------------------------
RequestId Engine::request(ResponseHandler& handler, balancer::Request request, RequestMessage message) {
  request.id = ++lastRequest_;
  requests_[request.id] = PendingRequest{
      &handler, std::make_shared<const RequestMessage>(std::move(message)), request.classIndex, {}};
  events_.emplace_back(RequestReceived{request});
  return request.id;
}

void Engine::clientDisconnected(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  it->second.handler = nullptr;
  events_.emplace_back(ClientDisconnected{id});
}

void Engine::connectionReady(RequestId id, int attempt) {
  events_.emplace_back(ConnectionReady{id, attempt});
}

void Engine::attemptEnded(RequestId id, int attempt, EndpointId endpoint, AttemptEnd end) {
  events_.emplace_back(AttemptEnded{id, attempt, endpoint, std::move(end)});
}

void Engine::healthCheckEnded(EndpointId endpoint, bool ok, const std::vector<double>& report) {
  events_.emplace_back(HealthCheckEnded{endpoint, ok, report});
}

void Engine::gossipReceived(const cluster::GossipUpdate& update) {
  if (gossip_.empty()) events_.emplace_back(GossipReceived{});
  gossip_.push_back(update);
}

bool Engine::suspend(const std::string& name, bool on) {
  if (!endpoints_.wasListed(name) && suspended_.count(name) == 0) return false;
  events_.emplace_back(SuspensionChanged{name, on});
  return true;
}

void Engine::restoreSuspension(const std::string& name) { suspended_.insert(name); }

void Engine::updateSettings(const balancer::Settings& settings) {
  events_.emplace_back(SettingsUpdated{settings});
}

void Engine::endpointsListed(EndpointList list) { events_.emplace_back(EndpointsListed{std::move(list)}); }

void Engine::discoveryFailed(const std::string&) { events_.emplace_back(DiscoveryFailed{}); }

// ---- the turn -------------------------------------------------------------------------------------------
void Engine::runTurn() {
  now_ = std::max(now_, clock_.now());
  followWallClock();
  advancePositionEpoch();
  handleQueuedEvents();
  fireDueTimers();
  if (now_ - lastExpiryAt_ >= kExpiryInterval) removeExpired(now_);
  performActions();
  armWakeup();
}

void Engine::handleQueuedEvents() {
  std::vector<QueuedEvent> events;
  events.swap(events_);
  for (QueuedEvent& event : events) std::visit([this](auto& concrete) { handle(concrete); }, event);
}

void Engine::fireDueTimers() {
  while (!timers_.empty() && timers_.top().due <= now_) {
    const std::uint64_t token = timers_.top().token;
    timers_.pop();
    balancer_->timerFired(now_, token);
  }
}

void Engine::performActions() {
  if (replicationObserver_) actions_.emplace_back([this] { replicationObserver_->flush(); });
  std::vector<std::function<void()>> actions;
  actions.swap(actions_);
  for (const auto& action : actions) action();
}

void Engine::armWakeup() {
  if (timers_.empty())
    event_del(wakeup_.get());
  else
    startTimer(wakeup_.get(), timers_.top().due - clock_.now());
}

// Endpoints that are replaced come back under new names, so the tables would grow without bound.
void Engine::removeExpired(Time now) {
  now_ = std::max(now_, now);
  lastExpiryAt_ = now_;
  for (const EndpointId id : balancer_->removeExpiredEndpoints(now_)) {
    endpoints_.remove(id);
    ready_.erase(id);
    startTimes_.remove(id);
    healthCheckSentAt_.erase(id);
    reference_.forget(id);
    actions_.emplace_back([this, id] { backend_->removeEndpoint(id); });
  }
}

// ---- reference time -------------------------------------------------------------------------------------
void Engine::followWallClock() {
  if (now_ - wallReadAt_ < kWallClockInterval) return;
  wallReadAt_ = now_;
  if (const std::optional<Time> offset = clock_.wallOffset()) reference_.readWall(*offset);
  applyClockOffset();
}

void Engine::primaryAnswered(EndpointId endpoint, Time position, Time sentAt) {
  reference_.primaryAnswered(endpoint, position, sentAt, now_);
  applyClockOffset();
}

void Engine::applyClockOffset() {
  // Whole milliseconds, rounded up: data must not look newer than they are.
  const Time offset = std::chrono::ceil<std::chrono::milliseconds>(reference_.offset());
  const Time by = clockOffset_ - offset;
  if (by == Time(0)) return;
  clockOffset_ = offset;
  logEvent(LogLevel::Warning, "reference_clock_moved",
           {{"by_ms", -by.count() / 1000}, {"offset_ms", clockOffset_.count() / 1000}});
  balancer_->instantsMoved(now_, by);
  const auto corrected = startTimes_.reassess(now_, clockOffset_, config_.settings.warmUpPeriod);
  if (!corrected.empty()) balancer_->endpointsListed(now_, balancer::ListKind::Delta, corrected);
}

void Engine::advancePositionEpoch() {
  if (now_ - positionEpoch_ < kPositionEpochLifetime) return;
  positionEpoch_ = wholeMilliseconds(now_ - kPositionHistory);
  balancer_->setPositionEpoch(positionEpoch_);
}

}  // namespace sablespur
