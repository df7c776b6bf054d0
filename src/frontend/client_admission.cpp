#include "frontend/client_admission.hpp"

namespace sablespur {
namespace {

// Upper bounds on the idle connections evicted in one call.
constexpr std::size_t kMaxEvictedPerSweep = 64;
constexpr std::size_t kMaxEvictedOnExhaustion = 32;

}  // namespace

ClientAdmission::ClientAdmission(std::shared_ptr<const admission::Settings> settings)
    : settings_(std::move(settings)),
      connections_(settings_->connections, settings_->networks),
      recentClients_(settings_->recentClients) {}

AdmissionDecision ClientAdmission::admit(Time now, AdmittedConnection& connection,
                                         const admission::IpAddress& address) {
  std::optional<std::size_t> group;
  const bool inNoNetwork = connections_.groupOf(address) == connections_.groupCount() - 1;
  if (settings_->recentClientsGroup && inNoNetwork && recentClients_.contains(now, address))
    group = settings_->recentClientsGroup;
  return issuePermit(now, connection, address, group);
}

AdmissionDecision ClientAdmission::onUserAuthenticated(Time now, AdmittedConnection& connection,
                                                       std::optional<PermitId> permit,
                                                       const admission::IpAddress& address,
                                                       const std::string& user) {
  const auto group = settings_->users.find(user);
  const bool hasGroup = group != settings_->users.end();
  if (!permit && hasGroup) return issuePermit(now, connection, address, group->second);
  AdmissionDecision decision;
  decision.permit = permit;
  if (!permit)
    decision.reason = admission::rejectionReasonName(admission::RejectionReason::Full);
  else if (hasGroup)
    connections_.assignGroup(*permit, group->second);
  return decision;
}

AdmissionDecision ClientAdmission::issuePermit(Time now, AdmittedConnection& connection,
                                               const admission::IpAddress& address,
                                               std::optional<std::size_t> group) {
  const PermitId permit = ++lastPermit_;
  const admission::ConnectionDecision decided = connections_.admit(now, permit, address, group);
  AdmissionDecision decision;
  if (!decided.admitted) {
    decision.reason = admission::rejectionReasonName(decided.rejection);
    decision.retryAfter = decided.retryAfter;
    return decision;
  }
  if (decided.evict) evict(*decided.evict);
  holders_.emplace(permit, Holder{&connection, address});
  decision.permit = permit;
  return decision;
}

// Evicts a connection that ConnectionAdmission has already removed from its own records.
void ClientAdmission::evict(admission::ConnectionId id) {
  const auto it = holders_.find(id);
  if (it == holders_.end()) return;
  AdmittedConnection* const connection = it->second.connection;
  holders_.erase(it);
  connection->evict();
}

void ClientAdmission::remove(PermitId permit) {
  connections_.remove(permit);
  holders_.erase(permit);
}

void ClientAdmission::recordResponse(Time now, PermitId permit) {
  const auto it = holders_.find(permit);
  if (settings_->recentClientsGroup && it != holders_.end())
    recentClients_.recordResponse(now, it->second.address);
}

void ClientAdmission::onExhaustion(Time now) {
  std::size_t reserved = 0;
  for (std::size_t k = 0; k < connections_.groupCount(); ++k) reserved += connections_.limits(k).reserve;
  limit_.onExhaustion(now, connections_.connectionCount(), reserved);
  connections_.setConnectionLimit(limit_.value(now, settings_->connections.maxConnections));
  for (const admission::ConnectionId id : connections_.evictForExhaustion(now, kMaxEvictedOnExhaustion))
    evict(id);
}

void ClientAdmission::sweep(Time now) {
  if (limit_.active())
    connections_.setConnectionLimit(limit_.value(now, settings_->connections.maxConnections));
  for (const admission::ConnectionId id : connections_.evictSurplus(now, kMaxEvictedPerSweep)) evict(id);
}

void ClientAdmission::reload(std::shared_ptr<const admission::Settings> settings) {
  settings_ = std::move(settings);
  connections_.reload(settings_->connections, settings_->networks);
}

}  // namespace sablespur
