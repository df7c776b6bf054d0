#include "frontend/postgres/input_timestamps.hpp"

#include <algorithm>

namespace sablespur {
namespace {

// Bytes received within this time share one span, which has the receive time of its first byte.
constexpr InputTimestamps::Time kSpanLength = std::chrono::milliseconds(5);
// Bounds the memory for input that arrives in tiny pieces: at this number of spans the last one is
// extended.
constexpr std::size_t kMaxSpans = 256;

}  // namespace

void InputTimestamps::onReceived(std::size_t bytes, Time now, bool full) {
  const Time at = fullSince_.value_or(now);
  if (!spans_.empty() && (at - spans_.back().at < kSpanLength || spans_.size() >= kMaxSpans))
    spans_.back().bytes += bytes;
  else
    spans_.push_back({bytes, at});
  if (full)
    fullSince_ = at;
  else
    fullSince_.reset();
}

void InputTimestamps::onConsumed(std::size_t bytes) {
  auto first = spans_.begin();
  while (first != spans_.end() && bytes >= first->bytes) {
    bytes -= first->bytes;
    ++first;
  }
  spans_.erase(spans_.begin(), first);
  if (!spans_.empty()) spans_.front().bytes -= bytes;
}

InputTimestamps::Time InputTimestamps::receivedAt(std::size_t bytes) const {
  for (const Span& span : spans_) {
    if (bytes <= span.bytes) return span.at;
    bytes -= span.bytes;
  }
  return spans_.empty() ? Time(0) : spans_.back().at;
}

}  // namespace sablespur
