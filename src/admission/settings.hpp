// All that admission is told: read and checked by config, carried out by the fronts' Gate.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "admission/connection_admission.hpp"
#include "admission/networks.hpp"
#include "admission/recent_clients.hpp"
#include "admission/request_limiter.hpp"

namespace sablespur::admission {

struct Settings {
  ConnectionAdmissionSettings connections;
  std::shared_ptr<const Networks> networks;  // of groups
  Networks trustedProxies;                   // whose connections begin with a PROXY header; the group is 0
  std::map<std::string, std::size_t> users;  // groups by the name that a client has proved
  std::optional<std::size_t> recentClientsGroup;  // the group of addresses in no network that are known
  RecentClientsSettings recentClients;
  std::optional<RequestLimiterSettings> requests;  // none: no limit on requests
  // Connections that the door has not let in: being told so, proving a name, or waiting for their PROXY
  // header.
  std::size_t maxUnadmittedConnections = 0;
};

}  // namespace sablespur::admission
