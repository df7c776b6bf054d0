// Decides which facts of a snapshot a proxy relies on after a start. Performs no I/O and reads no
// clock.
//
//   kept               names and addresses of endpoints, epoch, sequence. At worst an endpoint is
//                      gone, which the endpoint list reports. (Keyed writes and suspended endpoints
//                      are stored in other files.)
//   kept, discounted   latencies and rates. The older the snapshot, the closer they move to the
//                      mean of the endpoint's group, or of all endpoints if the group has fewer
//                      than two figures.
//   kept as candidates primaries. They only say which endpoint to query first.
//   dropped            positions and health. After a power loss an endpoint may be behind its last
//                      position.
//
// Sources: as in Raft, a snapshot describes a past state and a term (here the epoch) tells which
// node is newer (Ongaro and Ousterhout, 2014). As in FoundationDB, recovery enters a new epoch
// before it serves.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "recovery/snapshot.hpp"

namespace sablespur::recovery {

using Time = std::chrono::microseconds;

struct SnapshotValidationPolicy {
  Time halfLife = std::chrono::minutes(10);  // of ownWeight, by the snapshot's age
  // A snapshot that is further ahead of the wall clock counts as from the future: its age is not
  // known.
  Time clockTolerance = std::chrono::seconds(2);
};

struct RecoveredState {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  Time age{};  // 0 if fromFuture
  bool fromFuture = false;
  double ownWeight = 0;  // weight of an endpoint's own figures against its group's mean; 0 to 1
  std::vector<EndpointRecord> endpoints;         // figures discounted, positions dropped
  std::vector<PrimaryRecord> primaryCandidates;  // to be queried first
};

// `nowMs` is Unix time by the machine's wall clock.
RecoveredState validateSnapshot(const Snapshot&, std::int64_t nowMs, const SnapshotValidationPolicy&);

}  // namespace sablespur::recovery
