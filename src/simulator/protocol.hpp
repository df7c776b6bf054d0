// Framing and translation of the simulator's wire: bytes to events, actions to bytes. Decides nothing.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/balancer.hpp"

namespace sablespur::simulator {

// A frame that cannot be read; `at` counts bytes from the start of the input.
struct Malformed : std::runtime_error {
  Malformed(const std::string& what, std::uint64_t at)
      : std::runtime_error(what + " at byte " + std::to_string(at)) {}
};
// A setting that is missing or unreadable.
struct BadSetting : std::runtime_error {
  using std::runtime_error::runtime_error;
};

balancer::Settings parseSettings(const std::string& facts);  // throws BadSetting with the key and the value

// One process: any number of instances, each with a Balancer of its own.
class Host {
 public:
  Host();
  ~Host();
  // Takes a batch without its length field, gives the reply with its header. `offset`: of the batch's first
  // byte.
  std::vector<std::uint8_t> handle(const std::uint8_t* batch, std::size_t size, std::uint64_t offset);

 private:
  struct Instance;
  std::map<std::uint16_t, std::unique_ptr<Instance>> instances_;
  std::map<std::uint32_t, std::vector<balancer::ListedEndpoint>> lists_;
};

// Reads batches until the input ends. 0: it ended between frames; 1: it was malformed (one line on stderr).
int run(int in, int out);

}  // namespace sablespur::simulator
