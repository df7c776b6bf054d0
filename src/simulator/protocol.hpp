// Framing and translation of the wire protocol of the simulator: bytes to events, actions to bytes.
// Contains no decision logic.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/balancer.hpp"

namespace sablespur::simulator {

// Thrown for a frame that cannot be parsed; `at` is the byte offset from the start of the input.
struct Malformed : std::runtime_error {
  Malformed(const std::string& what, std::uint64_t at)
      : std::runtime_error(what + " at byte " + std::to_string(at)) {}
};
// Thrown for a setting that is missing or invalid.
struct BadSetting : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses `key=value` lines. Throws BadSetting with the key and the value.
balancer::Settings parseSettings(const std::string& text);

// Runs any number of simulated proxies (instances) in one process, each with its own Balancer.
class Host {
 public:
  Host();
  ~Host();
  // Handles a batch, passed without its length field, and returns the reply including its header.
  // `offset` is the position of the first byte of the batch in the input. Throws Malformed.
  std::vector<std::uint8_t> handle(const std::uint8_t* batch, std::size_t size, std::uint64_t offset);

 private:
  struct Instance;
  std::map<std::uint16_t, std::unique_ptr<Instance>> instances_;
  std::map<std::uint32_t, std::vector<balancer::ListedEndpoint>> lists_;
};

// Handles batches until the input ends. Returns 0 if it ended between frames. Returns 1 if it was
// malformed or a reply could not be written, with one line on stderr.
int run(int in, int out);

}  // namespace sablespur::simulator
