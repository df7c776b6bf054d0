#include "engine/primary_lag_monitor.hpp"

namespace sablespur {
namespace {

// The last commit of an idle primary may be this old.
constexpr PrimaryLagMonitor::Time kMaxIdlePositionAge = std::chrono::seconds(1);

}  // namespace

PrimaryLagMonitor::Change PrimaryLagMonitor::observe(ServerId server, Time behind, Time now) {
  if (behind <= kMaxIdlePositionAge) return laggingSince_.erase(server) > 0 ? Change::Ended : Change::None;
  return laggingSince_.emplace(server, now).second ? Change::Began : Change::None;
}

std::optional<PrimaryLagMonitor::Time> PrimaryLagMonitor::laggingSince(ServerId server) const {
  const auto it = laggingSince_.find(server);
  return it == laggingSince_.end() ? std::nullopt : std::make_optional(it->second);
}

}  // namespace sablespur
