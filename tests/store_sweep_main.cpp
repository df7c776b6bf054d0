// The whole sweep, or a drawn share of it, with its counts as a Markdown table. Exit 1 if a promise was
// broken.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <thread>

#include "store_sweep.hpp"

int main(int argc, char** argv) {
  CLI::App app{"ends a ledger's life at every byte, spoils its sectors, and looks at what opens again"};
  double share = 1;
  std::uint64_t seed = 1;
  int threads = static_cast<int>(std::max(std::thread::hardware_concurrency(), 1u));
  app.add_option("--share", share, "of the trials")->check(CLI::Range(0.0, 1.0))->capture_default_str();
  app.add_option("--seed", seed)->capture_default_str();
  app.add_option("--threads", threads)->check(CLI::Range(1, 64))->capture_default_str();
  std::size_t windows = 500;
  app.add_option("--windows", windows, "lives on a disk that fails for a while")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  const auto start = std::chrono::steady_clock::now();
  const auto r = sablespur::test::sweep(share, seed, threads);
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::printf("%zu operations wrote %zu bytes; %.1f s on %d threads, share %g, seed %llu\n\n", r.operations,
              r.bytes, seconds, threads, share, static_cast<unsigned long long>(seed));
  std::printf(
      "| what | trials |\n| --- | --- |\n"
      "| the process ends at a byte | %zu |\n| the machine ends between operations | %zu |\n"
      "| a sector is zeros, or an earlier one | %zu |\n| a bit is flipped | %zu |\n"
      "| of all: opened, with all that was promised | %zu |\n| of all: damage named | %zu |\n"
      "| of those: without a file | %zu |\n"
      "| an end taken for damage | %zu |\n| a promise broken | %zu |\n",
      r.cuts, r.losses, r.sectors, r.flips, r.recovered, r.reported, r.withoutOffset, r.damagedCuts,
      r.silent);
  if (!r.first.empty()) std::printf("\nfirst: %s\n", r.first.c_str());
  const auto failures = sablespur::test::sweepFailures(windows, seed);
  std::printf(
      "\n| a disk that fails for a while | trials |\n| --- | --- |\n"
      "| windows | %zu |\n| operations that failed | %zu |\n| the process ends at a byte | %zu |\n"
      "| the machine ends | %zu |\n| a promise broken, or an end taken for damage | %zu |\n",
      failures.windows, failures.failedOperations, failures.kills, failures.losses, failures.broken);
  if (!failures.first.empty()) std::printf("\nfirst: %s\n", failures.first.c_str());
  return r.silent + r.damagedCuts + failures.broken == 0 ? 0 : 1;
}
