#include "store_sweep.hpp"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <pcg_random.hpp>
#include <random>
#include <thread>

#include "store_run.hpp"

namespace sablespur::test {
namespace {

using namespace durability;
namespace fs = std::filesystem;

constexpr std::size_t kSector = 512;

struct Contents {
  std::string bytes;
  std::size_t synced = 0;
  bool named = false;  // its name is durable
  // After a sync that failed the system may call clean what it never wrote: from here on no later sync of
  // this file makes anything durable.
  std::size_t lostFrom = SIZE_MAX;
};
using Disk = std::map<std::string, Contents>;

// What an operation that was made to fail leaves.
void carryOutFailed(Disk& d, const Recorded& r, std::size_t carried) {
  const auto file = d.find(r.path);
  if (r.op == FileOp::Sync && file != d.end())
    file->second.lostFrom = std::min(file->second.lostFrom, file->second.synced);
  const std::string part = r.bytes.substr(0, std::min(carried, r.carried));
  if (part.empty()) return;
  std::string& bytes = d[r.path].bytes;
  const std::size_t at = r.op == FileOp::Append ? bytes.size() : r.at;
  if (bytes.size() < at + part.size()) bytes.resize(at + part.size());
  bytes.replace(at, part.size(), part);
}

// What an operation makes of the disk; of a write, `carried` bytes.
void carryOut(Disk& d, const Recorded& r, std::size_t carried) {
  if (r.failed) return carryOutFailed(d, r, carried);
  Contents* const c = r.op == FileOp::Remove || r.op == FileOp::MakeDirectory ? nullptr : &d[r.path];
  switch (r.op) {
    case FileOp::Open:
      if (r.at == 1) *c = {};
      break;
    case FileOp::Append:
      c->bytes += r.bytes.substr(0, carried);
      break;
    case FileOp::Sync:
      c->synced = std::min(c->bytes.size(), std::max(c->synced, c->lostFrom));
      c->named = true;
      break;
    case FileOp::Overwrite:
      if (c->bytes.size() < r.at + carried) c->bytes.resize(r.at + carried);
      c->bytes.replace(r.at, carried, r.bytes.substr(0, carried));
      break;
    case FileOp::Truncate:
      c->bytes.resize(r.at);
      c->synced = std::min(c->synced, c->bytes.size());
      if (c->bytes.size() <= c->lostFrom) c->lostFrom = SIZE_MAX;
      break;
    case FileOp::Rename: {
      Contents moved = d[r.path];
      d.erase(r.path);
      d[r.to] = std::move(moved);
      break;
    }
    case FileOp::Remove:
      d.erase(r.path);
      break;
    case FileOp::MakeDirectory:
      break;
  }
}

void lay(const Disk& d, const std::string& dir) {
  fs::remove_all(dir);
  fs::create_directory(dir);
  for (const auto& [name, c] : d) std::ofstream(dir + "/" + name, std::ios::binary) << c.bytes;
}

// The machine's end: what was not synced is gone.
Disk afterPowerLoss(const Disk& d) {
  Disk left;
  for (const auto& [name, c] : d)
    if (c.named || name == "DURABLE") left[name] = {c.bytes.substr(0, c.synced), c.synced, true, SIZE_MAX};
  return left;
}

enum class Ends { Whole, Reported, Broken };
struct Look {
  Ends end = Ends::Whole;
  std::string why;
  bool located = false;
};
Look look(const Disk& d, const std::string& dir, const Facts& facts, TestTime time, Time later) {
  lay(d, dir);
  time.pass(later);
  Files files;
  IdempotencyStoreSettings s;
  s.directory = dir;
  try {
    IdempotencyStore ledger(files, s, [&] { return time(); });
    const std::string why = broken(facts, ledger, time);
    return {why.empty() ? Ends::Whole : Ends::Broken, why, false};
  } catch (const StoreError& e) {
    return {e.kind == StoreError::Kind::Damaged ? Ends::Reported : Ends::Broken, e.what(), !e.file.empty()};
  }
}

// After which of a life's operations what was promised.
struct Promise {
  std::size_t operations;
  Facts facts;
  TestTime time;
};

// One life with a failing window, ended at drawn bytes.
void endAmidFailures(pcg64& random, std::size_t operations, FailureSweepResult& result) {
  constexpr std::size_t kLongestWindow = 60, kBeyond = 60;  // operations
  constexpr int kEnds = 8;
  const auto drawn = [&](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  const TemporaryDirectory folder;
  const std::string dir = folder.path + "/store";
  Recorder recorder(dir);
  const std::size_t from = drawn(operations - 1), count = 1 + drawn(kLongestWindow - 1);
  recorder.failWindow(from, count, drawn(1) == 0, drawn(40));
  std::vector<Promise> promises;
  {
    Files files(&recorder);
    TestTime time;
    Life life(files, dir, time);
    liveThroughFailures(life, time, [&] { promises.push_back({recorder.count(), life.facts(), time}); });
  }
  const std::vector<Recorded> all = recorder.recorded();
  for (const Recorded& r : all) result.failedOperations += r.failed;
  ++result.windows;
  std::vector<std::size_t> ends(kEnds);
  for (std::size_t& end : ends) end = std::min(from + drawn(count + kBeyond), all.size());
  std::sort(ends.begin(), ends.end());
  Disk disk;
  std::size_t done = 0;
  for (const std::size_t end : ends) {
    for (; done < end; ++done) carryOut(disk, all[done], all[done].bytes.size());
    Promise promised{0, {}, {}};
    for (const Promise& p : promises)
      if (p.operations <= end) promised = p;
    Disk killed = disk;
    if (end < all.size() && !all[end].bytes.empty())
      carryOut(killed, all[end], drawn(all[end].bytes.size() - 1));
    const auto tried = [&](const Disk& d, std::size_t FailureSweepResult::*which) {
      const Look l =
          look(d, folder.path + "/copy", promised.facts, promised.time, std::chrono::milliseconds(500));
      ++(result.*which);
      if (l.end == Ends::Whole) return;
      ++result.broken;
      if (result.first.empty())
        result.first = l.why + " (operations " + std::to_string(from) + " to " +
                       std::to_string(from + count) + " fail, it ends in " + std::to_string(end) + ")";
    };
    tried(killed, &FailureSweepResult::kills);
    tried(afterPowerLoss(disk), &FailureSweepResult::losses);
  }
}

}  // namespace

FailureSweepResult sweepFailures(std::size_t windows, std::uint64_t seed) {
  std::size_t operations = 0;
  {
    const TemporaryDirectory folder;
    Recorder recorder(folder.path + "/store");
    Files files(&recorder);
    TestTime time;
    Life life(files, folder.path + "/store", time);
    liveThroughFailures(life, time, [] {});
    operations = recorder.count();
  }
  FailureSweepResult result;
  for (std::size_t window = 0; window < windows; ++window) {
    pcg64 random(seed, window);
    endAmidFailures(random, operations, result);
  }
  return result;
}

SweepResult sweep(double share, std::uint64_t seed, int threads) {
  SweepResult result;
  std::vector<Promise> promises;
  std::vector<Recorded> all;
  {
    const TemporaryDirectory folder;
    Recorder recorder(folder.path + "/store");
    Files files(&recorder);
    TestTime time;
    Life life(files, folder.path + "/store", time);
    live(life, time, [&] { promises.push_back({recorder.count(), life.facts(), time}); });
    all = recorder.recorded();
  }
  result.operations = all.size();
  for (const Recorded& r : all) result.bytes += r.bytes.size();
  const auto promised = [&](std::size_t operations) -> const Promise& {
    std::size_t k = 0;
    while (k + 1 < promises.size() && promises[k + 1].operations <= operations) ++k;
    return promises[k];
  };
  // While a step is under way time may have gone on from when it was promised: the look comes as much later.
  const Time kLater = std::chrono::milliseconds(500), kMuchLater = std::chrono::seconds(3);

  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  const auto count = [&](const Look& l, bool mayBeReported) {
    if (l.end == Ends::Whole) ++result.recovered;
    if (l.end == Ends::Reported) {
      ++result.reported;
      result.withoutOffset += !l.located;
      if (!mayBeReported) ++result.damagedCuts;
    }
    result.silent += l.end == Ends::Broken;
    if ((l.end == Ends::Broken || (l.end == Ends::Reported && !mayBeReported)) && result.first.empty())
      result.first = l.why;
  };
  const auto work = [&] {
    const TemporaryDirectory folder;
    const std::string dir = folder.path + "/store";
    Disk disk;
    std::size_t done = 0;
    for (std::size_t k; (k = next++) <= all.size();) {
      pcg64 random(seed, k);  // the same trials, whichever thread comes to them
      const auto drawn = [&] { return share >= 1 || std::uniform_real_distribution<>(0, 1)(random) < share; };
      for (; done < k; ++done) carryOut(disk, all[done], all[done].bytes.size());
      const Promise& p = promised(k);
      const auto trial = [&](const Disk& d, Time later, std::size_t SweepResult::*which, bool mayBeReported) {
        const Look l = look(d, dir, p.facts, p.time, later);
        const std::lock_guard<std::mutex> lock(mutex);
        ++(result.*which);
        count(l, mayBeReported);
      };
      // The process ends amid this operation, at each of its bytes.
      const std::size_t bytes = k < all.size() ? all[k].bytes.size() : 0;
      for (std::size_t b = 0; b <= (bytes > 0 ? bytes - 1 : 0); ++b) {
        if (!drawn()) continue;
        Disk d = disk;
        if (k < all.size() && b > 0) carryOut(d, all[k], b);
        trial(d, b % 2 ? kLater : kMuchLater, &SweepResult::cuts, false);
      }
      if (drawn()) trial(afterPowerLoss(disk), kLater, &SweepResult::losses, false);
      // Sectors of the end of what was written last: not there yet, or as an earlier one was. What had been
      // durable is damaged then, which has to be named.
      if (k == 0 || all[k - 1].op != FileOp::Append || disk.count(all[k - 1].path) == 0) continue;
      const std::string& file = all[k - 1].path;
      const std::size_t size = disk[file].bytes.size();
      for (std::size_t s = 0; s < 3 && s * kSector < size; ++s) {
        const std::size_t from = (size - 1) / kSector * kSector;
        if (from < s * kSector) break;
        const std::size_t at = from - s * kSector, n = std::min(kSector, size - at);
        for (const bool older : {false, true}) {
          if (!drawn() || (older && at < kSector)) continue;
          Disk d = disk;
          std::string& b = d[file].bytes;
          b.replace(at, n, older ? b.substr(at - kSector, n) : std::string(n, '\0'));
          if (b == disk[file].bytes) continue;
          // Nothing of it had been durable: what a machine's end leaves there is no damage.
          const bool notDurable = at >= disk[file].synced && file != "DURABLE";
          trial(d, kLater, &SweepResult::sectors, !notDurable);
        }
      }
      // One byte of any file is not what it was.
      if (all[k - 1].op == FileOp::Append)
        for (int tries = 0; tries < 4; ++tries) {
          if (!drawn()) continue;
          auto it = disk.begin();
          std::advance(
              it, static_cast<long>(std::uniform_int_distribution<std::size_t>(0, disk.size() - 1)(random)));
          if (it->second.bytes.empty() || it->first == "LOG" || it->first == "TORN") continue;
          Disk d = disk;
          std::string& b = d[it->first].bytes;
          b[std::uniform_int_distribution<std::size_t>(0, b.size() - 1)(random)] ^=
              static_cast<char>(1 << std::uniform_int_distribution<int>(0, 7)(random));
          trial(d, kLater, &SweepResult::flips, true);
        }
    }
  };
  std::vector<std::thread> pool;
  for (int t = 0; t < threads; ++t) pool.emplace_back(work);
  for (std::thread& t : pool) t.join();
  return result;
}

}  // namespace sablespur::test
