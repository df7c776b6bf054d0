// The list of data servers that a discovery source provides, and the parser of its JSON form.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"
#include "discovery/list_validity.hpp"
#include "support/address.hpp"

namespace sablespur {

// A data server as described by its discovery source.
struct DiscoveredEndpoint {
  std::string name;
  Address address;  // unset if not given; may be missing for a server that has left
  std::string zone;
  std::string kind;  // machine type; empty if not given
  balancer::GroupId group = 0;
  balancer::Lifecycle state = balancer::Lifecycle::Ready;
  double weight = 1;
  std::int64_t startedMs = 0;  // Unix time in milliseconds; 0: long ago, or not given
};
bool operator==(const DiscoveredEndpoint&, const DiscoveredEndpoint&);
inline bool operator!=(const DiscoveredEndpoint& a, const DiscoveredEndpoint& b) { return !(a == b); }

// A whole list, or the changes since the previous list.
struct EndpointList {
  std::uint64_t generation = 0;
  bool reset = false;  // a whole list: endpoints that are not in it have left
  std::vector<DiscoveredEndpoint> instances;
  // Handed over by another process of this proxy, which had it confirmed by discovery.
  bool isConfirmed = false;
};

// Receives lists from a discovery source, first a whole list and then changes, and its failures.
class EndpointListConsumer {
 public:
  virtual ~EndpointListConsumer() = default;
  virtual void endpointsListed(EndpointList) = 0;
  virtual void discoveryFailed(const std::string& why) = 0;
  // The list may be used until `until`, unless a later call allows more; std::nullopt: without limit.
  // Instants are those of the process's clock.
  virtual void listLimited(std::optional<balancer::Time> /*until*/, ListLimit) {}
  // Generation of the list that was last received.
  virtual std::uint64_t generation() const = 0;
};

// Thrown for malformed input. The message names the key.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Splits the bytes of a watch into lists: JSON objects, each on one line or indented over several.
// A list is complete at its closing brace, so a truncated one is never returned. A list has less
// than 4 MiB.
class EndpointListStream {
 public:
  // Appends the text of each complete list to `complete`. Returns false if the input is not a JSON
  // object or a list is too long; the stream must not be fed again after that.
  bool feed(std::string_view bytes, std::vector<std::string>& complete);

  // Number of bytes of lists so far, without whitespace between tokens: a measure of progress.
  std::size_t significantBytes() const { return significantBytes_; }
  // Number of newlines between lists so far. An idle watch sends them as keep-alives.
  std::size_t emptyLines() const { return emptyLines_; }
  // Whether a list has begun and is not complete.
  bool isInList() const { return depth_ > 0; }

 private:
  std::size_t significantBytes_ = 0;
  std::size_t emptyLines_ = 0;
  std::string list_;  // text of the incomplete list
  int depth_ = 0;     // nesting of braces and brackets; 0 between two lists
  bool inString_ = false, afterBackslash_ = false;
};

// Returns the word for the state in the registry's JSON form.
const char* lifecycleName(balancer::Lifecycle);
// Parses with Address::parse. Throws BadInput naming the key.
Address parseAddress(std::string_view text, const std::string& key);
// Parses a list in the registry's JSON form. Throws BadInput naming the key.
EndpointList parseEndpointList(std::string_view json);

}  // namespace sablespur
