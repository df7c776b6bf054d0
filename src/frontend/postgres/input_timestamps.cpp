#include "frontend/postgres/input_timestamps.hpp"

#include <algorithm>

namespace sablespur {
namespace {

// What comes so close together is one span, with the time of its first part.
constexpr InputTimestamps::Time kTogether = std::chrono::milliseconds(5);
// Guards the memory against input that trickles: what comes then goes to the last span.
constexpr std::size_t kMostSpans = 256;

}  // namespace

void InputTimestamps::onReceived(std::size_t bytes, Time now, bool full) {
  const Time at = fullSince_ > Time(0) ? fullSince_ : now;
  if (!spans_.empty() && (at - spans_.back().at < kTogether || spans_.size() >= kMostSpans))
    spans_.back().bytes += bytes;
  else
    spans_.push_back({bytes, at});
  fullSince_ = full ? at : Time(0);
}

void InputTimestamps::onConsumed(std::size_t bytes) {
  auto first = spans_.begin();
  for (; first != spans_.end() && bytes >= first->bytes; ++first) bytes -= first->bytes;
  spans_.erase(spans_.begin(), first);
  if (!spans_.empty()) spans_.front().bytes -= bytes;
}

InputTimestamps::Time InputTimestamps::receivedAt(std::size_t bytes) const {
  for (const Span& s : spans_) {
    if (bytes <= s.bytes) return s.at;
    bytes -= s.bytes;
  }
  return spans_.empty() ? Time(0) : spans_.back().at;
}

}  // namespace sablespur
