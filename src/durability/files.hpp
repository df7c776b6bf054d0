// The store's way to the disk: a file layer (leveldb::Env) under LevelDB and under what stands round it.
//
// Every operation that changes the disk goes through here, one call a system call, so that a hook can watch
// it or have it fail: tests try each in turn, and the sweep replays them. What was read last is remembered,
// so that damage can be named by file and offset. Thread-safe as leveldb::Env is; a hook must be, too.
#pragma once

#include <leveldb/env.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace sablespur::durability {

enum class FileOp { Open, Append, Sync, Overwrite, Truncate, Rename, Remove, MakeDirectory };
const char* fileOpName(FileOp);

class FileHook {
 public:
  virtual ~FileHook() = default;
  struct Result {
    leveldb::Status status;        // not ok: the operation fails with it
    std::size_t bytesWritten = 0;  // ...after so many of its bytes
  };
  // Before it is carried out. `bytes`: what is written; `to`: a rename's new name; `at`: where an overwrite
  // begins, a truncate ends.
  virtual Result before(FileOp, const std::string& path, std::string_view bytes, std::uint64_t at,
                        const std::string& to) = 0;
};

class Files final : public leveldb::EnvWrapper {
 public:
  explicit Files(FileHook* hook = nullptr) : EnvWrapper(leveldb::Env::Default()), hook_(hook) {}

  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile**) override;
  leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile**) override;
  leveldb::Status NewSequentialFile(const std::string& path, leveldb::SequentialFile**) override;
  leveldb::Status NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile**) override;
  leveldb::Status RemoveFile(const std::string& path) override;
  leveldb::Status CreateDir(const std::string& path) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;

  leveldb::Status overwrite(const std::string& path, std::uint64_t at, std::string_view bytes, bool durable);
  leveldb::Status truncate(const std::string& path, std::uint64_t size);  // and makes that durable
  leveldb::Status read(const std::string& path, std::string& whole);
  leveldb::Status list(const std::string& dir, std::vector<std::string>& names);

  struct LastRead {
    std::string path;
    std::uint64_t offset = 0, length = 0;
  };
  LastRead lastRead() const;

 private:
  class HookedWritableFile;
  class TrackedSequentialFile;
  class TrackedRandomAccessFile;
  FileHook::Result consultHook(FileOp, const std::string& path, std::string_view bytes = {},
                               std::uint64_t at = 0, const std::string& to = {}) const;
  leveldb::Status open(const std::string& path, int flags, leveldb::WritableFile**);
  void rememberRead(const std::string& path, std::uint64_t offset, std::uint64_t length);

  FileHook* const hook_;
  mutable std::mutex mutex_;
  LastRead last_;
};

}  // namespace sablespur::durability
