// Which facts of a snapshot a proxy may rely on after a start, by their kind. Pure.
//
//   kept              names and addresses of endpoints, epoch, sequence: at worst an endpoint is gone, which
//                     the endpoint list reports. (Keyed writes and suspended endpoints have files of their
//                     own.)
//   kept, aged        latencies and rates: drawn toward those of the endpoint's group, else of all endpoints
//   kept, unconfirmed primaries: which endpoint to query first, and no more
//   dropped           positions and health: after a power loss an endpoint may be behind its last position
//
// Sources: Raft's snapshots record the past, and the term says which node is newer (Ongaro and Ousterhout,
// 2014); a FoundationDB recovery enters a new epoch before it serves.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "recovery/snapshot.hpp"

namespace sablespur::recovery {

using Time = std::chrono::microseconds;

struct SnapshotValidationPolicy {
  Time halfLife = std::chrono::minutes(10);  // of the weight of an endpoint's own figures
  // A snapshot that lies further ahead of the wall clock has no known age.
  Time clockTolerance = std::chrono::seconds(2);
};

struct RecoveredState {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  Time age{};  // 0 if fromFuture
  bool fromFuture = false;
  double ownWeight = 0;                          // of an endpoint's own figures against its group's; 0 to 1
  std::vector<EndpointRecord> endpoints;         // figures aged, positions dropped
  std::vector<PrimaryRecord> primaryCandidates;  // to be queried first
};

// nowMs: Unix time by the machine's wall clock.
RecoveredState validateSnapshot(const Snapshot&, std::int64_t nowMs, const SnapshotValidationPolicy&);

}  // namespace sablespur::recovery
