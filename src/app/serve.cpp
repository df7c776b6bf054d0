#include "app/serve.hpp"

#include <csignal>
#include <exception>

#include "app/list_source.hpp"
#include "back/pg/upstream.hpp"
#include "core/engine.hpp"
#include "core/event.hpp"
#include "core/member_feed.hpp"
#include "core/workers.hpp"
#include "front/pg/clients.hpp"
#include "log/log.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kWorkers = 2;  // passwords are salted there, a few milliseconds each

}  // namespace

int serve(const Config& config, const std::function<Config()>& reread) {
  setLog(config.logForm, config.logLevel);
  const EventBase base(event_base_new());
  Engine engine(base.get(), config);
  Workers workers(base.get(), kWorkers);
  Upstream upstream(base.get(), engine, workers, config);
  MemberFeed feed(base.get(), engine.clock(), engine, sourcePolicy(config));
  const std::unique_ptr<ListSource> source = openSource(base.get(), engine.clock(), feed, config);
  Clients clients(base.get(), engine, workers, config);
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
    const std::function<Config()>& reread;
  } reload{*source, clients, reread};
  const auto onReload = [](evutil_socket_t, short, void* p) {
    const auto& r = *static_cast<Reload*>(p);
    try {
      const Config c = r.reread();
      r.source.move(c);
      r.clients.users(c.users);
      logEvent(LogLevel::Info, "settings_read_again");
    } catch (const std::exception& e) {
      logEvent(LogLevel::Error, "settings_unchanged", {{"why", e.what()}});
    }
  };
  const Event hangup(evsignal_new(base.get(), SIGHUP, onReload, &reload));
  event_add(hangup.get(), nullptr);

  engine.start(upstream, *source);
  logEvent(LogLevel::Info, "listening", {{"name", config.name}, {"port", clients.port()}});
  while (running) {
    event_base_loop(base.get(), EVLOOP_ONCE | (engine.pending() ? EVLOOP_NONBLOCK : 0));
    engine.turn();
  }
  return 0;
}

}  // namespace sablespur
