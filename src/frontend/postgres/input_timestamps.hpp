// Input timestamps: when the bytes in an input buffer were received. A client's deadline counts from the last
// byte of its request, however long the request then waits to be processed. Pure and bounded.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "engine/clock.hpp"

namespace sablespur {

class InputTimestamps {
 public:
  using Time = Clock::Time;

  // `full`: the buffer is at its limit now, so more may be waiting in the system. What is received next then
  // counts as received with this, so that no time is too late.
  void onReceived(std::size_t bytes, Time now, bool full);
  void onConsumed(std::size_t bytes);  // from the front
  // When the last of the first `bytes` bytes was received; zero for an empty buffer.
  Time receivedAt(std::size_t bytes) const;
  std::size_t spanCount() const { return spans_.size(); }

 private:
  struct Span {
    std::size_t bytes;
    Time at;
  };

  std::vector<Span> spans_;        // from the buffer's front
  std::optional<Time> fullSince_;  // none: the last read emptied the system's buffer
};

}  // namespace sablespur
