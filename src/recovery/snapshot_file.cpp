#include "recovery/snapshot_file.hpp"

#include <optional>
#include <utility>

#include "durability/whole_file.hpp"
#include "logging/log.hpp"

namespace sablespur::recovery {

const char* loadStatusName(SnapshotFile::LoadStatus status) {
  switch (status) {
    case SnapshotFile::LoadStatus::Missing:
      return "none";
    case SnapshotFile::LoadStatus::Loaded:
      return "read";
    case SnapshotFile::LoadStatus::Rejected:
      break;
  }
  return "refused";
}

SnapshotFile::SnapshotFile(WorkerPool& workers, std::string path)
    : workers_(workers), path_(std::move(path)), files_(std::make_shared<durability::Files>()) {}

SnapshotFile::LoadResult SnapshotFile::load() {
  try {
    return decodeFile();
  } catch (const SnapshotError& e) {
    logEvent(LogLevel::Warning, "snapshot_rejected", {{"file", path_}, {"at", e.offset}, {"why", e.what()}});
  } catch (const std::exception& e) {
    logEvent(LogLevel::Warning, "snapshot_rejected", {{"file", path_}, {"why", e.what()}});
  }
  files_->RenameFile(path_, path_ + ".refused");
  return {LoadStatus::Rejected, {}};
}

SnapshotFile::LoadResult SnapshotFile::decodeFile() const {
  const std::optional<std::string> bytes = durability::readFile(*files_, path_);
  if (!bytes) return {};
  return {LoadStatus::Loaded, decode(*bytes)};
}

void SnapshotFile::write(Snapshot snapshot) {
  writeInProgress_ = workers_.run(
      [files = files_, path = path_, taken = std::move(snapshot)] {
        return durability::replaceFile(*files, path, encode(taken));
      },
      [this](const std::string& error) { writeFinished(error); });
}

void SnapshotFile::writeFinished(const std::string& error) {
  writeInProgress_.reset();
  const bool failed = !error.empty();
  const bool failedBefore = std::exchange(lastWriteFailed_, failed);
  ++(failed ? writesFailed_ : writesSucceeded_);
  if (failed && !failedBefore) logEvent(LogLevel::Warning, "snapshot_write_failed", {{"why", error}});
  if (!failed && failedBefore) logEvent(LogLevel::Info, "snapshot_write_recovered");
}

}  // namespace sablespur::recovery
