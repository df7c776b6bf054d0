#include "app/proxy.hpp"

#include <exception>
#include <optional>
#include <utility>

#include "app/optional_parts.hpp"
#include "app/status_json.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

// Workers salt passwords, which takes a few milliseconds each.
constexpr std::size_t kWorkerThreads = 2;

// Returns `*optional`, or `otherwise` if `optional` is null.
template <typename Interface, typename Optional>
Interface& orElse(const std::unique_ptr<Optional>& optional, Interface& otherwise) {
  return optional ? static_cast<Interface&>(*optional) : otherwise;
}

}  // namespace

Proxy::Proxy(event_base* base, Config config)
    : base_(base),
      config_(std::move(config)),
      engine_(base, config_),
      workers_(base, kWorkerThreads),
      budget_(config_),
      backends_(base, engine_, workers_, budget_, config_),
      peers_(openPeerLink(base, engine_, config_)),
      recovery_(connectRecovery()),
      endpointUpdater_(base, engine_.clock(), orElse<EndpointListConsumer>(recovery_, engine_),
                       endpointTablePolicy(config_)),
      discovery_(createDiscoverySource(base, engine_.clock(), endpointUpdater_, config_)),
      handover_(base, config_, endpointUpdater_, *discovery_),
      recoveryOrEngine_(orElse<RequestHandler>(recovery_, engine_)),
      idempotency_(openStore(base, engine_, recoveryOrEngine_, config_)),
      requestHandler_(orElse<RequestHandler>(idempotency_, recoveryOrEngine_)),
      admission_(openAdmission(base, engine_, requestHandler_, config_)),
      clients_(base, engine_, requestHandler_, workers_, budget_, reservedDescriptor_, admission_.get(),
               config_),
      status_(openStatus()),
      adminHandler_(createAdminHandler(base, config_, engine_, clients_)) {
  engine_.setProcessPresence(&handover_.presence());
  if (config_.source == DiscoveryKind::Registry) endpointUpdater_.adoptKnown(config_.known);
  backends_.onShortage([this] { clients_.onExhaustion(); });
}

// Recovery, if enabled, observes all replication events and forwards them to the peer link. Without
// recovery, the peer link observes them directly.
std::unique_ptr<RecoveryCoordinator> Proxy::connectRecovery() {
  auto recovery = openRecovery(base_, engine_, workers_, backends_, config_, peers_.get());
  ReplicationObserver* const peers = peers_.get();
  engine_.setReplicationObserver(recovery ? recovery.get() : peers);
  return recovery;
}

std::unique_ptr<StatusServer> Proxy::openStatus() {
  if (config_.statusSocket.empty()) return nullptr;
  const StatusSources sources{
      config_, budget_, engine_, *discovery_, admission_.get(), idempotency_.get(), recovery_.get()};
  return std::make_unique<StatusServer>(base_, config_.statusSocket, [this, sources, start = engine_.now()] {
    return statusJson(sources, engine_.now() - start);
  });
}

void Proxy::start() {
  if (handover_.isSuccessor()) discovery_->setBesideAnotherProcess();
  engine_.start(backends_, *discovery_);
  // The balancer requests the endpoint list only if discovery is pull-based; a source that pushes
  // the list needs a watch as well.
  discovery_->watch(config_.known.generation);
  logEvent(LogLevel::Info, "listening", {{"name", config_.name}, {"port", clients_.port()}});
}

void Proxy::runOnce() {
  event_base_loop(base_, EVLOOP_ONCE | (engine_.hasPendingEvents() ? EVLOOP_NONBLOCK : 0));
  engine_.runTurn();
}

void Proxy::reload(const SettingsSource& settings) {
  try {
    apply(readSettings(settings));
    logEvent(LogLevel::Info, "config_reloaded");
  } catch (const std::exception& error) {
    logEvent(LogLevel::Error, "config_rejected", {{"why", error.what()}});
  }
}

// Runs in the event loop, as the files are small and local. They are opened one at a time on the
// reserved descriptor, as new settings may be the remedy for a shortage of descriptors.
Config Proxy::readSettings(const SettingsSource& settings) {
  std::optional<Config> config;
  const auto read = [&] { config = settings(); };
  if (!reservedDescriptor_.callWhileReleased(read)) read();
  return *std::move(config);
}

void Proxy::apply(const Config& config) {
  // Admission and the store keep the request classes that the proxy started with.
  if (!config_.admission && !config_.store) {
    applyReload(config_, config);
    engine_.updateSettings(config_.settings);
  }
  discovery_->updateSettings(config);
  clients_.setUsers(config.users);
  if (admission_) admission_->reload(config);
}

void Proxy::drain(std::function<void()> done) { clients_.drain(std::move(done)); }

}  // namespace sablespur
