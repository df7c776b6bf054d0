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

constexpr std::size_t kBuffer = 64 << 10;  // of a table while it is written

Status failed(const std::string& path) { return Status::IOError(path, std::strerror(errno)); }

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
  return writeFully(fd, bytes) ? Status::OK() : failed(path);
}

Status syncDirectoryOf(const std::string& path) {
  const std::string dir = path.substr(0, path.rfind('/'));
  const Descriptor d(::open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return d && syncFully(d.get()) ? Status::OK() : failed(dir);
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

// A flush is one write(2), for LevelDB flushes at the end of each record of its log.
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
    const FileHook::Result fate = files_.consultHook(FileOp::Append, path_, bytes);
    if (fate.status.ok()) return writeAll(fd_.get(), path_, bytes);
    const Status partly = writeAll(fd_.get(), path_, std::string_view(bytes).substr(0, fate.bytesWritten));
    return partly.ok() ? fate.status : partly;
  }
  Status Sync() override {
    if (Status s = Flush(); !s.ok()) return s;
    if (const FileHook::Result fate = files_.consultHook(FileOp::Sync, path_); !fate.status.ok())
      return fate.status;
    if (!syncDataFully(fd_.get())) return failed(path_);
    // Guards against a file that is durable under no name.
    if (std::exchange(named_, true)) return Status::OK();
    return syncDirectoryOf(path_);
  }
  Status Close() override { return Flush(); }

 private:
  Files& files_;
  const std::string path_;
  const Descriptor fd_;
  std::string buffer_;
  bool named_ = false;
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
  if (const FileHook::Result fate = consultHook(FileOp::Open, path, {}, (flags & O_TRUNC) != 0);
      !fate.status.ok())
    return fate.status;
  Descriptor fd(::open(path.c_str(), flags | O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
  if (!fd) return failed(path);
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
// Without mmap, whose pages would count as this process's memory and whose faults are signals.
Status Files::NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** to) {
  class Plain final : public leveldb::RandomAccessFile {
   public:
    Plain(std::string path, Descriptor fd) : path_(std::move(path)), fd_(std::move(fd)) {}
    Status Read(std::uint64_t offset, std::size_t n, Slice* result, char* scratch) const override {
      // A piece that stopped short would be taken for damage.
      const ssize_t got = readFullyAt(fd_.get(), scratch, n, static_cast<off_t>(offset));
      *result = Slice(scratch, got < 0 ? 0 : static_cast<std::size_t>(got));
      return got < 0 ? failed(path_) : Status::OK();
    }

   private:
    const std::string path_;
    const Descriptor fd_;
  };
  *to = nullptr;
  rememberRead(path, 0, 0);
  Descriptor fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd) return errno == ENOENT ? Status::NotFound(path, std::strerror(errno)) : failed(path);
  *to = new TrackedRandomAccessFile(*this, path, std::make_unique<Plain>(path, std::move(fd)));
  return Status::OK();
}
Status Files::RemoveFile(const std::string& path) {
  const FileHook::Result fate = consultHook(FileOp::Remove, path);
  return fate.status.ok() ? target()->RemoveFile(path) : fate.status;
}
Status Files::CreateDir(const std::string& path) {
  const FileHook::Result fate = consultHook(FileOp::MakeDirectory, path);
  if (!fate.status.ok()) return fate.status;
  return ::mkdir(path.c_str(), 0700) == 0 ? Status::OK() : failed(path);
}
Status Files::RenameFile(const std::string& from, const std::string& to) {
  const FileHook::Result fate = consultHook(FileOp::Rename, from, {}, 0, to);
  if (!fate.status.ok()) return fate.status;
  const Status s = target()->RenameFile(from, to);
  return s.ok() ? syncDirectoryOf(to) : s;
}

Status Files::overwrite(const std::string& path, std::uint64_t at, std::string_view bytes, bool durable) {
  const FileHook::Result fate = consultHook(FileOp::Overwrite, path, bytes, at);
  const Descriptor fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
  if (!fd) return fate.status.ok() ? failed(path) : fate.status;
  const std::string_view written = fate.status.ok() ? bytes : bytes.substr(0, fate.bytesWritten);
  if (!writeFullyAt(fd.get(), written, static_cast<off_t>(at))) return failed(path);
  if (!fate.status.ok()) return fate.status;
  if (!durable) return Status::OK();
  if (const FileHook::Result sync = consultHook(FileOp::Sync, path); !sync.status.ok()) return sync.status;
  return syncDataFully(fd.get()) ? Status::OK() : failed(path);
}
Status Files::truncate(const std::string& path, std::uint64_t size) {
  const FileHook::Result fate = consultHook(FileOp::Truncate, path, {}, size);
  if (!fate.status.ok()) return fate.status;
  const Descriptor fd(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
  if (!fd || ::ftruncate(fd.get(), static_cast<off_t>(size)) != 0 || !syncDataFully(fd.get()))
    return failed(path);
  return Status::OK();
}
Status Files::read(const std::string& path, std::string& whole) {
  return leveldb::ReadFileToString(target(), path, &whole);
}
Status Files::list(const std::string& dir, std::vector<std::string>& names) {
  return target()->GetChildren(dir, &names);
}

void Files::rememberRead(const std::string& path, std::uint64_t offset, std::uint64_t length) {
  const std::lock_guard<std::mutex> lock(mutex_);
  last_ = {path, offset, length};
}
Files::LastRead Files::lastRead() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return last_;
}

}  // namespace sablespur::durability
