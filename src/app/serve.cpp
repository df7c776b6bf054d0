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

// Handles the signals of a running proxy: SIGTERM and SIGINT drain it, SIGHUP reloads its settings.
// Both references have to outlive this object.
class SignalHandlers {
 public:
  SignalHandlers(event_base* base, Proxy& proxy, const SettingsSource& settings)
      : proxy_(proxy),
        settings_(settings),
        terminate_(evsignal_new(base, SIGTERM, onStop, this)),
        interrupt_(evsignal_new(base, SIGINT, onStop, this)),
        hangup_(evsignal_new(base, SIGHUP, onReload, this)) {
    event_add(terminate_.get(), nullptr);
    event_add(interrupt_.get(), nullptr);
    event_add(hangup_.get(), nullptr);
  }

  // Returns whether the proxy has been drained.
  bool stopped() const { return stopped_; }

 private:
  static void onStop(evutil_socket_t, short, void* self) {
    logEvent(LogLevel::Info, "drain_started");
    auto& handlers = *static_cast<SignalHandlers*>(self);
    handlers.proxy_.drain([&handlers] { handlers.stopped_ = true; });
  }

  static void onReload(evutil_socket_t, short, void* self) {
    const auto& handlers = *static_cast<SignalHandlers*>(self);
    handlers.proxy_.reload(handlers.settings_);
  }

  Proxy& proxy_;
  const SettingsSource& settings_;
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
  SignalHandlers signals(base.get(), proxy, source);
  proxy.start();
  while (!signals.stopped()) proxy.runOnce();
  return 0;
}

}  // namespace sablespur
