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

class Desk final : public AdminHandler, admin::CommandHandler {
 public:
  Desk(event_base* base, const Config& c, Engine& engine, const Clients& clients)
      : engine_(engine),
        clients_(clients),
        bans_(c.bans),
        look_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<Desk*>(self)->look(); }, this)),
        listener_(base, c.control, *this) {
    for (const std::string& id : bans_.all()) engine_.restoreSuspension(id);
    if (!bans_.all().empty()) logEvent(LogLevel::Info, "suspensions_loaded", {{"count", bans_.all().size()}});
    if (!c.bans.empty()) startTimer(look_.get(), kLook);
  }

 private:
  bool carryOut(const admin::Command& call, std::string& text) override {
    switch (call.verb) {
      case admin::Verb::Status:
        text = clients_.draining() ? "draining"
                                   : "serving, " + std::to_string(bans_.all().size()) + " suspended";
        return !clients_.draining();
      case admin::Verb::Suspend:
      case admin::Verb::Restore: {
        const bool on = call.verb == admin::Verb::Suspend;
        if (!engine_.suspend(call.id, on)) {
          text = call.id + " was never on the list";
          return false;
        }
        const bool kept = bans_.set(call.id, on);
        logEvent(LogLevel::Info, on ? "member_suspended" : "member_restored", {{"name", call.id}});
        text = call.id + (on ? " suspended" : " restored");
        if (!kept) text += ", in this process alone: not kept on disk yet";
        return true;
      }
    }
    return false;
  }
  void look() {
    const std::set<std::string> was = bans_.all();
    if (!bans_.poll()) return;
    for (const std::string& id : was)
      if (bans_.all().count(id) == 0) engine_.suspend(id, false);
    for (const std::string& id : bans_.all())
      if (was.count(id) == 0 && !engine_.suspend(id, true)) engine_.restoreSuspension(id);
    logEvent(LogLevel::Info, "suspensions_changed", {{"count", bans_.all().size()}});
  }

  Engine& engine_;
  const Clients& clients_;
  admin::SuspendedEndpoints bans_;
  Event look_;
  admin::Listener listener_;
};

}  // namespace

std::unique_ptr<AdminHandler> createAdminHandler(event_base* base, const Config& c, Engine& engine,
                                                 const Clients& clients) {
  return c.control.none() ? nullptr : std::make_unique<Desk>(base, c, engine, clients);
}

}  // namespace sablespur
