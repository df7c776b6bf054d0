// Pairs of bytes on disk, in LevelDB, a durable batch at a time. What stands round LevelDB, and why, is told
// in docs/design/store.md: its logs are inspected before it opens them, and a mark tells how far it had come.
//
// What commit() has returned from survives the process's death and the machine's. Nothing that it had taken
// is ever missing silently: open() or the read that meets the damage throws a StoreError that names file and
// offset. Not thread-safe: one thread owns it.
#pragma once

#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "durability/files.hpp"

namespace sablespur::durability {

struct LogInspection;

struct StoreError : std::runtime_error {
  enum class Kind {
    Busy,     // another process has it open
    Damaged,  // what had been durable is not there, or not what it was
    Newer,    // written by a later version
    Failed    // the disk does not do what it is asked: full, read-only, an error; it may come back
  };
  StoreError(Kind k, const std::string& text, std::string f = {}, std::uint64_t at = 0)
      : std::runtime_error(text), kind(k), file(std::move(f)), offset(at) {}
  Kind kind;
  std::string file;  // Damaged: where
  std::uint64_t offset;
};

struct DatabaseOpenResult {
  std::uint64_t commits = 0;    // the number of the last commit
  std::uint64_t tornBytes = 0;  // of a commit that was being written when its writer ended; cut off
  std::string tornFile;
  std::uint64_t tornOffset = 0;
};

class Database {
 public:
  // Makes what is not there. Throws StoreError.
  Database(Files&, const std::string& directory);
  ~Database();
  Database(const Database&) = delete;

  const DatabaseOpenResult& opened() const { return opened_; }
  // Pairs of one commit, the number of it included; durable once this has returned. Throws StoreError
  // (Failed), after which this object is of no more use: what became of the batch is known once it is opened
  // again.
  class Batch {
   public:
    Batch();
    void put(std::string_view key, std::string_view value);
    void remove(std::string_view key);
    std::size_t pairs() const { return pairs_; }

   private:
    friend class Database;
    leveldb::WriteBatch batch_;
    std::size_t pairs_ = 0;
  };
  void commit(const Batch&);
  std::optional<std::string> get(std::string_view key);
  // In the order of keys, from `from` on while the key begins with `prefix`; stops when `each` returns false.
  void scan(std::string_view prefix, std::string_view from,
            const std::function<bool(std::string_view key, std::string_view value)>& each);
  void compact();
  std::uint64_t bytesOnDisk() const;
  std::uint64_t commits() const { return commits_; }

 private:
  // What the manifest and the logs before have told.
  struct LogProgress {
    std::string manifest;                // its name; empty: none is named
    std::uint64_t manifestSequence = 0;  // the last that the manifest knows
    std::uint64_t firstLog = 0;          // the number of the first log that is still needed
    std::uint64_t nextSequence = 0;      // that the next log has to begin with; 0: not known yet
  };
  enum class LogPlace { Earlier, Last };

  void inspectLogs();
  std::string currentManifest();
  std::string readLog(const std::string& name);
  void inspectManifest(LogProgress&);
  void inspectBatches(const std::string& name, LogPlace, LogProgress&);
  static void checkTail(const std::string& name, LogPlace, const LogInspection&);
  void cutTail(const std::string& name, std::string_view bytes, const LogInspection&);
  void openDatabase();
  void checkMark() const;
  void readMark();
  void writeMark(bool durable);
  [[noreturn]] void fail(const leveldb::Status&, const char* doing);

  Files& files_;
  const std::string directory_;
  const std::unique_ptr<leveldb::Cache> cache_;
  const std::unique_ptr<leveldb::Logger> discardingLogger_;
  leveldb::FileLock* lock_ = nullptr;
  std::unique_ptr<leveldb::DB> db_;
  DatabaseOpenResult opened_;
  std::uint64_t commits_ = 0, markedCommits_ = 0;
  std::uint64_t marksSinceSync_ = 0;
};

}  // namespace sablespur::durability
