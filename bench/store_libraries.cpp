// Runs the ledger's workload on embedded storage libraries: small records, each batch made durable
// before it is acknowledged. Prints a Markdown table of costs and one of behaviour on damaged
// files. See docs/design/store.md.
//
//   build/sablespur_bench_store_libraries DIR [RECORDS]
//
// Damage: a process writes records, one durable batch at a time, and exits without closing the
// database. Each data file is truncated at many offsets, and separately has a byte inverted at many
// offsets; another process opens the damaged copy and reads everything.
#include <fcntl.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>
#include <lmdb.h>
#include <rocksdb/db.h>
#include <rocksdb/options.h>
#include <rocksdb/table.h>
#include <rocksdb/write_batch.h>
#include <sqlite3.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;
using Pairs = std::vector<std::pair<std::string, std::string>>;

class Library {
 public:
  virtual ~Library() = default;
  virtual bool open(const std::string& dir) = 0;
  virtual bool put(const Pairs&) = 0;  // one durable batch
  virtual bool all(std::map<std::string, std::string>&) = 0;
};

class Level final : public Library {
 public:
  bool open(const std::string& dir) override {
    leveldb::Options o;
    o.create_if_missing = true;
    o.paranoid_checks = true;
    o.write_buffer_size = 1 << 20;
    leveldb::DB* db = nullptr;
    const bool ok = leveldb::DB::Open(o, dir, &db).ok();
    db_.reset(db);
    return ok;
  }
  bool put(const Pairs& pairs) override {
    leveldb::WriteBatch b;
    for (const auto& [k, v] : pairs) b.Put(k, v);
    leveldb::WriteOptions w;
    w.sync = true;
    return db_->Write(w, &b).ok();
  }
  bool all(std::map<std::string, std::string>& to) override {
    leveldb::ReadOptions r;
    r.verify_checksums = true;
    const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(r));
    for (it->SeekToFirst(); it->Valid(); it->Next()) to[it->key().ToString()] = it->value().ToString();
    return it->status().ok();
  }

 private:
  std::unique_ptr<leveldb::DB> db_;
};

class Rocks final : public Library {
 public:
  bool open(const std::string& dir) override {
    rocksdb::Options o;
    o.create_if_missing = true;
    o.paranoid_checks = true;
    o.write_buffer_size = 1 << 20;
    o.max_write_buffer_number = 2;
    o.max_open_files = 16;
    o.wal_recovery_mode = rocksdb::WALRecoveryMode::kTolerateCorruptedTailRecords;
    rocksdb::BlockBasedTableOptions t;
    t.block_cache = rocksdb::NewLRUCache(1 << 20);
    o.table_factory.reset(rocksdb::NewBlockBasedTableFactory(t));
    rocksdb::DB* db = nullptr;
    const bool ok = rocksdb::DB::Open(o, dir, &db).ok();
    db_.reset(db);
    return ok;
  }
  bool put(const Pairs& pairs) override {
    rocksdb::WriteBatch b;
    for (const auto& [k, v] : pairs) b.Put(k, v);
    rocksdb::WriteOptions w;
    w.sync = true;
    return db_->Write(w, &b).ok();
  }
  bool all(std::map<std::string, std::string>& to) override {
    const std::unique_ptr<rocksdb::Iterator> it(db_->NewIterator(rocksdb::ReadOptions()));
    for (it->SeekToFirst(); it->Valid(); it->Next()) to[it->key().ToString()] = it->value().ToString();
    return it->status().ok();
  }

 private:
  std::unique_ptr<rocksdb::DB> db_;
};

class Lmdb final : public Library {
 public:
  ~Lmdb() override {
    if (env_) mdb_env_close(env_);
  }
  bool open(const std::string& dir) override {
    fs::create_directories(dir);
    MDB_txn* t = nullptr;
    return mdb_env_create(&env_) == 0 && mdb_env_set_mapsize(env_, std::size_t{1} << 30) == 0 &&
           mdb_env_open(env_, dir.c_str(), 0, 0600) == 0 && mdb_txn_begin(env_, nullptr, 0, &t) == 0 &&
           mdb_dbi_open(t, nullptr, 0, &dbi_) == 0 && mdb_txn_commit(t) == 0;
  }
  bool put(const Pairs& pairs) override {
    MDB_txn* t = nullptr;
    if (mdb_txn_begin(env_, nullptr, 0, &t) != 0) return false;
    for (const auto& [k, v] : pairs) {
      MDB_val key{k.size(), const_cast<char*>(k.data())}, value{v.size(), const_cast<char*>(v.data())};
      if (mdb_put(t, dbi_, &key, &value, 0) != 0) return mdb_txn_abort(t), false;
    }
    return mdb_txn_commit(t) == 0;
  }
  bool all(std::map<std::string, std::string>& to) override {
    MDB_txn* t = nullptr;
    MDB_cursor* c = nullptr;
    if (mdb_txn_begin(env_, nullptr, MDB_RDONLY, &t) != 0 || mdb_cursor_open(t, dbi_, &c) != 0) return false;
    MDB_val k{}, v{};
    int e = 0;
    while ((e = mdb_cursor_get(c, &k, &v, MDB_NEXT)) == 0)
      to[std::string(static_cast<char*>(k.mv_data), k.mv_size)] =
          std::string(static_cast<char*>(v.mv_data), v.mv_size);
    mdb_cursor_close(c);
    mdb_txn_abort(t);
    return e == MDB_NOTFOUND;
  }

 private:
  MDB_env* env_ = nullptr;
  MDB_dbi dbi_ = 0;
};

class Sqlite final : public Library {
 public:
  ~Sqlite() override {
    sqlite3_finalize(put_);
    sqlite3_close(db_);
  }
  bool open(const std::string& dir) override {
    fs::create_directories(dir);
    return sqlite3_open((dir + "/db").c_str(), &db_) == SQLITE_OK && run("PRAGMA journal_mode=WAL") &&
           run("PRAGMA synchronous=FULL") &&
           run("CREATE TABLE IF NOT EXISTS t(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID") &&
           sqlite3_prepare_v2(db_, "INSERT OR REPLACE INTO t VALUES(?,?)", -1, &put_, nullptr) == SQLITE_OK;
  }
  bool put(const Pairs& pairs) override {
    if (!run("BEGIN IMMEDIATE")) return false;
    for (const auto& [k, v] : pairs) {
      sqlite3_bind_text(put_, 1, k.data(), static_cast<int>(k.size()), SQLITE_STATIC);
      sqlite3_bind_blob(put_, 2, v.data(), static_cast<int>(v.size()), SQLITE_STATIC);
      if (sqlite3_step(put_) != SQLITE_DONE) return false;
      sqlite3_reset(put_);
    }
    return run("COMMIT");
  }
  bool all(std::map<std::string, std::string>& to) override {
    sqlite3_stmt* s = nullptr;
    if (sqlite3_prepare_v2(db_, "SELECT k, v FROM t", -1, &s, nullptr) != SQLITE_OK) return false;
    int e = 0;
    while ((e = sqlite3_step(s)) == SQLITE_ROW)
      to[reinterpret_cast<const char*>(sqlite3_column_text(s, 0))] =
          std::string(static_cast<const char*>(sqlite3_column_blob(s, 1)),
                      static_cast<std::size_t>(sqlite3_column_bytes(s, 1)));
    sqlite3_finalize(s);
    return e == SQLITE_DONE;
  }

 private:
  bool run(const char* sql) { return sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK; }
  sqlite3* db_ = nullptr;
  sqlite3_stmt* put_ = nullptr;
};

std::unique_ptr<Library> make(const std::string& name) {
  if (name == "LevelDB") return std::make_unique<Level>();
  if (name == "RocksDB") return std::make_unique<Rocks>();
  if (name == "LMDB") return std::make_unique<Lmdb>();
  return std::make_unique<Sqlite>();
}

// Sized like the intent record of a write with an idempotency key.
std::pair<std::string, std::string> record(int n) {
  char key[32];
  std::snprintf(key, sizeof key, "k%08d", n);
  return {key, std::string(120, static_cast<char>('a' + n % 26))};
}

double residentMb() {
  std::ifstream f("/proc/self/status");
  for (std::string w; f >> w;)
    if (w == "VmRSS:") {
      double kb = 0;
      f >> kb;
      return kb / 1024;
    }
  return 0;
}

// Runs the function in a child process, since a library may abort. Returns its numbers, or an empty
// vector if the child failed.
std::vector<double> runInChild(const std::function<std::vector<double>()>& work) {
  int ends[2];
  if (pipe(ends) != 0) std::abort();
  const pid_t pid = fork();
  if (pid == 0) {
    close(ends[0]);
    if (!std::freopen("/dev/null", "w", stderr)) _exit(1);
    const std::vector<double> got = work();
    const ssize_t n = write(ends[1], got.data(), got.size() * sizeof(double));
    _exit(n < 0);
  }
  close(ends[1]);
  std::vector<double> got(64);
  const ssize_t n = read(ends[0], got.data(), got.size() * sizeof(double));
  close(ends[0]);
  waitpid(pid, nullptr, 0);
  got.resize(n > 0 ? static_cast<std::size_t>(n) / sizeof(double) : 0);
  return got;
}

double quantile(std::vector<double> v, double q) {
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<std::size_t>(q * static_cast<double>(v.size())))];
}
double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Returns the median and 99th percentile in us of single-record batches, the records per second in
// batches of 64, the longest batch in ms, the memory in MB when empty and when full, the start in
// ms and the files' MB.
std::vector<double> measureCosts(const std::string& name, const std::string& dir, int records) {
  fs::remove_all(dir);
  const double before = residentMb();
  double emptyMb = 0, fullMb = 0, worst = 0, perSecond = 0;
  std::vector<double> single;
  {
    const auto db = make(name);
    if (!db->open(dir)) return {};
    emptyMb = residentMb() - before;
    for (int k = 0; k < 2000; ++k) {
      const double t = now();
      if (!db->put({record(k)})) return {};
      single.push_back((now() - t) * 1e6);
    }
    const double start = now();
    for (int k = 2000; k < records; k += 64) {
      Pairs batch;
      for (int j = 0; j < 64; ++j) batch.push_back(record(k + j));
      const double t = now();
      if (!db->put(batch)) return {};
      worst = std::max(worst, (now() - t) * 1e3);
    }
    perSecond = (records - 2000) / (now() - start);
    fullMb = residentMb() - before;
  }
  const double t = now();
  const auto db = make(name);
  if (!db->open(dir)) return {};
  const double startMs = (now() - t) * 1e3;
  double size = 0;
  for (const auto& f : fs::directory_iterator(dir)) size += static_cast<double>(fs::file_size(f));
  return {
      quantile(single, 0.5), quantile(single, 0.99), perSecond, worst, emptyMb, fullMb, startMs, size / 1e6};
}

enum Found { Whole, Shorter, Hole, Refused, Crashed };

Found open(const std::string& name, const std::string& dir, int records) {
  const auto got = runInChild([&]() -> std::vector<double> {
    const auto db = make(name);
    std::map<std::string, std::string> all;
    if (!db->open(dir) || !db->all(all)) return {Refused};
    int n = 0;
    while (n < records && all.count(record(n).first) && all[record(n).first] == record(n).second) ++n;
    if (n == records) return {Whole};
    return {static_cast<double>(static_cast<std::size_t>(n) == all.size() ? Shorter : Hole)};
  });
  return got.empty() ? Crashed : static_cast<Found>(static_cast<int>(got[0]));
}

void damage(const std::string& name, const std::string& base) {
  constexpr int kRecords = 60;
  const std::string dir = base + "/original", copy = base + "/copy";
  fs::remove_all(dir);
  runInChild([&]() -> std::vector<double> {
    const auto db = make(name);
    if (!db->open(dir)) return {};
    for (int k = 0; k < kRecords; ++k)
      if (!db->put({record(k)})) return {};
    _exit(0);  // exits without closing the database
  });
  for (const bool cut : {true, false}) {
    std::map<Found, int> found;
    int trials = 0;
    for (const auto& f : fs::directory_iterator(dir)) {
      const std::string file = f.path().filename().string();
      if (file == "LOCK" || file == "LOG" || file == "lock.mdb" || file == "db-shm" || file == "IDENTITY" ||
          file.rfind("OPTIONS", 0) == 0)
        continue;
      const auto size = static_cast<long>(fs::file_size(f));
      const long step = std::max(1L, size / 400);
      for (long at = 0; at < size; at += step, ++trials) {
        fs::remove_all(copy);
        fs::copy(dir, copy);
        fs::remove(copy + "/db-shm");
        if (cut) {
          fs::resize_file(copy + "/" + file, static_cast<std::uintmax_t>(at));
        } else {
          std::fstream s(copy + "/" + file, std::ios::in | std::ios::out | std::ios::binary);
          s.seekg(at);
          const char was = static_cast<char>(s.get());
          s.seekp(at);
          s.put(static_cast<char>(~was));
        }
        ++found[open(name, copy, kRecords)];
      }
    }
    std::printf("| %s | %s | %d | %d | %d | %d | %d | %d |\n", name.c_str(), cut ? "cut" : "a byte inverted",
                trials, found[Whole], found[Shorter], found[Hole], found[Refused], found[Crashed]);
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return std::fprintf(stderr, "usage: %s DIR [RECORDS]\n", argv[0]), 2;
  const std::string base = argv[1];
  const int records = argc > 2 ? std::atoi(argv[2]) : 100000;
  fs::create_directories(base);
  std::printf(
      "| library | one durable, us p50 | p99 | by 64, records/s | longest, ms | empty, MB | with %d, MB | "
      "start, ms | files, MB |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
      records);
  for (const char* name : {"LevelDB", "RocksDB", "LMDB", "SQLite"}) {
    const auto p = runInChild([&] { return measureCosts(name, base + "/prices", records); });
    if (p.size() < 8) return std::fprintf(stderr, "%s failed\n", name), 1;
    std::printf("| %s | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", name, p[0], p[1], p[2],
                p[3], p[4], p[5], p[6], p[7]);
    std::fflush(stdout);
  }
  std::printf(
      "\n| library | damage | trials | all there | the end missing, no error | a hole, no error | refused | "
      "process died |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const char* name : {"LevelDB", "RocksDB", "LMDB", "SQLite"}) damage(name, base);
  fs::remove_all(base);
}
