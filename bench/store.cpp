// Measures the store's costs and prints Markdown tables and CSV; see docs/measurements/store.
//
//   build/sablespur_bench_store DIR [CSVDIR]
//
// DIR has to be on the disk to be measured.
#include <event2/event.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "durability/group_commit_writer.hpp"

namespace {

using namespace sablespur::durability;
using Clock = std::chrono::steady_clock;
namespace fs = std::filesystem;

constexpr Time kWindow = std::chrono::seconds(2);

double since(Clock::time_point t) { return std::chrono::duration<double>(Clock::now() - t).count(); }
double quantile(std::vector<double>& v, double q) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<std::size_t>(q * static_cast<double>(v.size())))];
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
// Runs in a process of its own, so that the measured memory is that of this measurement only.
void apart(const std::function<void()>& work) {
  std::fflush(stdout);
  const pid_t pid = fork();
  if (pid == 0) {
    work();
    std::fflush(stdout);
    _exit(0);
  }
  waitpid(pid, nullptr, 0);
}

IdempotencyStoreSettings settings(const std::string& dir) {
  IdempotencyStoreSettings s;
  s.directory = dir;
  s.maxKeys = 10000000;
  return s;
}
Operation ask(std::uint64_t n) {
  const std::string key = "5c0f6e1a2b3d" + std::to_string(100000000 + n);
  return BeginKeyedRequest{{"9b1f03aa5c7e" + std::to_string(n), key, "handset-write", 3, kWindow}};
}
Operation finish(std::uint64_t n) {
  const std::string key = "5c0f6e1a2b3d" + std::to_string(100000000 + n);
  return CompleteRequest{
      key, "9b1f03aa5c7e" + std::to_string(n), Outcome::Served, std::string(120, 'a'), 1767225600000, 0,
      true};
}

// Commits groups of a fixed size from one thread: the cost of a commit and the gain from grouping.
void groups(const std::string& dir) {
  std::printf(
      "| operations a commit | commits/s | operations/s | commit p50, us | p99, us |\n| --- | --- | --- | "
      "--- | --- |\n");
  for (const std::size_t size : {1u, 4u, 16u, 64u, 256u, 1024u}) {
    fs::remove_all(dir);
    Files files;
    IdempotencyStore ledger(files, settings(dir));
    std::vector<double> took;
    std::uint64_t n = 0;
    const auto start = Clock::now();
    while (since(start) < 3) {
      std::vector<Operation> group;
      for (std::size_t k = 0; k < size; ++k) group.push_back(ask(n++));
      const auto t = Clock::now();
      ledger.apply(group);
      took.push_back(since(t) * 1e6);
    }
    const double all = since(start);
    std::printf("| %zu | %.0f | %.0f | %.0f | %.0f |\n", size, static_cast<double>(took.size()) / all,
                static_cast<double>(n) / all, quantile(took, 0.5), quantile(took, 0.99));
    std::fflush(stdout);
  }
}

// Commits through the writer at a fixed rate: measures the time from the request to the callback in
// the event loop, and how late the loop's own timer fires.
void rates(const std::string& dir, const std::string& csv) {
  std::printf(
      "| keyed writes/s | intent p50, us | p99, us | outcome p50, us | p99, us | operations a commit | loop "
      "late p99, us | most, us | CPU, share of a core |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  std::ofstream out(csv + "/rates.csv");
  out << "rate,intent_p50,intent_p99,outcome_p50,outcome_p99\n";
  for (const int rate : {0, 20, 100, 500, 2000, 8000}) {  // 0: baseline of the loop's timer
    fs::remove_all(dir);
    struct State {
      event_base* base = nullptr;
      GroupCommitWriter* writer = nullptr;
      std::vector<double> intents, outcomes, late;
      std::vector<GroupCommitWriter::Ticket> tickets;
      Clock::time_point start, due;
      std::uint64_t asked = 0, done = 0;
      double rate = 0;
    } s;
    s.base = event_base_new();
    s.rate = rate;
    const std::clock_t cpu = std::clock();
    {
      GroupCommitWriter writer(s.base, settings(dir), {});
      s.writer = &writer;
      s.start = Clock::now();
      constexpr double kSeconds = 8;
      event* const tick = event_new(
          s.base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* p) {
            State& st = *static_cast<State*>(p);
            const auto now = Clock::now();
            st.late.push_back(std::chrono::duration<double>(now - st.due).count() * 1e6);
            st.due = now + std::chrono::milliseconds(1);
            const double passed = since(st.start);
            if (passed >= kSeconds) {
              if (st.done >= 2 * st.asked || passed >= kSeconds + 5) event_base_loopbreak(st.base);
              return;
            }
            while (static_cast<double>(st.asked) < passed * st.rate) {
              const std::uint64_t n = st.asked++;
              const auto t = Clock::now();
              st.tickets.push_back(st.writer->submit(ask(n), [&st, n, t](bool, const OperationResult&) {
                ++st.done;
                st.intents.push_back(since(t) * 1e6);
                const auto again = Clock::now();
                st.tickets.push_back(st.writer->submit(finish(n), [&st, again](bool, const OperationResult&) {
                  ++st.done;
                  st.outcomes.push_back(since(again) * 1e6);
                }));
              }));
            }
          },
          &s);
      const timeval ms{0, 1000};
      s.due = Clock::now() + std::chrono::milliseconds(1);
      event_add(tick, &ms);
      event_base_dispatch(s.base);
      event_free(tick);
      const GroupCommitWriter::Statistics f = writer.statistics();
      const double share = static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC / since(s.start);
      const double ip50 = quantile(s.intents, 0.5), ip99 = quantile(s.intents, 0.99),
                   op50 = quantile(s.outcomes, 0.5), op99 = quantile(s.outcomes, 0.99),
                   late = quantile(s.late, 0.99);
      std::printf(
          "| %d | %.0f | %.0f | %.0f | %.0f | %.1f | %.0f | %.0f | %.2f |\n", rate, ip50, ip99, op50, op99,
          static_cast<double>(f.operations) / static_cast<double>(std::max<std::uint64_t>(f.commits, 1)),
          late, s.late.back(), share);
      out << rate << ',' << ip50 << ',' << ip99 << ',' << op50 << ',' << op99 << '\n';
      std::fflush(stdout);
      s.tickets.clear();
    }
    event_base_free(s.base);
  }
}

void fill(IdempotencyStore& ledger, std::uint64_t keys) {
  for (std::uint64_t n = 0; n < keys;) {
    std::vector<Operation> group;
    for (int k = 0; k < 1000 && n < keys; ++k, ++n) {
      group.push_back(ask(n));
      if (n % 100 != 0) group.push_back(finish(n));  // one write in a hundred stays open
    }
    ledger.apply(group);
  }
}

void starts(const std::string& dir) {
  std::printf(
      "| keys | files, MB | start, ms | of these open | resident after it, MB |\n| --- | --- | --- | --- | "
      "--- |\n");
  for (const std::uint64_t keys : {0u, 10000u, 100000u, 1000000u}) {
    fs::remove_all(dir);
    apart([&] {
      Files files;
      IdempotencyStore ledger(files, settings(dir));
      fill(ledger, keys);
    });
    apart([&] {
      const double before = residentMb();
      const auto t = Clock::now();
      Files files;
      IdempotencyStore ledger(files, settings(dir));
      const double ms = since(t) * 1e3;
      std::printf("| %llu | %.1f | %.1f | %llu | %.1f |\n", static_cast<unsigned long long>(keys),
                  static_cast<double>(ledger.bytesOnDisk()) / 1e6, ms,
                  static_cast<unsigned long long>(ledger.recovered().pendingKeys), residentMb() - before);
    });
  }
}

// Simulates an hour of new keys; the ledger's clock is advanced artificially.
void hour(const std::string& dir, const std::string& csv) {
  fs::remove_all(dir);
  std::ofstream out(csv + "/hour.csv");
  out << "minute,keys,mb\n";
  std::printf("| minute | keys | files, MB | resident, MB |\n| --- | --- | --- | --- |\n");
  MachineTime time = machineTime();
  Files files;
  IdempotencyStoreSettings s = settings(dir);
  const double before = residentMb();
  IdempotencyStore ledger(files, s, [&] { return time; });
  std::uint64_t n = 0;
  for (int second = 0; second <= 3600; ++second) {
    std::vector<Operation> group;
    for (int k = 0; k < 100; ++k) {
      group.push_back(ask(n));
      group.push_back(finish(n));
      ++n;
    }
    ledger.apply(group);
    time.sinceBootUs += 1000000;
    if (second % 60 == 0)
      out << second / 60 << ',' << ledger.totals().keys << ','
          << static_cast<double>(ledger.bytesOnDisk()) / 1e6 << '\n';
    if (second % 600 == 0) {
      std::printf("| %d | %llu | %.1f | %.1f |\n", second / 60,
                  static_cast<unsigned long long>(ledger.totals().keys),
                  static_cast<double>(ledger.bytesOnDisk()) / 1e6, residentMb() - before);
      std::fflush(stdout);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return std::fprintf(stderr, "usage: %s DIR [CSVDIR]\n", argv[0]), 2;
  const std::string dir = std::string(argv[1]) + "/store", csv = argc > 2 ? argv[2] : argv[1];
  fs::create_directories(argv[1]);
  std::printf("## Group commit\n\n");
  apart([&] { groups(dir); });
  std::printf("\n## Through the writer\n\n");
  apart([&] { rates(dir, csv); });
  std::printf("\n## Start\n\n");
  starts(dir);
  std::printf("\n## An hour of new keys, 100 a second, each known for 10 minutes\n\n");
  apart([&] { hour(dir, csv); });
  fs::remove_all(dir);
}
