// The list of data servers in discovery's form.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"
#include "support/address.hpp"

namespace sablespur {

struct DiscoveredEndpoint {
  std::string name;
  Address address;  // none: not told, as it may be for one that has left
  std::string zone;
  std::string kind;  // of machine; empty: not told
  balancer::GroupId group = 0;
  balancer::Lifecycle state = balancer::Lifecycle::Ready;
  double weight = 1;
  std::int64_t startedMs = 0;  // Unix time; 0: long ago
};
bool operator==(const DiscoveredEndpoint&, const DiscoveredEndpoint&);
inline bool operator!=(const DiscoveredEndpoint& a, const DiscoveredEndpoint& b) { return !(a == b); }
struct EndpointList {
  std::uint64_t generation = 0;
  bool reset = false;  // the whole list: what is absent is gone
  std::vector<DiscoveredEndpoint> instances;
};

// Whoever takes the list from its source: the whole list first, then changes, or the source's failure.
class EndpointListConsumer {
 public:
  virtual ~EndpointListConsumer() = default;
  virtual void endpointsListed(EndpointList) = 0;
  virtual void discoveryFailed(const std::string& why) = 0;
  virtual std::uint64_t generation() const = 0;  // of the list as it is known
};

// What cannot be read; the message names the key.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Finds the lists in the bytes of a watch: JSON objects, each in one line or indented over many. What ends a
// list is its last brace, so one that was cut off never counts. Bounded; a feed after a false one is not
// allowed.
class EndpointListStream {
 public:
  // Whole ones come out at the back of `whole`, as text. `alive`: a list began or ended, or a line ended
  // between two, as a quiet watch sends it. False: something stands there that is no object, or a list is too
  // long.
  bool feed(std::string_view bytes, std::vector<std::string>& whole, bool& alive);

 private:
  std::string list_;  // of the list that has begun
  int depth_ = 0;     // of braces and brackets; 0: between two lists
  bool inString_ = false, afterBackslash_ = false;
};

Address parseAddress(std::string_view text, const std::string& key);  // Address::parse, or BadInput
EndpointList parseEndpointList(std::string_view json);

}  // namespace sablespur
