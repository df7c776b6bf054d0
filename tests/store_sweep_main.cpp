// Runs the whole sweep, or a random share of it, and prints the counts as Markdown tables. Exits
// with 1 if a guarantee was violated or damage was reported wrongly.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <thread>

#include "store_sweep.hpp"

int main(int argc, char** argv) {
  CLI::App app{
      "cuts off a workload on the idempotency store at every byte, corrupts sectors and bits, and checks "
      "what the store recovers"};
  double share = 1;
  std::uint64_t seed = 1;
  int threads = static_cast<int>(std::max(std::thread::hardware_concurrency(), 1u));
  app.add_option("--share", share, "fraction of the trials to run")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  app.add_option("--seed", seed)->capture_default_str();
  app.add_option("--threads", threads)->check(CLI::Range(1, 64))->capture_default_str();
  std::size_t windows = 500;
  app.add_option("--windows", windows, "workloads on a disk that fails for a while")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  const auto start = std::chrono::steady_clock::now();
  const auto r = sablespur::test::sweep(share, seed, threads);
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::printf("%zu operations wrote %zu bytes; %.1f s on %d threads, share %g, seed %llu\n\n", r.operations,
              r.bytes, seconds, threads, share, static_cast<unsigned long long>(seed));
  std::printf(
      "| fault or result | trials |\n| --- | --- |\n"
      "| process crash at a byte | %zu |\n| power loss between operations | %zu |\n"
      "| sector replaced by zeros or by the one before it | %zu |\n| bit flipped | %zu |\n"
      "| of all: opened, all guarantees met | %zu |\n| of all: damage reported | %zu |\n"
      "| of those: no file named | %zu |\n"
      "| damage reported wrongly | %zu |\n| guarantee violated | %zu |\n",
      r.processCrashes, r.powerLosses, r.badSectors, r.bitFlips, r.recovered, r.damageReported,
      r.damageWithoutFile, r.falseDamage, r.violations);
  if (!r.firstViolation.empty()) std::printf("\nfirst violation: %s\n", r.firstViolation.c_str());
  const auto failures = sablespur::test::sweepFailures(windows, seed);
  std::printf(
      "\n| disk that fails for a while | trials |\n| --- | --- |\n"
      "| windows | %zu |\n| failed operations | %zu |\n| process crash at a byte | %zu |\n"
      "| power loss | %zu |\n| guarantee violated, or damage reported wrongly | %zu |\n",
      failures.windows, failures.failedOperations, failures.processCrashes, failures.powerLosses,
      failures.violations);
  if (!failures.firstViolation.empty())
    std::printf("\nfirst violation: %s\n", failures.firstViolation.c_str());
  return r.violations + r.falseDamage + failures.violations == 0 ? 0 : 1;
}
