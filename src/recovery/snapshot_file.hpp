// Reads this proxy's snapshot file at the start and replaces it with new snapshots.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "engine/workers.hpp"
#include "recovery/snapshot.hpp"

namespace sablespur::durability {
class Files;
}
namespace sablespur::recovery {

// Used on the event loop's thread only. If it is destroyed during a write, the write completes on
// its worker and the result is dropped.
class SnapshotFile {
 public:
  enum class LoadStatus { Missing, Loaded, Rejected };
  struct LoadResult {
    LoadStatus status = LoadStatus::Missing;
    Snapshot snapshot;  // empty unless Loaded
  };

  SnapshotFile(WorkerPool&, std::string path);

  // Loads the snapshot; blocks. A file that is damaged or can't be read is logged and renamed to
  // PATH.refused for examination, replacing an earlier one.
  LoadResult load();
  // Encodes and writes the snapshot on a worker. Must not be called while a write is in progress.
  void write(Snapshot);
  bool writeInProgress() const { return writeInProgress_ != nullptr; }

  std::uint64_t writesSucceeded() const { return writesSucceeded_; }
  std::uint64_t writesFailed() const { return writesFailed_; }

 private:
  LoadResult decodeFile() const;
  void writeFinished(const std::string& error);

  WorkerPool& workers_;
  const std::string path_;
  const std::shared_ptr<durability::Files> files_;  // shared with a write that outlives this object
  std::uint64_t writesSucceeded_ = 0;
  std::uint64_t writesFailed_ = 0;
  bool lastWriteFailed_ = false;  // so that consecutive failures are logged once
  WorkerPool::Ticket writeInProgress_;
};

const char* loadStatusName(SnapshotFile::LoadStatus);

}  // namespace sablespur::recovery
