// All settings of admission control: read and checked by config, applied by the
// AdmissionController.
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

// Groups are identified by their index in connections.groups.
struct Settings {
  ConnectionAdmissionSettings connections;
  std::shared_ptr<const Networks> networks;       // maps addresses to groups
  Networks trustedProxies;                        // peers that send a PROXY header; group is always 0
  std::map<std::string, std::size_t> users;       // group by authenticated user name
  std::optional<std::size_t> recentClientsGroup;  // for recent clients outside all networks
  RecentClientsSettings recentClients;
  std::optional<RequestLimiterSettings> requests;  // if unset, requests are not limited
  // Limit on open connections that are not admitted: those being rejected, authenticating, or about
  // to send a PROXY header.
  std::size_t maxUnadmittedConnections = 0;
};

}  // namespace sablespur::admission
