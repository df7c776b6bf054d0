// The snapshot that a proxy records of its endpoints for its next start, and its encoding. Accesses
// no files and no clock.
//
// A snapshot may be out of date when it is loaded; snapshot_validation.hpp decides which facts
// still hold. Endpoints are identified by name, as in the endpoint list.
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
  double latencyUs = 0;           // mean of its responses; 0: no response yet
  double responsesPerSecond = 0;  // recent rate, to this proxy
  std::int64_t positionMs = 0;    // replication position as Unix time; 0: not known
};
struct PrimaryRecord {
  std::uint32_t group = 0;
  std::string endpoint;
  std::int64_t seenMs = 0;  // Unix time of the endpoint's last response as primary
};
struct Snapshot {
  std::uint64_t epoch = 0;     // of the fleet; grows by one when proxies start and none is serving
  std::uint64_t sequence = 0;  // number of the snapshot; grows by one with each that this proxy takes
  std::int64_t wallMs = 0;     // Unix time when it was taken
  std::vector<EndpointRecord> endpoints;
  std::vector<PrimaryRecord> primaries;
};

// Limits for writing and reading; they bound the time and memory that reading any file takes.
constexpr std::size_t kMaxSnapshotEndpoints = 10000;
constexpr std::size_t kMaxSnapshotBytes = 8u << 20;

// Encodes a snapshot as a first line with the version and with the length and checksum (XXH3) of
// the rest, followed by CBOR (RFC 8949). Endpoints beyond kMaxSnapshotEndpoints are left out.
std::string encode(const Snapshot&);

// Thrown if the bytes are not a snapshot of a known version: truncated, corrupt or written by a
// later version. `offset` is the offset of the first wrong byte, as far as it can be determined.
struct SnapshotError : std::runtime_error {
  SnapshotError(const std::string& what, std::size_t at) : runtime_error(what), offset(at) {}
  std::size_t offset;
};
Snapshot decode(std::string_view file);  // throws SnapshotError

}  // namespace sablespur::recovery
