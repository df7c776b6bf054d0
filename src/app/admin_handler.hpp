// Executes the admin commands of src/admin on a running proxy.
#pragma once

#include <memory>

#include "config/config.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"

namespace sablespur {

class Clients;

// Accepts admin commands for its whole lifetime.
class AdminHandler {
 public:
  AdminHandler() = default;
  virtual ~AdminHandler() = default;
  AdminHandler(const AdminHandler&) = delete;
  AdminHandler& operator=(const AdminHandler&) = delete;
};

// Returns null if the settings contain no admin address. Restores the suspensions of an earlier
// process in the engine, so it has to be called before Engine::start. Throws std::runtime_error if
// it cannot listen.
std::unique_ptr<AdminHandler> createAdminHandler(event_base*, const Config&, Engine&, const Clients&);

}  // namespace sablespur
