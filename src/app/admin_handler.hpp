// What staff may do to a running proxy: the calls of src/admin, carried out.
#pragma once

#include <memory>

#include "config/config.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"

namespace sablespur {

class Clients;

class AdminHandler {
 public:
  virtual ~AdminHandler() = default;
};
// Null where the settings give no address for it. Bans of an earlier process are told to the engine before
// this returns; so it is made before Engine::start. Throws std::runtime_error where it cannot listen.
std::unique_ptr<AdminHandler> createAdminHandler(event_base*, const Config&, Engine&, const Clients&);

}  // namespace sablespur
