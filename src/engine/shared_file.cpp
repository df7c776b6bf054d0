#include "engine/shared_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>

#include "engine/file_calls.hpp"
#include "engine/file_descriptor.hpp"

namespace sablespur {
namespace {

constexpr mode_t kOwnerOnly = 0600;

bool syncDirectoryOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash + 1);
  const FileDescriptor file(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return file && syncFully(file.get());
}

}  // namespace

std::optional<FileVersion> versionOfFile(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) return std::nullopt;
  using std::chrono::nanoseconds;
  using std::chrono::seconds;
  return FileVersion{status.st_ino, seconds(status.st_mtim.tv_sec) + nanoseconds(status.st_mtim.tv_nsec)};
}

std::optional<std::string> readSharedFile(const std::string& path, std::size_t maxBytes) {
  const FileDescriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (!file) return std::nullopt;
  std::string text;
  std::array<char, 4096> bytes{};
  while (text.size() <= maxBytes) {
    const ssize_t got = fileCalls().read(file.get(), bytes.data(), bytes.size());
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return std::nullopt;
    if (got == 0) break;
    text.append(bytes.data(), static_cast<std::size_t>(got));
  }
  return text;
}

bool replaceSharedFile(const std::string& path, const std::string& text, Durability durability) {
  const bool sync = durability == Durability::PowerLoss;
  const std::string temporaryPath = path + "." + std::to_string(getpid());
  FileDescriptor file(open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerOnly));
  if (!file) return false;
  const bool written = writeFully(file.get(), text) && (!sync || syncFully(file.get()));
  file.reset();
  if (written && std::rename(temporaryPath.c_str(), path.c_str()) == 0) return !sync || syncDirectoryOf(path);
  const int error = errno;
  unlink(temporaryPath.c_str());
  errno = error;
  return false;
}

}  // namespace sablespur
