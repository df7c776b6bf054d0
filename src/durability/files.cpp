#include "durability/files.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <memory>
#include <utility>

#include "engine/file_calls.hpp"

namespace sablespur::durability {
namespace {

using leveldb::Slice;
using leveldb::Status;

constexpr std::size_t kBuffer = 64 << 10;  // write buffer of a table file

Status errnoStatus(const std::string& path) { return Status::IOError(path, std::strerror(errno)); }

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_;
};

Status writeAll(int fd, const std::string& path, std::string_view bytes) {
  return writeFully(fd, bytes) ? Status::OK() : errnoStatus(path);
}

Status syncDirectoryOf(const std::string& path) {
  const std::string dir = path.substr(0, path.rfind('/'));
  const Descriptor d(::open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return d && syncFully(d.get()) ? Status::OK() : errnoStatus(dir);
}

}  // namespace

const char* fileOpName(FileOp op) {
  constexpr const char* kNames[] = {"open",     "append", "sync",   "overwrite",
                                    "truncate", "rename", "remove", "make directory"};
  return kNames[static_cast<int>(op)];
}

FileHook::Result Files::consultHook(FileOp op, const std::string& path, std::string_view bytes,
                                    std::uint64_t at, const std::string& to) const {
  return hook_ ? hook_->before(op, path, bytes, at, to) : FileHook::Result{};
}

// Buffers writes and sends them with one write(2) per flush; LevelDB flushes after each record of
// its log.
class Files::HookedWritableFile final : public leveldb::WritableFile {
 public:
  HookedWritableFile(Files& files, std::string path, Descriptor fd)
      : files_(files), path_(std::move(path)), fd_(std::move(fd)) {}
  Status Append(const Slice& data) override {
    buffer_.append(data.data(), data.size());
    return buffer_.size() < kBuffer ? Status::OK() : Flush();
  }
  Status Flush() override {
    if (buffer_.empty()) return Status::OK();
    const std::string bytes = std::move(buffer_);
    buffer_.clear();
    const FileHook::Result hookResult = files_.consultHook(FileOp::Append, path_, bytes);
    if (hookResult.status.ok()) return writeAll(fd_.get(), path_, bytes);
    const Status partial =
        writeAll(fd_.get(), path_, std::string_view(bytes).substr(0, hookResult.bytesWritten));
    return partial.ok() ? hookResult.status : partial;
  }
  Status Sync() override {
    if (Status s = Flush(); !s.ok()) return s;
    if (const FileHook::Result hookResult = files_.consultHook(FileOp::Sync, path_); !hookResult.status.ok())
      return hookResult.status;
    if (!syncDataFully(fd_.get())) return errnoStatus(path_);
    // The first sync also syncs the directory: without it a crash could lose the file's directory
    // entry.
    if (std::exchange(directorySynced_, true)) return Status::OK();
    return syncDirectoryOf(path_);
  }
  Status Close() override { return Flush(); }

 private:
  Files& files_;
  const std::string path_;
  const Descriptor fd_;
  std::string buffer_;
  bool directorySynced_ = false;
};

class Files::TrackedSequentialFile final : public leveldb::SequentialFile {
 public:
  TrackedSequentialFile(Files& files, std::string path, std::unique_ptr<SequentialFile> file)
      : files_(files), path_(std::move(path)), file_(std::move(file)) {}
  Status Read(std::size_t n, Slice* result, char* scratch) override {
    files_.rememberRead(path_, offset_, n);
    Status s = file_->Read(n, result, scratch);
    if (s.ok()) offset_ += result->size();
    return s;
  }
  Status Skip(std::uint64_t n) override {
    offset_ += n;
    return file_->Skip(n);
  }

 private:
  Files& files_;
  const std::string path_;
  const std::unique_ptr<SequentialFile> file_;
  std::uint64_t offset_ = 0;
};

class Files::TrackedRandomAccessFile final : public leveldb::RandomAccessFile {
 public:
  TrackedRandomAccessFile(Files& files, std::string path, std::unique_ptr<RandomAccessFile> file)
      : files_(files), path_(std::move(path)), file_(std::move(file)) {}
  Status Read(std::uint64_t offset, std::size_t n, Slice* result, char* scratch) const override {
    files_.rememberRead(path_, offset, n);
    return file_->Read(offset, n, result, scratch);
  }

 private:
  Files& files_;
  const std::string path_;
  const std::unique_ptr<RandomAccessFile> file_;
};

Status Files::open(const std::string& path, int flags, leveldb::WritableFile** to) {
  *to = nullptr;
  if (const FileHook::Result hookResult = consultHook(FileOp::Open, path, {}, (flags & O_TRUNC) != 0);
      !hookResult.status.ok())
    return hookResult.status;
  Descriptor fd(::open(path.c_str(), flags | O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
  if (!fd) return errnoStatus(path);
  *to = new HookedWritableFile(*this, path, std::move(fd));
  return Status::OK();
}
Status Files::NewWritableFile(const std::string& path, leveldb::WritableFile** to) {
  return open(path, O_TRUNC, to);
}
Status Files::NewAppendableFile(const std::string& path, leveldb::WritableFile** to) {
  return open(path, O_APPEND, to);
}
Status Files::NewSequentialFile(const std::string& path, leveldb::SequentialFile** to) {
  rememberRead(path, 0, 0);
  leveldb::SequentialFile* file = nullptr;
  Status s = target()->NewSequentialFile(path, &file);
  *to = s.ok() ? new TrackedSequentialFile(*this, path, std::unique_ptr<leveldb::SequentialFile>(file))
               : nullptr;
  return s;
}
// Reads with pread(2) rather than mmap(2): mapped pages would count as memory of this process, and
// I/O errors on them would be delivered as signals.
Status Files::NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** to) {
  class PreadFile final : public leveldb::RandomAccessFile {
   public:
    PreadFile(std::string path, Descriptor fd) : path_(std::move(path)), fd_(std::move(fd)) {}
    Status Read(std::uint64_t offset, std::size_t n, Slice* result, char* scratch) const override {
      // Reads in full, since LevelDB would take a short read for damage.
      const ssize_t got = readFullyAt(fd_.get(), scratch, n, static_cast<off_t>(offset));
      *result = Slice(scratch, got < 0 ? 0 : static_cast<std::size_t>(got));
      return got < 0 ? errnoStatus(path_) : Status::OK();
    }

   private:
    const std::string path_;
    const Descriptor fd_;
  };
  *to = nullptr;
  rememberRead(path, 0, 0);
  Descriptor fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd) return errno == ENOENT ? Status::NotFound(path, std::strerror(errno)) : errnoStatus(path);
  *to = new TrackedRandomAccessFile(*this, path, std::make_unique<PreadFile>(path, std::move(fd)));
  return Status::OK();
}
Status Files::RemoveFile(const std::string& path) {
  const FileHook::Result hookResult = consultHook(FileOp::Remove, path);
  return hookResult.status.ok() ? target()->RemoveFile(path) : hookResult.status;
}
Status Files::CreateDir(const std::string& path) {
  const FileHook::Result hookResult = consultHook(FileOp::MakeDirectory, path);
  if (!hookResult.status.ok()) return hookResult.status;
  return ::mkdir(path.c_str(), 0700) == 0 ? Status::OK() : errnoStatus(path);
}
Status Files::RenameFile(const std::string& from, const std::string& to) {
  const FileHook::Result hookResult = consultHook(FileOp::Rename, from, {}, 0, to);
  if (!hookResult.status.ok()) return hookResult.status;
  const Status s = target()->RenameFile(from, to);
  return s.ok() ? syncDirectoryOf(to) : s;
}

Status Files::overwrite(const std::string& path, std::uint64_t at, std::string_view bytes, bool durable) {
  const FileHook::Result hookResult = consultHook(FileOp::Overwrite, path, bytes, at);
  const Descriptor fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
  if (!fd) return hookResult.status.ok() ? errnoStatus(path) : hookResult.status;
  const std::string_view written = hookResult.status.ok() ? bytes : bytes.substr(0, hookResult.bytesWritten);
  if (!writeFullyAt(fd.get(), written, static_cast<off_t>(at))) return errnoStatus(path);
  if (!hookResult.status.ok()) return hookResult.status;
  if (!durable) return Status::OK();
  if (const FileHook::Result sync = consultHook(FileOp::Sync, path); !sync.status.ok()) return sync.status;
  return syncDataFully(fd.get()) ? Status::OK() : errnoStatus(path);
}
Status Files::truncate(const std::string& path, std::uint64_t size) {
  const FileHook::Result hookResult = consultHook(FileOp::Truncate, path, {}, size);
  if (!hookResult.status.ok()) return hookResult.status;
  const Descriptor fd(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
  if (!fd || ::ftruncate(fd.get(), static_cast<off_t>(size)) != 0 || !syncDataFully(fd.get()))
    return errnoStatus(path);
  return Status::OK();
}
Status Files::read(const std::string& path, std::string& contents) {
  return leveldb::ReadFileToString(target(), path, &contents);
}
Status Files::list(const std::string& dir, std::vector<std::string>& names) {
  return target()->GetChildren(dir, &names);
}

void Files::rememberRead(const std::string& path, std::uint64_t offset, std::uint64_t length) {
  const std::lock_guard<std::mutex> lock(mutex_);
  lastRead_ = {path, offset, length};
}
Files::LastRead Files::lastRead() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return lastRead_;
}

}  // namespace sablespur::durability
