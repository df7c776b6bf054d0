#include "app/serve.hpp"

#include <csignal>
#include <stdexcept>
#include <string>
#include <utility>

#include "engine/event.hpp"
#include "engine/system_calls.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

// Returns the settings with their bounds lowered to the descriptor limit of the system, so that the
// proxy reaches its own bounds before the descriptor table is full.
Config limitToSystem(const Config& given) {
  const std::size_t allowed = descriptorsAllowed(given.descriptors);
  if (allowed >= given.descriptors) return given;
  const std::size_t least = minDescriptors(given.store != nullptr);
  if (allowed < least)
    throw std::runtime_error("key descriptors: the system allows this process " + std::to_string(allowed) +
                             ", and " + std::to_string(least) + " are needed (ulimit -n)");
  logEvent(LogLevel::Warning, "descriptors_limited", {{"wanted", given.descriptors}, {"allowed", allowed}});
  Config limited = given;
  deriveBounds(limited, allowed, given.memory);
  return limited;
}

// Handles the signals of a running proxy: SIGTERM and SIGINT drain it, SIGHUP requests a reload of
// its settings. The proxy has to outlive this object.
class SignalHandlers {
 public:
  SignalHandlers(event_base* base, Proxy& proxy)
      : proxy_(proxy),
        terminate_(evsignal_new(base, SIGTERM, onStop, this)),
        interrupt_(evsignal_new(base, SIGINT, onStop, this)),
        hangup_(evsignal_new(base, SIGHUP, onReload, this)) {
    event_add(terminate_.get(), nullptr);
    event_add(interrupt_.get(), nullptr);
    event_add(hangup_.get(), nullptr);
  }

  // Returns whether the proxy has been drained.
  bool stopped() const { return stopped_; }
  // Returns whether a reload was requested since the last call. Requests that arrive together count
  // as one, so that many of them do not hold up the clients.
  bool takeReloadRequest() { return std::exchange(reloadRequested_, false); }

 private:
  static void onStop(evutil_socket_t, short, void* self) {
    auto& handlers = *static_cast<SignalHandlers*>(self);
    if (!std::exchange(handlers.draining_, true)) logEvent(LogLevel::Info, "drain_started");
    handlers.proxy_.drain([&handlers] { handlers.stopped_ = true; });
  }

  static void onReload(evutil_socket_t, short, void* self) {
    static_cast<SignalHandlers*>(self)->reloadRequested_ = true;
  }

  Proxy& proxy_;
  bool draining_ = false;
  bool reloadRequested_ = false;
  bool stopped_ = false;
  const Event terminate_;
  const Event interrupt_;
  const Event hangup_;
};

}  // namespace

int serve(const Config& given, const SettingsSource& source) {
  setLog(given.logForm, given.logLevel);
  Config config = limitToSystem(given);
  const EventBase base(event_base_new());
  Proxy proxy(base.get(), std::move(config));
  SignalHandlers signals(base.get(), proxy);
  proxy.start();
  while (!signals.stopped()) {
    proxy.runOnce();
    if (signals.takeReloadRequest()) proxy.reload(source);
  }
  return 0;
}

}  // namespace sablespur
