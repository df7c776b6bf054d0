#include "app/admin_handler.hpp"

#include <set>
#include <string>

#include "admin/listener.hpp"
#include "admin/suspended_endpoints.hpp"
#include "frontend/postgres/clients.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

// How often the file is looked at for what another process of this proxy was told: well within the second
// after which a ban counts as known.
constexpr Time kLook = std::chrono::milliseconds(200);

class AdminCommands final : public AdminHandler, admin::CommandHandler {
 public:
  AdminCommands(event_base* base, const Config& c, Engine& engine, const Clients& clients)
      : engine_(engine),
        clients_(clients),
        suspended_(c.bans),
        pollTimer_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<AdminCommands*>(self)->pollFile(); }, this)),
        listener_(base, c.control, *this) {
    for (const std::string& id : suspended_.endpoints()) engine_.restoreSuspension(id);
    if (!suspended_.endpoints().empty())
      logEvent(LogLevel::Info, "suspensions_loaded", {{"count", suspended_.endpoints().size()}});
    if (!c.bans.empty()) startTimer(pollTimer_.get(), kLook);
  }

 private:
  bool execute(const admin::Command& call, std::string& text) override {
    switch (call.type) {
      case admin::CommandType::Status:
        text = clients_.draining()
                   ? "draining"
                   : "serving, " + std::to_string(suspended_.endpoints().size()) + " suspended";
        return !clients_.draining();
      case admin::CommandType::Suspend:
      case admin::CommandType::Restore: {
        const bool on = call.type == admin::CommandType::Suspend;
        if (!engine_.suspend(call.endpoint, on)) {
          text = call.endpoint + " was never on the list";
          return false;
        }
        const bool kept = suspended_.set(call.endpoint, on);
        logEvent(LogLevel::Info, on ? "member_suspended" : "member_restored", {{"name", call.endpoint}});
        text = call.endpoint + (on ? " suspended" : " restored");
        if (!kept) text += ", in this process alone: not kept on disk yet";
        return true;
      }
    }
    return false;
  }
  void pollFile() {
    const std::set<std::string> was = suspended_.endpoints();
    if (!suspended_.poll()) return;
    for (const std::string& id : was)
      if (suspended_.endpoints().count(id) == 0) engine_.suspend(id, false);
    for (const std::string& id : suspended_.endpoints())
      if (was.count(id) == 0 && !engine_.suspend(id, true)) engine_.restoreSuspension(id);
    logEvent(LogLevel::Info, "suspensions_changed", {{"count", suspended_.endpoints().size()}});
  }

  Engine& engine_;
  const Clients& clients_;
  admin::SuspendedEndpoints suspended_;
  Event pollTimer_;
  admin::Listener listener_;
};

}  // namespace

std::unique_ptr<AdminHandler> createAdminHandler(event_base* base, const Config& c, Engine& engine,
                                                 const Clients& clients) {
  return c.control.none() ? nullptr : std::make_unique<AdminCommands>(base, c, engine, clients);
}

}  // namespace sablespur
