#include "app/admin_handler.hpp"

#include <set>
#include <string>

#include "admin/listener.hpp"
#include "admin/suspended_endpoints.hpp"
#include "frontend/postgres/clients.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

// Interval at which the suspensions file is polled for changes by another process of this proxy. A
// suspension has to take effect within one second.
constexpr Time kPollInterval = std::chrono::milliseconds(200);

class AdminCommands final : public AdminHandler, admin::CommandHandler {
 public:
  AdminCommands(event_base* base, const Config& config, Engine& engine, const Clients& clients)
      : engine_(engine),
        clients_(clients),
        suspended_(config.suspensionsFile),
        pollTimer_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<AdminCommands*>(self)->pollFile(); }, this)),
        listener_(base, config.control, *this) {
    applied_ = suspended_.endpoints();
    for (const std::string& name : applied_) engine_.restoreSuspension(name);
    if (!suspended_.endpoints().empty())
      logEvent(LogLevel::Info, "suspensions_loaded", {{"count", suspended_.endpoints().size()}});
    if (!config.suspensionsFile.empty()) startTimer(pollTimer_.get(), kPollInterval);
  }

 private:
  admin::CommandResult execute(const admin::Command& command) override {
    switch (command.type) {
      case admin::CommandType::Status:
        return describeState();
      case admin::CommandType::Suspend:
        return changeSuspension(command.endpoint, true);
      case admin::CommandType::Restore:
        return changeSuspension(command.endpoint, false);
    }
    return {};
  }

  admin::CommandResult describeState() const {
    if (clients_.draining()) return {false, "draining"};
    return {true, "serving, " + std::to_string(suspended_.endpoints().size()) + " suspended"};
  }

  admin::CommandResult changeSuspension(const std::string& name, bool suspend) {
    if (!engine_.suspend(name, suspend)) return {false, name + " was never on the list"};
    const bool durable = suspended_.set(name, suspend);
    applyChanges();  // set() may have read those of the other process
    logEvent(LogLevel::Info, suspend ? "member_suspended" : "member_restored", {{"name", name}});
    const char* const durability = durable ? "" : ", in this process alone: not kept on disk yet";
    return {true, name + (suspend ? " suspended" : " restored") + durability};
  }

  void pollFile() {
    if (!suspended_.poll()) return;
    applyChanges();
    logEvent(LogLevel::Info, "suspensions_changed", {{"count", suspended_.endpoints().size()}});
  }

  // Passes on to the engine what has changed since the last call, here or in another process of this
  // proxy.
  void applyChanges() {
    const std::set<std::string>& now = suspended_.endpoints();
    for (const std::string& name : applied_)
      if (now.count(name) == 0) engine_.suspend(name, false);
    for (const std::string& name : now)
      if (applied_.count(name) == 0 && !engine_.suspend(name, true)) engine_.restoreSuspension(name);
    applied_ = now;
  }

  Engine& engine_;
  const Clients& clients_;
  admin::SuspendedEndpoints suspended_;
  std::set<std::string> applied_;  // the suspensions that the engine has
  Event pollTimer_;
  admin::Listener listener_;
};

}  // namespace

std::unique_ptr<AdminHandler> createAdminHandler(event_base* base, const Config& config, Engine& engine,
                                                 const Clients& clients) {
  if (config.control.none()) return nullptr;
  return std::make_unique<AdminCommands>(base, config, engine, clients);
}

}  // namespace sablespur
