// A list of data servers as a discovery source gives it, and its JSON form.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"
#include "support/address.hpp"

namespace sablespur {

// A data server as its source describes it.
struct DiscoveredEndpoint {
  std::string name;
  Address address;  // none: not given, as it may be for one that has left
  std::string zone;
  std::string kind;  // of machine; empty: not given
  balancer::GroupId group = 0;
  balancer::Lifecycle state = balancer::Lifecycle::Ready;
  double weight = 1;
  std::int64_t startedMs = 0;  // Unix time in milliseconds; 0: long ago
};
bool operator==(const DiscoveredEndpoint&, const DiscoveredEndpoint&);
inline bool operator!=(const DiscoveredEndpoint& a, const DiscoveredEndpoint& b) { return !(a == b); }

// A whole list, or what has changed since the last one.
struct EndpointList {
  std::uint64_t generation = 0;
  bool reset = false;  // a whole list: what is absent is gone
  std::vector<DiscoveredEndpoint> instances;
};

// Receives lists from a discovery source: a whole list first, then changes; and the source's failures.
class EndpointListConsumer {
 public:
  virtual ~EndpointListConsumer() = default;
  virtual void endpointsListed(EndpointList) = 0;
  virtual void discoveryFailed(const std::string& why) = 0;
  // Of the list that was last received.
  virtual std::uint64_t generation() const = 0;
};

// Input that cannot be read. The message names the key.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Splits the bytes of a watch into lists: JSON objects, each on one line or indented over many. A list ends
// with its last brace, so one that was cut off is never given out. Its size is bounded.
class EndpointListStream {
 public:
  // Appends the text of lists that have ended to `complete`. False if there is something that is no object,
  // or a list is too long; the stream must not be fed again then.
  bool feed(std::string_view bytes, std::vector<std::string>& complete);

  // Bytes of lists so far, blanks between their parts not counted: what grows with each sign of progress.
  std::size_t significantBytes() const { return significantBytes_; }
  // Lines that ended between two lists so far, as an idle watch sends them.
  std::size_t emptyLines() const { return emptyLines_; }
  // A list has begun and not ended.
  bool isInList() const { return depth_ > 0; }

 private:
  std::size_t significantBytes_ = 0;
  std::size_t emptyLines_ = 0;
  std::string list_;  // of the list that has begun
  int depth_ = 0;     // of braces and brackets; 0: between two lists
  bool inString_ = false, afterBackslash_ = false;
};

// Address::parse. Throws BadInput naming the key.
Address parseAddress(std::string_view text, const std::string& key);
// The registry's JSON form. Throws BadInput naming the key.
EndpointList parseEndpointList(std::string_view json);

}  // namespace sablespur
