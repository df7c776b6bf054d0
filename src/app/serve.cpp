#include "app/serve.hpp"

#include <csignal>
#include <exception>
#include <optional>
#include <stdexcept>

#include "app/admin_handler.hpp"
#include "app/list_source.hpp"
#include "app/status.hpp"
#include "backend/postgres/backend_pool.hpp"
#include "cluster/udp/link.hpp"
#include "durability/idempotency_handler.hpp"
#include "engine/endpoint_updater.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "engine/system_calls.hpp"
#include "engine/workers.hpp"
#include "frontend/postgres/clients.hpp"
#include "logging/log.hpp"
#include "protocol/postgres/codec.hpp"
#include "recovery/coordinator.hpp"

namespace sablespur {
namespace {

std::unique_ptr<IdempotencyHandler> openStore(event_base* base, Engine& engine, RequestHandler& next,
                                              const Config& c) {
#ifdef SABLESPUR_STORE
  // Guards against a limit on the size of files that ends the process: it is one more failing disk.
  std::signal(SIGXFSZ, SIG_IGN);
  return createIdempotencyHandler(base, engine, next, c, postgres::reader());
#else
  (void)base, (void)engine, (void)next,
      (void)c;  // the settings' reader turns a store down where there is none
  return nullptr;
#endif
}
std::unique_ptr<RecoveryCoordinator> openRecovery(event_base* base, Engine& engine, WorkerPool& workers,
                                                  BackendPool& upstream, Config& c, PeerLink* link) {
#ifdef SABLESPUR_STORE
  PeerTransport port;
  if (link) {
    port.peers = link->others();
    port.send = [link](std::size_t to, const std::string& datagram) { link->send(to, datagram); };
  }
  auto recoverer = createRecoveryCoordinator(base, engine, workers, c, port, link);
  if (!recoverer) return nullptr;
  if (link)
    link->onHead(
        [to = recoverer.get()](std::size_t from, std::string_view d) { to->peerDatagramReceived(from, d); });
  upstream.setDialDelay(
      [&engine, of = recoverer.get()](EndpointId id) { return of->connectDelay(engine.endpointName(id)); });
  return recoverer;
#else
  (void)base, (void)engine, (void)workers, (void)upstream, (void)c, (void)link;
  return nullptr;
#endif
}
std::unique_ptr<AdmissionController> openAdmission(event_base* base, Engine& engine, RequestHandler& next,
                                                   const Config& c) {
#ifdef SABLESPUR_ADMISSION
  return createAdmissionController(base, engine, next, c);
#else
  (void)base, (void)engine, (void)next,
      (void)c;  // the settings' reader turns a door down where there is none
  return nullptr;
#endif
}

constexpr std::size_t kWorkers = 2;  // passwords are salted there, a few milliseconds each

// What the settings say, within what the system allows. Guards against a table that fills before the account
// does: every bound here is meant to be met first.
Config bounded(const Config& given) {
  Config c = given;
  const std::size_t allowed = descriptorsAllowed(given.descriptors);
  if (allowed >= given.descriptors) return c;
  if (allowed < leastDescriptors(c.store != nullptr))
    throw std::runtime_error("key descriptors: the system allows this process " + std::to_string(allowed) +
                             ", and " + std::to_string(leastDescriptors(c.store != nullptr)) +
                             " are needed (ulimit -n)");
  logEvent(LogLevel::Warning, "descriptors_limited", {{"wanted", given.descriptors}, {"allowed", allowed}});
  deriveBounds(c, allowed, given.memory);
  return c;
}

}  // namespace

int serve(const Config& given, const std::function<Config()>& reread) {
  setLog(given.logForm, given.logLevel);
  Config config = bounded(given);  // all parts read it; only a reload, between two turns, changes it
  const EventBase base(event_base_new());
  Engine engine(base.get(), config);
  WorkerPool workers(base.get(), kWorkers);
  ResourceBudget account(config);
  ReservedDescriptor spare;
  BackendPool upstream(base.get(), engine, workers, account, config);
  std::unique_ptr<PeerLink> peers;
  if (!config.peerListen.none()) peers = std::make_unique<PeerLink>(base.get(), engine, config);
  // Null where nothing is kept; what it stands between then meets without it.
  const std::unique_ptr<RecoveryCoordinator> recoverer =
      openRecovery(base.get(), engine, workers, upstream, config, peers.get());
  engine.setReplicationObserver(recoverer ? static_cast<ReplicationObserver*>(recoverer.get()) : peers.get());
  EndpointListConsumer& taker = recoverer ? static_cast<EndpointListConsumer&>(*recoverer) : engine;
  RequestHandler& engineDoor = recoverer ? static_cast<RequestHandler&>(*recoverer) : engine;
  EndpointUpdater feed(base.get(), engine.clock(), taker, sourcePolicy(config));
  const std::unique_ptr<ListSource> source = openSource(base.get(), engine.clock(), feed, config);
  const std::unique_ptr<IdempotencyHandler> keeper = openStore(base.get(), engine, engineDoor, config);
  RequestHandler& entrance = keeper ? static_cast<RequestHandler&>(*keeper) : engineDoor;
  const std::unique_ptr<AdmissionController> gate = openAdmission(base.get(), engine, entrance, config);
  Clients clients(base.get(), engine, entrance, workers, account, spare, gate.get(), config);
  upstream.onShortage([&clients] { clients.onExhaustion(); });
  const std::unique_ptr<StatusServer> status =
      openStatus(base.get(), config, engine, account, gate.get(), keeper.get(), recoverer.get());
  const std::unique_ptr<AdminHandler> staff = createAdminHandler(base.get(), config, engine, clients);
  bool running = true;

  struct Stop {
    Clients& clients;
    bool& running;
  } stop{clients, running};
  const auto onSignal = [](evutil_socket_t, short, void* p) {
    logEvent(LogLevel::Info, "drain_started");
    auto& s = *static_cast<Stop*>(p);
    s.clients.drain([&s] { s.running = false; });
  };
  const Event term(evsignal_new(base.get(), SIGTERM, onSignal, &stop));
  const Event interrupt(evsignal_new(base.get(), SIGINT, onSignal, &stop));
  event_add(term.get(), nullptr);
  event_add(interrupt.get(), nullptr);

  // SIGHUP: the file is read anew by the same checks; what may change while the program serves is discovery
  // and the users.
  // A file that does not pass changes nothing. It is read within the loop: it is small and local.
  struct Reload {
    ListSource& source;
    Clients& clients;
    AdmissionController* gate;
    ReservedDescriptor& spare;
    const std::function<Config()>& reread;
    Engine& engine;
    Config& config;
  } reload{*source, clients, gate.get(), spare, reread, engine, config};
  const auto onReload = [](evutil_socket_t, short, void* p) {
    const auto& r = *static_cast<Reload*>(p);
    try {
      // One file is open at a time, on the spare descriptor: new settings may be what mends the want of
      // others.
      std::optional<Config> read;
      const auto again = [&] { read = r.reread(); };
      if (!r.spare.lend(again)) again();
      const Config& c = *read;
      // The door and the store have taken the classes of the start into their own books.
      if (!r.config.admission && !r.config.store) {
        adopt(r.config, c);
        r.engine.updateSettings(r.config.settings);
      }
      r.source.move(c);
      r.clients.setUsers(c.users);
      if (r.gate) r.gate->reload(c);
      logEvent(LogLevel::Info, "config_reloaded");
    } catch (const std::exception& e) {
      logEvent(LogLevel::Error, "config_rejected", {{"why", e.what()}});
    }
  };
  const Event hangup(evsignal_new(base.get(), SIGHUP, onReload, &reload));
  event_add(hangup.get(), nullptr);

  engine.start(upstream, *source);
  logEvent(LogLevel::Info, "listening", {{"name", config.name}, {"port", clients.port()}});
  while (running) {
    event_base_loop(base.get(), EVLOOP_ONCE | (engine.hasPendingEvents() ? EVLOOP_NONBLOCK : 0));
    engine.runTurn();
  }
  return 0;
}

}  // namespace sablespur
