// All settings of admission control: read and checked by config, applied by the AdmissionController.
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

// Groups are given by their index in connections.groups.
struct Settings {
  ConnectionAdmissionSettings connections;
  std::shared_ptr<const Networks> networks;       // of the groups
  Networks trustedProxies;                        // send a PROXY header first; each entry has group 0
  std::map<std::string, std::size_t> users;       // group by authenticated user name
  std::optional<std::size_t> recentClientsGroup;  // of recent clients whose address is in no network
  RecentClientsSettings recentClients;
  std::optional<RequestLimiterSettings> requests;  // without it requests are not limited
  // Connections held without being admitted: to be told so, to authenticate, or to send their PROXY header.
  std::size_t maxUnadmittedConnections = 0;
};

}  // namespace sablespur::admission
