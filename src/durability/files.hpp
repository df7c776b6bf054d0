// File access of the store: a leveldb::Env that is used by LevelDB and by the store's own files.
//
// Every operation that changes the disk goes through here, one hook call per system call, so that a
// hook can observe it or make it fail: tests fail each operation in turn, and the crash sweep
// (tests/store_sweep.cpp) replays them. The last read is remembered, so that errors can name the
// damaged file and offset. As thread-safe as leveldb::Env; a hook must be thread-safe, too.
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
    leveldb::Status status;        // if not ok, the operation fails with it
    std::size_t bytesWritten = 0;  // written before the failure
  };
  // Called before the operation is carried out. `bytes`: the data to write; `at`: the offset of an
  // overwrite, the new size of a truncate, or 1 for an open that truncates the file; `to`: the new
  // name of a renamed file.
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
  leveldb::Status truncate(const std::string& path, std::uint64_t size);  // durable on return
  leveldb::Status read(const std::string& path, std::string& contents);
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
  LastRead lastRead_;
};

}  // namespace sablespur::durability
