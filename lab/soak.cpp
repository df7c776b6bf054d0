#include "lab/soak.hpp"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

#include "lab/clock_schedule.hpp"
#include "lab/fault_schedule.hpp"
#include "lab/run.hpp"
#include "lab/takeover_schedule.hpp"

namespace sablespur::lab {
namespace {

using std::chrono::milliseconds;

// If a stand-in was delayed for longer, a late event cannot be attributed to the proxy.
constexpr double kMostLagMs = 250;
constexpr int kVoidPercent = 10;

enum ExitCode { kHeld = 0, kBroken = 1, kVoid = 2, kFailed = 3 };

std::string seconds(Time time) {
  std::ostringstream text;
  text.precision(3);
  text << std::fixed << static_cast<double>(time.count()) / 1e6;
  return text.str();
}

// Prints the script steps in the 9 s before a violation.
void printStepsBefore(const Experiment& experiment, Time at, Time started) {
  constexpr Time kBefore = std::chrono::seconds(9);
  for (const Step& step : experiment.script) {
    const Time when = started + step.at;
    if (when > at || when < at - kBefore) continue;
    std::printf("    %s s ", seconds(when).c_str());
    for (const std::string& word : step.words) std::printf(" %s", word.c_str());
    std::printf("\n");
  }
}

// Excludes overloads of cold servers: the slow-start experiments check these, over all proxies.
bool isSoakViolation(const Audit::Violation& broken) { return broken.rule != "felled"; }

std::string experimentOf(SoakKind kind, std::uint64_t seed) {
  switch (kind) {
    case SoakKind::Faults:
      break;
    case SoakKind::Clocks:
      return clockExperiment(seed);
    case SoakKind::Takeovers:
      return takeoverExperiment(seed);
  }
  return faultExperiment(seed);
}

// The option of the command line that selects the kind.
const char* optionOf(SoakKind kind) {
  switch (kind) {
    case SoakKind::Faults:
      break;
    case SoakKind::Clocks:
      return " --kind clocks";
    case SoakKind::Takeovers:
      return " --kind takeovers";
  }
  return "";
}

int playSeed(const SoakOptions& options, std::uint64_t seed) {
  constexpr std::size_t kMostPrinted = 5;
  std::vector<Fault> faults;
  const std::string text = experimentOf(options.kind, seed);
  Experiment experiment = parseExperiment(text, "soak", faults);
  for (const Fault& fault : faults) std::printf("%s\n", fault.text().c_str());
  if (!faults.empty()) return kFailed;
  if (options.trace) experiment.settings += "[log]\nlevel = trace\n";
  Run::Options run;
  run.program = options.program;
  run.directory = options.directory + "/" + std::to_string(seed);
  std::filesystem::remove_all(run.directory);
  std::filesystem::create_directories(run.directory);
  std::ofstream(run.directory + "/experiment.ini") << text;
  Run played(experiment, run);
  const Outcome outcome = played.play();
  const auto figure = [&outcome](const char* name) {
    const auto found = outcome.figures.find(name);
    return found == outcome.figures.end() ? 0.0 : found->second;
  };
  std::vector<Audit::Violation> broken;
  for (const Audit::Violation& one : played.audit().broken())
    if (isSoakViolation(one)) broken.push_back(one);
  for (const Availability::Outage& outage : played.availability().outages())
    broken.push_back({outage.at, "read_outages",
                      "proxy " + std::to_string(outage.proxy) + " served none of group " +
                          std::to_string(outage.group) + "'s " + std::to_string(outage.reads) + " reads in " +
                          seconds(outage.lasted) + " s, while a healthy server had fresh data"});
  const bool isCrashed = figure("crashes") > 0;
  const bool isVoid = figure("worst_lag_ms") > kMostLagMs;
  std::printf("seed %llu: %s, %.0f requests, %.0f sends, %.0f%% served, %zu broken, lag %.0f ms\n",
              static_cast<unsigned long long>(seed),
              isVoid                         ? "void"
              : broken.empty() && !isCrashed ? "held"
                                             : "BROKEN",
              figure("requests"), figure("sends"), 100 * figure("served_share"),
              broken.size() + (isCrashed ? 1 : 0), figure("worst_lag_ms"));
  for (std::size_t k = 0; k < broken.size() && k < kMostPrinted; ++k) {
    std::printf("  at %s s, %s: %s\n", seconds(broken[k].at).c_str(), broken[k].rule.c_str(),
                broken[k].what.c_str());
    printStepsBefore(experiment, broken[k].at, played.startedAt());
  }
  if (!broken.empty())
    std::printf("  to reproduce: sablespur-lab soak%s --seeds %llu..%llu; logs in %s\n",
                optionOf(options.kind), static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(seed), run.directory.c_str());
  std::fflush(stdout);
  if (isVoid) return kVoid;
  return broken.empty() && !isCrashed ? kHeld : kBroken;
}

// Forks a process that plays the seed; the parent only counts the results.
pid_t startSeed(const SoakOptions& options, std::uint64_t seed) {
  std::fflush(stdout);
  const pid_t pid = fork();
  if (pid != 0) return pid;
  setvbuf(stdout, nullptr, _IOFBF, std::size_t{1} << 16);  // keeps the lines of a run together
  int code = kFailed;
  try {
    code = playSeed(options, seed);
  } catch (const std::exception& error) {
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), error.what());
  }
  std::fflush(stdout);
  _exit(code);
}

}  // namespace

int playSoak(const SoakOptions& options) {
  if (access(options.program.c_str(), X_OK) != 0)
    throw std::runtime_error("--proxy " + options.program + ": no such file, or not executable");
  std::map<int, int> counts;
  int running = 0;
  const auto reap = [&] {
    int status = 0;
    if (wait(&status) <= 0) return;
    --running;
    ++counts[WIFEXITED(status) ? WEXITSTATUS(status) : kFailed];
  };
  for (std::uint64_t seed = options.firstSeed; seed <= options.lastSeed; ++seed) {
    while (running >= options.jobs) reap();
    if (startSeed(options, seed) < 0) throw std::runtime_error("cannot fork a process for the run");
    ++running;
  }
  while (running > 0) reap();
  const int all = counts[kHeld] + counts[kBroken] + counts[kVoid] + counts[kFailed];
  std::printf("soak: %d runs, %d held, %d broken, %d void, %d did not run\n", all, counts[kHeld],
              counts[kBroken], counts[kVoid], counts[kFailed]);
  if (counts[kBroken] + counts[kFailed] > 0) return 1;
  return counts[kVoid] * 100 > all * kVoidPercent ? 2 : 0;
}

}  // namespace sablespur::lab
