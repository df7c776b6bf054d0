// The ids of open requests that the processes of one proxy share while two of them run, as during an
// upgrade.
//
// A file that is mapped into memory holds a table for each process. A process writes its own table
// alone and reads those of the others, without locks: an id is published before the others are looked
// at, so of two processes that reserve one id at least one sees the other. A process holds a lock of
// its table for as long as it lives; the table of one that has ended counts as empty.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "engine/file_descriptor.hpp"

namespace sablespur {

class SharedRequestIds {
 public:
  static constexpr std::size_t kTables = 4;
  // An id may stand in any slot of its bucket. If all are taken, it is not published.
  static constexpr std::size_t kBuckets = 1024;
  static constexpr std::size_t kSlotsPerBucket = 8;

  // Takes a table of the file, which is created if it is missing. If the file cannot be used, that is
  // logged, and nothing is shared.
  explicit SharedRequestIds(const std::string& path);
  ~SharedRequestIds();
  SharedRequestIds(const SharedRequestIds&) = delete;
  SharedRequestIds& operator=(const SharedRequestIds&) = delete;

  bool isUsable() const { return tables_ != nullptr; }
  // Makes the id known to other processes.
  void publish(std::uint64_t id);
  // Takes a published id back; no effect if it was not published.
  void withdraw(std::uint64_t id);
  // Returns whether another process that still runs has published the id.
  bool isOpenElsewhere(std::uint64_t id) const;

 private:
  using Slot = std::atomic<std::uint64_t>;  // 0: free
  static_assert(Slot::is_always_lock_free);
  struct Table {
    Slot buckets[kBuckets][kSlotsPerBucket];
  };
  static constexpr std::size_t kMappedSize = kTables * sizeof(Table);

  bool map(const std::string& path);
  bool takeTable();
  bool isAlive(std::size_t table) const;

  FileDescriptor file_;
  Table* tables_ = nullptr;  // kTables of them; null: nothing is shared
  std::size_t own_ = 0;      // index of this process's table
};

}  // namespace sablespur
