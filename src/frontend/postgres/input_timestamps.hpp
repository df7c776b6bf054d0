// When the bytes that stand in an input came: a client's time runs from the last byte of its request, however
// long the request then waits to be taken. No I/O, no clock; what it holds is bounded.
#pragma once

#include <cstddef>
#include <vector>

#include "engine/clock.hpp"

namespace sablespur {

class InputTimestamps {
 public:
  using Time = Clock::Time;
  // `full`: the input stands at its limit now, so more may be waiting in the system. What comes next counts
  // as having come with this: never too late.
  void onReceived(std::size_t bytes, Time now, bool full);
  void onConsumed(std::size_t bytes);  // from the front
  // When the byte that is `bytes` from the front came, the last of those.
  Time receivedAt(std::size_t bytes) const;
  std::size_t spanCount() const { return spans_.size(); }

 private:
  struct Span {
    std::size_t bytes;
    Time at;
  };
  std::vector<Span> spans_;  // of the input, from its front
  Time fullSince_{};         // 0: the last read emptied the system's buffer
};

}  // namespace sablespur
