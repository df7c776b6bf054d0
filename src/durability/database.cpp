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

constexpr std::size_t kWriteBuffer = 1 << 20;  // also the amount of log replayed at startup
constexpr std::size_t kCache = 1 << 20;
constexpr const char *kLockFile = "OWNER", *kMarkerFile = "DURABLE", *kTornFile = "TORN";
// The marker file (DURABLE) has two slots that are written in turn, so that a torn write leaves the
// other slot intact. Each slot is on a sector of its own.
constexpr std::size_t kMarkerSlots = 2, kMarkerSlotStride = 512, kMarkerBytes = 16;
constexpr std::uint64_t kMarkersPerSync = 1024;
constexpr int kMaxOpenFiles = 32;
constexpr std::size_t kMaxTableBytes = 2 << 20;
constexpr int kDecimal = 10;
constexpr std::string_view kLogSuffix = ".log";

// Discards LevelDB's info log, which would otherwise grow on the store's disk.
class DiscardingLogger final : public leveldb::Logger {
 public:
  void Logv(const char*, va_list) override {}
};

// Returns true if locking failed because another process holds the lock. LevelDB reports this only
// in the text of the status. Other causes (a read-only or failing disk, no file descriptors) may be
// transient.
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
std::string encodeMarker(std::uint64_t commits) {
  std::string m = commitNumber(commits);
  return m + commitNumber(XXH3_64bits_withSeed(m.data(), m.size(), 0x5ab1e));
}
std::string baseName(const std::string& path) { return path.substr(path.rfind('/') + 1); }

bool isLogName(const std::string& name) {
  const std::size_t suffix = kLogSuffix.size();
  return name.size() > suffix && name.compare(name.size() - suffix, suffix, kLogSuffix) == 0;
}

std::map<std::uint64_t, std::string> logsByNumber(const std::vector<std::string>& names) {
  std::map<std::uint64_t, std::string> logs;
  for (const std::string& name : names)
    if (isLogName(name)) logs[std::strtoull(name.c_str(), nullptr, kDecimal)] = name;
  return logs;
}

std::string tailDamage(const std::string& name, const LogInspection& inspection) {
  return name + " is damaged at offset " + std::to_string(inspection.wholeBytes) + ": " + inspection.defect;
}

}  // namespace

Database::Batch::Batch() {
  batch_.Put(slice(kCommitKey), Slice("\0\0\0\0\0\0\0\0", kCommitBytes));  // commit() fills in the number
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
  files_.CreateDir(directory_);  // ignored: the directory may already exist
  if (const Status s = files_.LockFile(directory_ + "/" + kLockFile, &lock_); !s.ok()) {
    if (isHeldByAnotherProcess(s))
      throw StoreError(StoreError::Kind::Busy, directory_ + " is open in another process");
    throw StoreError(StoreError::Kind::Failed, "cannot open the store: " + s.ToString());
  }
  try {
    inspectLogs();
    openDatabase();
    checkMarker();
    opened_.commits = commits_;
  } catch (...) {
    db_.reset();
    files_.UnlockFile(lock_);
    throw;
  }
}
Database::~Database() {
  if (markerCommits_ > 0) {
    try {
      writeMarker(true);
    } catch (const StoreError&) {  // the marker on disk is then older, which is safe
    }
  }
  db_.reset();
  files_.UnlockFile(lock_);
}

void Database::openDatabase() {
  leveldb::Options options;
  options.env = &files_;
  options.create_if_missing = true;
  options.paranoid_checks = true;
  options.write_buffer_size = kWriteBuffer;
  options.max_open_files = kMaxOpenFiles;
  options.max_file_size = kMaxTableBytes;
  options.block_cache = cache_.get();
  options.info_log = discardingLogger_.get();
  leveldb::DB* db = nullptr;
  const Status status = leveldb::DB::Open(options, directory_, &db);
  db_.reset(db);
  if (!status.ok()) fail(status, "cannot open the database");
  const auto last = get(kCommitKey);
  commits_ = last && last->size() >= kCommitBytes ? big64(*last) : 0;
}

// The marker holds the number of the last durable commit. A lower number in the database means that
// commits were lost.
void Database::checkMarker() const {
  if (commits_ >= markerCommits_) return;
  const bool isTorn = opened_.tornBytes > 0;
  std::string what = "commits up to " + std::to_string(markerCommits_) +
                     " had been durable, but the last commit found is " + std::to_string(commits_);
  if (isTorn)
    what += "; the tail of " + opened_.tornFile + " was torn at offset " + std::to_string(opened_.tornOffset);
  throw StoreError(StoreError::Kind::Damaged, what, isTorn ? opened_.tornFile : kMarkerFile,
                   opened_.tornOffset);
}

// Returns the name of the current manifest, or an empty string in a new database. The file may
// be missing.
std::string Database::currentManifest() {
  std::string name;
  if (const Status status = files_.read(directory_ + "/CURRENT", name); !status.ok() && !status.IsNotFound())
    fail(status, "cannot read a file");
  while (!name.empty() && name.back() == '\n') name.pop_back();
  return name;
}

// A crash during a commit leaves an incomplete tail. It is truncated here, since LevelDB would
// reject some forms of it. Once the database is open, the marker shows whether the truncated data
// had been durable.
void Database::inspectLogs() {
  readMarker();
  std::vector<std::string> names;
  if (const Status status = files_.list(directory_, names); !status.ok())
    fail(status, "cannot list the directory");
  LogProgress progress;
  progress.manifest = currentManifest();
  if (std::find(names.begin(), names.end(), progress.manifest) != names.end()) inspectManifest(progress);
  const std::map<std::uint64_t, std::string> logs = logsByNumber(names);
  for (auto it = logs.begin(); it != logs.end(); ++it) {
    const bool isLast = std::next(it) == logs.end();
    if (it->first >= progress.firstLog)
      inspectBatches(it->second, isLast ? LogPlace::Last : LogPlace::Earlier, progress);
  }
}

std::string Database::readLog(const std::string& name) {
  std::string bytes;
  if (const Status status = files_.read(directory_ + "/" + name, bytes); !status.ok())
    fail(status, "cannot read a file");
  return bytes;
}

void Database::inspectManifest(LogProgress& progress) {
  const std::string bytes = readLog(progress.manifest);
  const LogInspection inspection = inspectLog(bytes, LogKind::Manifest, progress.nextSequence);
  progress.manifestSequence = inspection.lastSequence;
  progress.firstLog = inspection.logNumber;
  if (!inspection.incompleteTail) return;
  checkTail(progress.manifest, LogPlace::Last, inspection);
  cutTail(progress.manifest, bytes, inspection);
}

void Database::inspectBatches(const std::string& name, LogPlace place, LogProgress& progress) {
  const std::string bytes = readLog(name);
  const LogInspection inspection = inspectLog(bytes, LogKind::Batches, progress.nextSequence);
  // With an outdated manifest LevelDB would recover from the logs alone and delete the tables that
  // the manifest does not list.
  const bool isFirst = progress.nextSequence == 0;
  if (isFirst && inspection.firstSequence > progress.manifestSequence + 1)
    throw StoreError(StoreError::Kind::Damaged,
                     progress.manifest + " is older than " + name + ": it ends at sequence " +
                         std::to_string(progress.manifestSequence) + ", but the log starts at " +
                         std::to_string(inspection.firstSequence),
                     progress.manifest);
  progress.nextSequence = inspection.nextSequence;
  if (!inspection.incompleteTail) return;
  checkTail(name, place, inspection);
  if (inspection.commit != 0 && inspection.commit < markerCommits_)
    throw StoreError(StoreError::Kind::Damaged,
                     tailDamage(name, inspection) + "; commits up to " + std::to_string(markerCommits_) +
                         " had been durable, but the last intact one is " + std::to_string(inspection.commit),
                     name, inspection.wholeBytes);
  cutTail(name, bytes, inspection);
}

// Throws StoreError (Damaged) unless the incomplete record is the last one of the last log. Only
// there can it be the result of a crash: no record was written after it.
void Database::checkTail(const std::string& name, LogPlace place, const LogInspection& inspection) {
  if (!inspection.laterRecordAt && place == LogPlace::Last) return;
  const std::string later = inspection.laterRecordAt ? ", and an intact later record starts at offset " +
                                                           std::to_string(*inspection.laterRecordAt)
                                                     : ", and a later log follows";
  throw StoreError(StoreError::Kind::Damaged, tailDamage(name, inspection) + later, name,
                   inspection.wholeBytes);
}

// Copies the tail to the TORN file first, in case it turns out to hold data that had been durable.
void Database::cutTail(const std::string& name, std::string_view bytes, const LogInspection& inspection) {
  opened_.tornFile = name;
  opened_.tornOffset = inspection.wholeBytes;
  opened_.tornBytes = bytes.size() - inspection.wholeBytes;
  files_.overwrite(directory_ + "/" + kTornFile, 0, bytes.substr(inspection.wholeBytes), false);
  if (const Status status = files_.truncate(directory_ + "/" + name, inspection.wholeBytes); !status.ok())
    fail(status, "cannot truncate a torn log");
}

void Database::readMarker() {
  std::string bytes;
  const Status read = files_.read(directory_ + "/" + kMarkerFile, bytes);
  if (read.IsNotFound()) return;  // not written yet
  if (!read.ok()) fail(read, "cannot read the durability marker");
  for (std::size_t k = 0; k < kMarkerSlots; ++k) {
    if (bytes.size() < k * kMarkerSlotStride + kMarkerBytes) continue;
    const std::string one = bytes.substr(k * kMarkerSlotStride, kMarkerBytes);
    const std::uint64_t commits = big64(one);
    if (one == encodeMarker(commits)) markerCommits_ = std::max(markerCommits_, commits);
  }
}
// Called after the commit, so the marker never names a commit that is not there. It is not synced
// each time, which would cost as much as the commit: after a machine crash the marker may be older
// and detect less.
void Database::writeMarker(bool durable) {
  const Status s =
      files_.overwrite(directory_ + "/" + kMarkerFile, commits_ % kMarkerSlots * kMarkerSlotStride,
                       encodeMarker(commits_), durable);
  if (!s.ok()) fail(s, "cannot write the durability marker");
  markerCommits_ = commits_;
}

void Database::commit(const Batch& b) {
  leveldb::WriteBatch all = b.batch_;
  // Replaces the placeholder in the batch's first pair with the commit number. inspectLog() reads
  // the number from the first pair, and the constructor reads it back under the same key.
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
  if (const Status s = db_->Write(w, &numbered.out); !s.ok()) fail(s, "cannot commit");
  ++commits_;
  writeMarker(++markersSinceSync_ % kMarkersPerSync == 0);
}

std::optional<std::string> Database::get(std::string_view key) {
  leveldb::ReadOptions r;
  r.verify_checksums = true;
  std::string value;
  const Status s = db_->Get(r, slice(key), &value);
  if (s.ok()) return value;
  if (!s.IsNotFound()) fail(s, "cannot read a record");
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
  if (!it->status().ok()) fail(it->status(), "cannot read a record");
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

void Database::fail(const Status& s, const char* context) {
  const Files::LastRead at = files_.lastRead();
  // The database refers only to files that were written before, so a missing file is damage.
  if (s.IsNotFound())
    throw StoreError(StoreError::Kind::Damaged, baseName(at.path) + " is missing (" + s.ToString() + ")",
                     baseName(at.path));
  if (!s.IsCorruption() && !s.IsInvalidArgument())
    throw StoreError(StoreError::Kind::Failed, std::string(context) + ": " + s.ToString());
  throw StoreError(StoreError::Kind::Damaged,
                   baseName(at.path) + " is damaged within the " + std::to_string(at.length) +
                       " bytes at offset " + std::to_string(at.offset) + " (" + s.ToString() + ")",
                   baseName(at.path), at.offset);
}

}  // namespace sablespur::durability
