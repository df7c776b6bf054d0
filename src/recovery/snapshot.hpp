// What a proxy writes down of what it has learned, for its next start: pure, no files and no clock.
//
// A snapshot is a record of the past and nothing else. What of it may still be relied on is for trust.hpp to
// say. Members and figures are by the member's name, which is what the list of data servers knows it by.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::recovery {

struct EndpointRecord {
  std::string name, address, zone;
  std::uint32_t group = 0;
  double weight = 1;
  std::int64_t startedMs = 0;     // Unix time; 0: long ago
  double latencyUs = 0;           // mean of its answers; 0: none yet
  double responsesPerSecond = 0;  // answers a second that it gave this proxy, of late
  std::int64_t positionMs = 0;    // how far its data were seen to go, Unix time; 0: never seen
};
struct PrimaryRecord {
  std::uint32_t group = 0;
  std::string endpoint;
  std::int64_t seenMs = 0;  // when a data server last answered as primary
};
struct Snapshot {
  std::uint64_t epoch = 0;     // of the fleet: one more after each time that none of it was there to ask
  std::uint64_t sequence = 0;  // of this proxy's snapshots, never less than the one before
  std::int64_t wallMs = 0;     // when it was taken
  std::vector<EndpointRecord> endpoints;
  std::vector<PrimaryRecord> primaries;
};

// Bounds of what is written and of what is read: whatever the file holds, reading it costs no more.
constexpr std::size_t kMaxSnapshotEndpoints = 10000, kMaxSnapshotBytes = 8u << 20;

// The file's form: a head line with the version, the length and a checksum (XXH3) of what follows, then CBOR
// (RFC 8949). Members beyond the bound are left out.
std::string encode(const Snapshot&);

// The file is not as it was written: cut short, spoilt, or of a later version. `at` is the first byte that is
// wrong, as far as that can be told.
struct SnapshotError : std::runtime_error {
  SnapshotError(const std::string& what, std::size_t at) : runtime_error(what), offset(at) {}
  std::size_t offset;
};
Snapshot decode(std::string_view file);  // throws Damaged

}  // namespace sablespur::recovery
