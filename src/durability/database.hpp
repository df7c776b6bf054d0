// A durable key-value store on LevelDB, written one batch at a time. LevelDB's logs are inspected
// before LevelDB opens them, and a marker file records the last durable commit (see
// docs/design/store.md).
//
// Once commit() has returned, the batch survives a crash of the process or of the machine.
// Committed data is never lost silently: the constructor or the read that meets the damage throws a
// StoreError that names the file and the offset. Not thread-safe: one thread owns it.
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
    Busy,     // another process has the database open
    Damaged,  // durable data is missing or corrupt
    Newer,    // written by a later version
    Failed    // disk full, read-only or an I/O error; a later attempt may succeed
  };
  StoreError(Kind k, const std::string& text, std::string f = {}, std::uint64_t at = 0)
      : std::runtime_error(text), kind(k), file(std::move(f)), offset(at) {}
  Kind kind;
  std::string file;  // Damaged: the damaged file; empty if unknown
  std::uint64_t offset;
};

struct DatabaseOpenResult {
  std::uint64_t commits = 0;    // number of the last commit
  std::uint64_t tornBytes = 0;  // truncated: part of a commit that was being written during a crash
  std::string tornFile;
  std::uint64_t tornOffset = 0;
};

class Database {
 public:
  // Creates the directory and the database if they do not exist. Throws StoreError.
  Database(Files&, const std::string& directory);
  ~Database();
  Database(const Database&) = delete;

  const DatabaseOpenResult& opened() const { return opened_; }
  // The changes of one commit; commit() adds the commit number.
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
  // The batch is durable once this has returned. After a StoreError the object must not be used any
  // more; whether the batch became durable is known only when the database has been opened again.
  void commit(const Batch&);
  std::optional<std::string> get(std::string_view key);
  // Visits the keys that begin with `prefix`, in order, starting at `from`. Stops when `each`
  // returns false.
  void scan(std::string_view prefix, std::string_view from,
            const std::function<bool(std::string_view key, std::string_view value)>& each);
  void compact();
  std::uint64_t bytesOnDisk() const;
  std::uint64_t commits() const { return commits_; }

 private:
  // State read from the manifest and from the logs inspected so far.
  struct LogProgress {
    std::string manifest;                // file name; empty in a new database
    std::uint64_t manifestSequence = 0;  // last sequence number in the manifest
    std::uint64_t firstLog = 0;          // number of the first log that is still needed
    std::uint64_t nextSequence = 0;      // expected first sequence number of the next log; 0: any
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
  void checkMarker() const;
  void readMarker();
  void writeMarker(bool durable);
  [[noreturn]] void fail(const leveldb::Status&, const char* context);

  Files& files_;
  const std::string directory_;
  const std::unique_ptr<leveldb::Cache> cache_;
  const std::unique_ptr<leveldb::Logger> discardingLogger_;
  leveldb::FileLock* lock_ = nullptr;
  std::unique_ptr<leveldb::DB> db_;
  DatabaseOpenResult opened_;
  std::uint64_t commits_ = 0, markerCommits_ = 0;  // markerCommits_: last commit recorded in the marker file
  std::uint64_t markersSinceSync_ = 0;
};

}  // namespace sablespur::durability
