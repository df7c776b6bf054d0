#include "engine/list_limit_monitor.hpp"

#include "logging/log.hpp"

namespace sablespur {

void ListLimitMonitor::limited(Time now, std::optional<Time> until, ListLimit limit) {
  until_ = until;
  limit_ = limit;
  advance(now);
}

void ListLimitMonitor::advance(Time now) {
  if (isTooOld(now) && !expiredAt_) {
    expiredAt_ = now;
    rejectionsBefore_ = rejections_;
    logEvent(LogLevel::Warning, "endpoint_list_expired", {{"limit", toString(limit_)}});
  } else if (!isTooOld(now) && expiredAt_) {
    logEvent(
        LogLevel::Info, "endpoint_list_usable",
        {{"expired_ms", (now - *expiredAt_).count() / 1000}, {"rejected", rejections_ - rejectionsBefore_}});
    expiredAt_.reset();
  }
}

void ListLimitMonitor::requestRejected(Time now) {
  if (isTooOld(now)) ++rejections_;
}

}  // namespace sablespur
