// What of a snapshot a proxy may go by after a start, by the kind of fact: pure.
//
//   kept          the names of members and where they were, the epoch, the sequence: at worst a member is
//   gone,
//                 which the list tells; keyed writes and bans have files of their own, and are kept as well
//   kept, aged    latencies and rates: drawn toward those of the member's kin (its group, else all) by their
//   age unconfirmed   who was primary: whom to ask first, and no more never         positions, health: a data
//   server that lost power may come back behind where it had been seen
//
// Anchors: Raft's snapshots say what was, and a term says whose word is newer (Ongaro and Ousterhout, 2014);
// a FoundationDB recovery begins a new epoch and asks before it serves.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "recovery/snapshot.hpp"

namespace sablespur::recovery {

using Time = std::chrono::microseconds;

struct SnapshotValidationPolicy {
  Time halfLife = std::chrono::minutes(10);  // after which a figure counts half, its kin's the other half
  Time clockTolerance =
      std::chrono::seconds(2);  // a snapshot so much after now is from the future: its age is unknown
};

struct RecoveredState {
  std::uint64_t epoch = 0, sequence = 0;  // of the snapshot
  Time age{};                             // 0 where it is from the future
  bool fromFuture = false;
  double ownWeight = 0;                          // of a member's own figures; 0: its kin's alone
  std::vector<EndpointRecord> endpoints;         // figures aged, positions gone
  std::vector<PrimaryRecord> primaryCandidates;  // to be asked first; not primaries
};

// nowMs: Unix time, as the machine has it now.
RecoveredState validateSnapshot(const Snapshot&, std::int64_t nowMs, const SnapshotValidationPolicy&);

}  // namespace sablespur::recovery
