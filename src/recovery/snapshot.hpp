// What a proxy records of its endpoints for its next start, and the stored form. Pure: no files and no clock.
//
// A snapshot is a record of the past. What of it may still be relied on is decided in
// snapshot_validation.hpp. Endpoints are identified by name, as in the endpoint list.
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
  double latencyUs = 0;           // mean of its responses; 0: none yet
  double responsesPerSecond = 0;  // to this proxy, recently
  std::int64_t positionMs = 0;    // replication position as Unix time; 0: none seen
};
struct PrimaryRecord {
  std::uint32_t group = 0;
  std::string endpoint;
  std::int64_t seenMs = 0;  // Unix time of its last response as primary
};
struct Snapshot {
  std::uint64_t epoch = 0;     // of the fleet: grows by one when no proxy is left that serves
  std::uint64_t sequence = 0;  // of this proxy's snapshots, increasing
  std::int64_t wallMs = 0;     // Unix time when it was taken
  std::vector<EndpointRecord> endpoints;
  std::vector<PrimaryRecord> primaries;
};

// Bounds of what is written and of what is read, so that no file costs more to read.
constexpr std::size_t kMaxSnapshotEndpoints = 10000;
constexpr std::size_t kMaxSnapshotBytes = 8u << 20;

// The stored form: a first line with the version, the length and a checksum (XXH3) of the rest, then CBOR
// (RFC 8949). Endpoints beyond the bound are left out.
std::string encode(const Snapshot&);

// The bytes are no snapshot of a known version: truncated, corrupt or written by a later version. `offset` is
// that of the first wrong byte, as far as it can be determined.
struct SnapshotError : std::runtime_error {
  SnapshotError(const std::string& what, std::size_t at) : runtime_error(what), offset(at) {}
  std::size_t offset;
};
Snapshot decode(std::string_view file);  // throws Damaged

}  // namespace sablespur::recovery
