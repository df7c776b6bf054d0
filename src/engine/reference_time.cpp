#include "engine/reference_time.hpp"

namespace sablespur {
namespace {

constexpr ReferenceTime::Time kWallClockInterval = std::chrono::milliseconds(100);

}  // namespace

void ReferenceTime::followWallClock(const Clock& clock, Time now) {
  if (now - wallReadAt_ < kWallClockInterval) return;
  wallReadAt_ = now;
  if (const std::optional<Time> offset = clock.wallOffset()) clock_.updateWallOffset(*offset);
}

std::optional<ReferenceTime::Time> ReferenceTime::updateOffset() {
  // Rounded up, so that data never look newer than they are.
  const Time offset = std::chrono::ceil<std::chrono::milliseconds>(clock_.offset());
  const Time movedBy = offset - offset_;
  if (movedBy == Time(0)) return std::nullopt;
  offset_ = offset;
  return movedBy;
}

}  // namespace sablespur
