// Issues permits to client connections and evicts idle connections, as decided by
// ConnectionAdmission.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "admission/connection_admission.hpp"
#include "admission/connection_limit.hpp"
#include "admission/recent_clients.hpp"
#include "admission/settings.hpp"
#include "frontend/admission_controller.hpp"

namespace sablespur {

// Keeps a pointer to each connection that holds a permit, until the permit is withdrawn by eviction
// or remove() is called. remove() has to be called before the connection is destroyed.
class ClientAdmission {
 public:
  explicit ClientAdmission(std::shared_ptr<const admission::Settings>);

  AdmissionDecision admit(Time now, AdmittedConnection&, const admission::IpAddress&);
  AdmissionDecision onUserAuthenticated(Time now, AdmittedConnection&, std::optional<PermitId>,
                                        const admission::IpAddress&, const std::string& user);
  void remove(PermitId);
  void markBusy(PermitId permit) { connections_.markBusy(permit); }
  void markIdle(Time now, PermitId permit) { connections_.markIdle(now, permit); }
  void recordResponse(Time now, PermitId);

  // Called when the process is out of file descriptors. Lowers the connection limit and evicts idle
  // connections.
  void onExhaustion(Time now);
  // Called periodically. Gradually raises a lowered connection limit again and evicts idle
  // connections beyond the limits.
  void sweep(Time now);
  void reload(std::shared_ptr<const admission::Settings>);

  const admission::ConnectionAdmission& connections() const { return connections_; }
  std::size_t recentClientCount() const { return recentClients_.size(); }

 private:
  // The connection that holds a permit.
  struct Holder {
    AdmittedConnection* connection;
    admission::IpAddress address;
  };

  AdmissionDecision issuePermit(Time now, AdmittedConnection&, const admission::IpAddress&,
                                std::optional<std::size_t> group);
  void evict(admission::ConnectionId);

  std::shared_ptr<const admission::Settings> settings_;
  admission::ConnectionAdmission connections_;
  admission::RecentClients recentClients_;
  admission::ConnectionLimit limit_;
  std::unordered_map<PermitId, Holder> holders_;
  PermitId lastPermit_ = 0;
};

}  // namespace sablespur
