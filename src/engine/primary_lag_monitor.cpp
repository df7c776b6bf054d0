#include "engine/primary_lag_monitor.hpp"

#include "engine/primary_clock_evidence.hpp"

namespace sablespur {

PrimaryLagMonitor::Change PrimaryLagMonitor::observe(ServerId server, Time behind, Time now) {
  if (behind <= PrimaryClockEvidence::kMaxIdlePositionAge)
    return laggingSince_.erase(server) > 0 ? Change::Ended : Change::None;
  return laggingSince_.emplace(server, now).second ? Change::Began : Change::None;
}

std::optional<PrimaryLagMonitor::Time> PrimaryLagMonitor::laggingSince(ServerId server) const {
  const auto it = laggingSince_.find(server);
  return it == laggingSince_.end() ? std::nullopt : std::make_optional(it->second);
}

}  // namespace sablespur
