#include "durability/database.hpp"

#include <leveldb/cache.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstring>
#include <map>
#include <vector>

#include "durability/inspect.hpp"

namespace sablespur::durability {
namespace {

using leveldb::Slice;
using leveldb::Status;

constexpr std::size_t kWriteBuffer = 1 << 20;  // as much is read again at a start
constexpr std::size_t kCache = 1 << 20;
constexpr const char *kLockFile = "OWNER", *kMarkFile = "DURABLE", *kTornFile = "TORN";
// Two places, written in turn, so that a torn one leaves the other; each on a sector of its own.
constexpr std::size_t kMarkPlaces = 2, kMarkStride = 512, kMarkBytes = 16;
constexpr std::uint64_t kMarksPerSync = 1024;

// LevelDB's own account would grow on the same disk.
class DiscardingLogger final : public leveldb::Logger {
 public:
  void Logv(const char*, va_list) override {}
};

// Whether a lock could not be had since another has it; LevelDB tells it by its text alone. All else (a disk
// that is read-only or fails, no descriptors) may pass.
bool isHeldByAnotherProcess(const Status& s) {
  const std::string text = s.ToString();
  const auto endsWith = [&](const std::string& end) {
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
  };
  return text.find("lock ") != std::string::npos &&
         (endsWith(std::strerror(EAGAIN)) || endsWith(std::strerror(EACCES)) ||
          endsWith("already held by process"));
}

Slice slice(std::string_view s) { return {s.data(), s.size()}; }
std::string_view view(const Slice& s) { return {s.data(), s.size()}; }
std::uint64_t big64(std::string_view s) {
  std::uint64_t v = 0;
  for (std::size_t k = 0; k < 8; ++k) v = v << 8 | static_cast<unsigned char>(s[k]);
  return v;
}
std::string mark(std::uint64_t commits) {
  std::string m = commitNumber(commits);
  return m + commitNumber(XXH3_64bits_withSeed(m.data(), m.size(), 0x5ab1e));
}
std::string baseName(const std::string& path) { return path.substr(path.rfind('/') + 1); }

}  // namespace

Database::Batch::Batch() {
  batch_.Put(slice(kCommitKey), Slice("\0\0\0\0\0\0\0\0", kCommitBytes));  // filled in when it is committed
}
void Database::Batch::put(std::string_view key, std::string_view value) {
  batch_.Put(slice(key), slice(value));
  ++pairs_;
}
void Database::Batch::remove(std::string_view key) {
  batch_.Delete(slice(key));
  ++pairs_;
}

Database::Database(Files& files, const std::string& directory)
    : files_(files),
      directory_(directory),
      cache_(leveldb::NewLRUCache(kCache)),
      discardingLogger_(std::make_unique<DiscardingLogger>()) {
  files_.CreateDir(directory_);  // it may be there
  if (const Status s = files_.LockFile(directory_ + "/" + kLockFile, &lock_); !s.ok()) {
    if (isHeldByAnotherProcess(s))
      throw StoreError(StoreError::Kind::Busy, directory_ + " is open in another process");
    throw StoreError(StoreError::Kind::Failed, "cannot be opened: " + s.ToString());
  }
  try {
    inspectLogs();
    leveldb::Options o;
    o.env = &files_;
    o.create_if_missing = true;
    o.paranoid_checks = true;
    o.write_buffer_size = kWriteBuffer;
    o.max_open_files = 32;
    o.max_file_size = 2 << 20;
    o.block_cache = cache_.get();
    o.info_log = discardingLogger_.get();
    leveldb::DB* db = nullptr;
    const Status s = leveldb::DB::Open(o, directory_, &db);
    db_.reset(db);
    if (!s.ok()) fail(s, "opening");
    const auto last = get(kCommitKey);
    commits_ = last && last->size() >= kCommitBytes ? big64(*last) : 0;
    if (commits_ < markedCommits_)
      throw StoreError(
          StoreError::Kind::Damaged,
          "commits up to " + std::to_string(markedCommits_) + " had been durable, and the last one here is " +
              std::to_string(commits_) +
              (opened_.tornBytes > 0 ? "; the end of " + opened_.tornFile + " was torn at offset " +
                                           std::to_string(opened_.tornOffset)
                                     : ""),
          opened_.tornBytes > 0 ? opened_.tornFile : kMarkFile, opened_.tornOffset);
    opened_.commits = commits_;
  } catch (...) {
    db_.reset();
    files_.UnlockFile(lock_);
    throw;
  }
}
Database::~Database() {
  if (markedCommits_ > 0) {
    try {
      writeMark(true);
    } catch (const StoreError&) {  // it is only older then
    }
  }
  db_.reset();
  files_.UnlockFile(lock_);
}

// A writer that ended amid a commit leaves a ragged end, which is cut off: LevelDB would turn some forms of
// it down. Whether what is cut had been durable, the mark tells once the rest is open.
void Database::inspectLogs() {
  readMark();
  std::vector<std::string> names;
  if (const Status s = files_.list(directory_, names); !s.ok()) fail(s, "listing");
  std::map<std::uint64_t, std::string> logs;
  std::string current;
  for (const std::string& n : names)
    if (n.size() > 4 && n.compare(n.size() - 4, 4, ".log") == 0)
      logs[std::strtoull(n.c_str(), nullptr, 10)] = n;
  if (const Status s = files_.read(directory_ + "/CURRENT", current); !s.ok() && !s.IsNotFound())
    fail(s, "reading");
  while (!current.empty() && current.back() == '\n') current.pop_back();
  std::uint64_t next = 0, reached = 0, firstLog = 0;
  const auto look = [&](const std::string& name, LogKind kind, bool last) {
    const std::string path = directory_ + "/" + name;
    std::string bytes;
    if (const Status s = files_.read(path, bytes); !s.ok()) fail(s, "reading");
    const LogInspection i = inspectLog(bytes, kind, next);
    if (kind == LogKind::Manifest) {
      reached = i.lastSequence;
      firstLog = i.logNumber;
    } else {
      // LevelDB would take the logs for all there is, and throw away the tables that this manifest does not
      // know.
      if (next == 0 && i.firstSequence > reached + 1)
        throw StoreError(StoreError::Kind::Damaged,
                         current + " is older than " + name + ": it ends at " + std::to_string(reached) +
                             ", and the log begins with " + std::to_string(i.firstSequence),
                         current);
      next = i.nextSequence;
    }
    if (!i.incompleteTail) return;
    if (i.laterRecordAt || !last)
      throw StoreError(StoreError::Kind::Damaged,
                       name + " is damaged at offset " + std::to_string(i.wholeBytes) + ": " + i.defect +
                           (i.laterRecordAt ? ", and a later record stands whole at offset " +
                                                  std::to_string(*i.laterRecordAt)
                                            : ", and a later log follows"),
                       name, i.wholeBytes);
    if (kind == LogKind::Batches && i.commit != 0 && i.commit < markedCommits_)
      throw StoreError(StoreError::Kind::Damaged,
                       name + " is damaged at offset " + std::to_string(i.wholeBytes) + ": " + i.defect +
                           "; commits up to " + std::to_string(markedCommits_) +
                           " had been durable, and whole are those up to " + std::to_string(i.commit),
                       name, i.wholeBytes);
    opened_.tornFile = name;
    opened_.tornOffset = i.wholeBytes;
    opened_.tornBytes = bytes.size() - i.wholeBytes;
    // Kept for people, should what had been durable turn out to be missing.
    files_.overwrite(directory_ + "/" + kTornFile, 0, std::string_view(bytes).substr(i.wholeBytes), false);
    if (const Status s = files_.truncate(path, i.wholeBytes); !s.ok()) fail(s, "cutting off a torn end");
  };
  if (!current.empty() && std::find(names.begin(), names.end(), current) != names.end())
    look(current, LogKind::Manifest, true);
  for (auto it = logs.begin(); it != logs.end(); ++it)
    if (it->first >= firstLog) look(it->second, LogKind::Batches, std::next(it) == logs.end());
}

void Database::readMark() {
  std::string bytes;
  const Status read = files_.read(directory_ + "/" + kMarkFile, bytes);
  if (read.IsNotFound()) return;  // none was written yet
  if (!read.ok()) fail(read, "reading the mark");
  for (std::size_t k = 0; k < kMarkPlaces; ++k) {
    if (bytes.size() < k * kMarkStride + kMarkBytes) continue;
    const std::string one = bytes.substr(k * kMarkStride, kMarkBytes);
    const std::uint64_t commits = big64(one);
    if (one == mark(commits)) markedCommits_ = std::max(markedCommits_, commits);
  }
}
// After the commit that it tells of, so it never claims what is not there. Not durable each time, which would
// cost as much as the commit: after the machine's death it may be older, and then tells less.
void Database::writeMark(bool durable) {
  const Status s = files_.overwrite(directory_ + "/" + kMarkFile, commits_ % kMarkPlaces * kMarkStride,
                                    mark(commits_), durable);
  if (!s.ok()) fail(s, "writing the mark");
  markedCommits_ = commits_;
}

void Database::commit(const Batch& b) {
  leveldb::WriteBatch all = b.batch_;
  // The number goes into the place that the batch's first pair keeps for it, and once more as what is read
  // back: the first pair is what tells it to the inspector.
  struct Numbered final : leveldb::WriteBatch::Handler {
    explicit Numbered(std::uint64_t n) : number(commitNumber(n)) {}
    void Put(const Slice& k, const Slice& v) override {
      out.Put(k, view(k) == kCommitKey ? Slice(number) : v);
    }
    void Delete(const Slice& k) override { out.Delete(k); }
    const std::string number;
    leveldb::WriteBatch out;
  } numbered(commits_ + 1);
  all.Iterate(&numbered);
  leveldb::WriteOptions w;
  w.sync = true;
  if (const Status s = db_->Write(w, &numbered.out); !s.ok()) fail(s, "committing");
  ++commits_;
  writeMark(++marksSinceSync_ % kMarksPerSync == 0);
}

std::optional<std::string> Database::get(std::string_view key) {
  leveldb::ReadOptions r;
  r.verify_checksums = true;
  std::string value;
  const Status s = db_->Get(r, slice(key), &value);
  if (s.ok()) return value;
  if (!s.IsNotFound()) fail(s, "reading");
  return std::nullopt;
}

void Database::scan(std::string_view prefix, std::string_view from,
                    const std::function<bool(std::string_view, std::string_view)>& each) {
  leveldb::ReadOptions r;
  r.verify_checksums = true;
  r.fill_cache = false;
  const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(r));
  for (it->Seek(slice(std::max(prefix, from))); it->Valid(); it->Next()) {
    if (view(it->key()).substr(0, prefix.size()) != prefix) break;
    if (!each(view(it->key()), view(it->value()))) break;
  }
  if (!it->status().ok()) fail(it->status(), "reading");
}

void Database::compact() { db_->CompactRange(nullptr, nullptr); }

std::uint64_t Database::bytesOnDisk() const {
  std::vector<std::string> names;
  std::uint64_t sum = 0;
  if (!files_.list(directory_, names).ok()) return 0;
  for (const std::string& n : names) {
    std::uint64_t size = 0;
    if (n != "." && n != ".." && files_.GetFileSize(directory_ + "/" + n, &size).ok()) sum += size;
  }
  return sum;
}

void Database::fail(const Status& s, const char* doing) {
  const Files::LastRead at = files_.lastRead();
  // A file that is named and not there was there once.
  if (s.IsNotFound())
    throw StoreError(StoreError::Kind::Damaged, baseName(at.path) + " is missing (" + s.ToString() + ")",
                     baseName(at.path));
  if (!s.IsCorruption() && !s.IsInvalidArgument())
    throw StoreError(StoreError::Kind::Failed, std::string(doing) + ": " + s.ToString());
  throw StoreError(StoreError::Kind::Damaged,
                   baseName(at.path) + " is damaged in the " + std::to_string(at.length) +
                       " bytes from offset " + std::to_string(at.offset) + " (" + s.ToString() + ")",
                   baseName(at.path), at.offset);
}

}  // namespace sablespur::durability
