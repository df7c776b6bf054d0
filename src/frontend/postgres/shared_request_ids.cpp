#include "frontend/postgres/shared_request_ids.hpp"

#include <fcntl.h>
#include <sys/mman.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr mode_t kOwnerOnly = 0600;
// Stands for the id 0, as a free slot holds 0.
constexpr std::uint64_t kZeroId = 1;

std::uint64_t slotValue(std::uint64_t id) { return id == 0 ? kZeroId : id; }

std::size_t bucketOf(std::uint64_t value) { return value % SharedRequestIds::kBuckets; }

// A lock of the open file description (fcntl(2)), which ends with the process. Byte `table` stands for
// that table.
struct flock lockOf(std::size_t table, short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = static_cast<off_t>(table);
  lock.l_len = 1;
  return lock;
}

}  // namespace

SharedRequestIds::SharedRequestIds(const std::string& path) {
  if (map(path) && takeTable()) return;
  logEvent(LogLevel::Error, "request_ids_not_shared", {{"file", path}, {"why", std::strerror(errno)}});
  if (tables_) munmap(tables_, kMappedSize);
  tables_ = nullptr;
}

SharedRequestIds::~SharedRequestIds() {
  if (tables_) munmap(tables_, kMappedSize);
}

// The space is allocated at once: a page that cannot be written later would end the process.
bool SharedRequestIds::map(const std::string& path) {
  file_.reset(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly));
  if (!file_) return false;
  errno = posix_fallocate(file_.get(), 0, kMappedSize);
  if (errno != 0) return false;
  void* const memory = mmap(nullptr, kMappedSize, PROT_READ | PROT_WRITE, MAP_SHARED, file_.get(), 0);
  if (memory == MAP_FAILED) return false;
  tables_ = static_cast<Table*>(memory);
  return true;
}

bool SharedRequestIds::takeTable() {
  for (std::size_t table = 0; table < kTables; ++table) {
    struct flock lock = lockOf(table, F_WRLCK);
    if (fcntl(file_.get(), F_OFD_SETLK, &lock) != 0) continue;
    own_ = table;
    for (auto& bucket : tables_[own_].buckets)
      for (Slot& slot : bucket) slot = 0;
    return true;
  }
  return false;
}

void SharedRequestIds::publish(std::uint64_t id) {
  if (!tables_) return;
  const std::uint64_t value = slotValue(id);
  auto& bucket = tables_[own_].buckets[bucketOf(value)];
  const auto free = std::find(std::begin(bucket), std::end(bucket), std::uint64_t{0});
  if (free != std::end(bucket)) *free = value;
}

void SharedRequestIds::withdraw(std::uint64_t id) {
  if (!tables_) return;
  const std::uint64_t value = slotValue(id);
  auto& bucket = tables_[own_].buckets[bucketOf(value)];
  const auto published = std::find(std::begin(bucket), std::end(bucket), value);
  if (published != std::end(bucket)) *published = 0;
}

bool SharedRequestIds::isOpenElsewhere(std::uint64_t id) const {
  if (!tables_) return false;
  const std::uint64_t value = slotValue(id);
  for (std::size_t table = 0; table < kTables; ++table) {
    if (table == own_) continue;
    const auto& bucket = tables_[table].buckets[bucketOf(value)];
    const bool isPublished = std::find(std::begin(bucket), std::end(bucket), value) != std::end(bucket);
    if (isPublished && isAlive(table)) return true;
  }
  return false;
}

bool SharedRequestIds::isAlive(std::size_t table) const {
  struct flock lock = lockOf(table, F_WRLCK);
  return fcntl(file_.get(), F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

}  // namespace sablespur
