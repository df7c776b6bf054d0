// Tracks when the bytes in an input buffer were received. A client's deadline counts from the last
// byte of its request, however long the request then waits to be processed. Pure (no clock, no
// I/O), with bounded memory.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "engine/clock.hpp"

namespace sablespur {

class InputTimestamps {
 public:
  using Time = Clock::Time;

  // `full` means that the buffer has reached its limit, so more bytes may be waiting in the
  // socket's receive buffer. The bytes of the next call then get the timestamp of this one, so that
  // no timestamp is too late.
  void onReceived(std::size_t bytes, Time now, bool full);
  void onConsumed(std::size_t bytes);  // removed from the front of the buffer
  // Returns when the last of the first `bytes` bytes was received; zero if the buffer is empty.
  Time receivedAt(std::size_t bytes) const;
  std::size_t spanCount() const { return spans_.size(); }

 private:
  struct Span {
    std::size_t bytes;
    Time at;
  };

  std::vector<Span> spans_;  // in buffer order, front first
  // std::nullopt if the last read emptied the socket's receive buffer.
  std::optional<Time> fullSince_;
};

}  // namespace sablespur
