// Owns a file descriptor and closes it.
#pragma once

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace sablespur {

// Closing preserves errno, so that a function may return after a failed call and its caller can
// still read the error.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Takes ownership of `fd`. A negative value, as returned by a failed system call, makes an empty
  // object.
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    reset(other.release());
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() { reset(); }

  explicit operator bool() const { return fd_ >= 0; }
  int get() const { return fd_; }
  // Releases ownership without closing the descriptor.
  int release() { return std::exchange(fd_, kNone); }
  void reset(int fd = kNone) {
    const int old = std::exchange(fd_, fd);
    if (old < 0) return;
    const int error = errno;
    close(old);
    errno = error;
  }

 private:
  static constexpr int kNone = -1;
  int fd_ = kNone;
};

}  // namespace sablespur
