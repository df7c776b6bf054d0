// The file that holds this proxy's snapshot: read once at the start, replaced as a whole later on.
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

// Belongs to the event loop's thread. Destroying it drops the result of a write that is under way; the write
// itself completes on its worker.
class SnapshotFile {
 public:
  enum class LoadStatus { Missing, Loaded, Rejected };
  struct LoadResult {
    LoadStatus status = LoadStatus::Missing;
    Snapshot snapshot;  // empty unless Loaded
  };

  SnapshotFile(WorkerPool&, std::string path);

  // Blocks. A file that is damaged or can't be read is logged and renamed to PATH.refused, replacing an
  // earlier one, so that it can be examined.
  LoadResult load();
  // Encodes and writes on a worker. Call only while no write is under way.
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
  bool lastWriteFailed_ = false;  // a run of failures is logged once
  WorkerPool::Ticket writeInProgress_;
};

const char* loadStatusName(SnapshotFile::LoadStatus);

}  // namespace sablespur::recovery
