// sablespur: start, signals, exit.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "net/client.hpp"
#include "net/config.hpp"
#include "net/discovery.hpp"
#include "net/engine.hpp"
#include "net/event.hpp"
#include "net/log.hpp"
#include "net/upstream.hpp"

namespace {

int serve(const sablespur::Config& config, const char* path) {
  using namespace sablespur;
  const EventBase base(event_base_new());
  Engine engine(base.get(), config);
  Upstream upstream(base.get(), engine, config);
  Discovery discovery(base.get(), engine, config.discovery);
  Clients clients(base.get(), engine, config);
  bool running = true;

  struct Stop {
    Clients& clients;
    bool& running;
  } stop{clients, running};
  const auto onSignal = [](evutil_socket_t, short, void* p) {
    logLine("draining");
    auto& s = *static_cast<Stop*>(p);
    s.clients.drain([&s] { s.running = false; });
  };
  const Event term(evsignal_new(base.get(), SIGTERM, onSignal, &stop));
  const Event interrupt(evsignal_new(base.get(), SIGINT, onSignal, &stop));
  event_add(term.get(), nullptr);
  event_add(interrupt.get(), nullptr);

  // SIGHUP: the file is read anew by the same checks; what may change while the program serves is where
  // discovery is. A file that does not pass changes nothing. It is read within the loop: it is small and
  // local.
  struct Reload {
    Discovery& discovery;
    const char* path;
  } reload{discovery, path};
  const auto onReload = [](evutil_socket_t, short, void* p) {
    const auto& r = *static_cast<Reload*>(p);
    try {
      r.discovery.move(readConfig(r.path).discovery);
      logLine("configuration read again");
    } catch (const std::exception& e) {
      logLine("the configuration stays as it was: %s", e.what());
    }
  };
  const Event hangup(evsignal_new(base.get(), SIGHUP, onReload, &reload));
  event_add(hangup.get(), nullptr);

  engine.start(upstream, discovery);
  logLine("%s listens on port %d", config.name.c_str(), clients.port());
  while (running) {
    event_base_loop(base.get(), EVLOOP_ONCE | (engine.pending() ? EVLOOP_NONBLOCK : 0));
    engine.turn();
  }
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the loop handles it: by default it ends the process
  const char* const path = std::getenv("NODE_CONFIG");
  try {
    if (!path) throw sablespur::BadInput("variable NODE_CONFIG is not set");
    return serve(sablespur::readConfig(path), path);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "sablespur: %s\n", e.what());
    return 1;
  }
}
