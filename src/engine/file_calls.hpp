// System calls on files, replaceable by tests, and functions that repeat interrupted and short
// calls until the transfer is complete. See also SystemCalls and DatagramCalls.
#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <string_view>

namespace sablespur {

struct FileCalls {
  ssize_t (*write)(int, const void*, std::size_t) = ::write;
  ssize_t (*pwrite)(int, const void*, std::size_t, off_t) = ::pwrite;
  ssize_t (*read)(int, void*, std::size_t) = ::read;
  ssize_t (*pread)(int, void*, std::size_t, off_t) = ::pread;
  int (*fsync)(int) = ::fsync;
  int (*fdatasync)(int) = ::fdatasync;
};
// Replaced only by tests, before any thread uses it.
inline FileCalls& fileCalls() {
  static FileCalls calls;
  return calls;
}

namespace detail {

// `writeOnce(bytes)` makes one write(2) or pwrite(2) call and returns its result.
template <typename WriteOnce>
bool repeatWrite(std::string_view bytes, WriteOnce writeOnce) {
  while (!bytes.empty()) {
    const ssize_t written = writeOnce(bytes);
    if (written < 0 && errno == EINTR) continue;
    if (written == 0) errno = EIO;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

inline bool repeatSync(int (*sync)(int), int file) {
  int result = 0;
  do {
    result = sync(file);
  } while (result != 0 && errno == EINTR);
  return result == 0;
}

}  // namespace detail

// On failure these functions return false or -1, with errno set. They repeat interrupted calls and
// continue short ones.
inline bool writeFully(int file, std::string_view bytes) {
  return detail::repeatWrite(
      bytes, [file](std::string_view rest) { return fileCalls().write(file, rest.data(), rest.size()); });
}
inline bool writeFullyAt(int file, std::string_view bytes, off_t offset) {
  return detail::repeatWrite(bytes, [file, &offset](std::string_view rest) {
    const ssize_t written = fileCalls().pwrite(file, rest.data(), rest.size(), offset);
    if (written > 0) offset += written;
    return written;
  });
}
// Returns the number of bytes read, less than `size` only at the end of the file.
inline ssize_t readFullyAt(int file, char* to, std::size_t size, off_t offset) {
  std::size_t have = 0;
  while (have < size) {
    const ssize_t got = fileCalls().pread(file, to + have, size - have, offset + static_cast<off_t>(have));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return -1;
    if (got == 0) break;
    have += static_cast<std::size_t>(got);
  }
  return static_cast<ssize_t>(have);
}
inline bool syncFully(int file) { return detail::repeatSync(fileCalls().fsync, file); }
inline bool syncDataFully(int file) { return detail::repeatSync(fileCalls().fdatasync, file); }

}  // namespace sablespur
