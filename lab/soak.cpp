#include "lab/soak.hpp"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <pcg_random.hpp>
#include <sstream>
#include <stdexcept>

#include "lab/run.hpp"
#include "lab/takeover_schedule.hpp"

namespace sablespur::lab {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kDurationMs = 24000;
constexpr std::int64_t kLongestCountedDeadlineMs = 3000;
constexpr std::int64_t kKillAfterDeadlineMs = 700;
// A stand-in that was held up for longer cannot tell who was late.
constexpr double kMostLagMs = 250;
constexpr int kVoidPercent = 10;

enum ExitCode { kHeld = 0, kBroken = 1, kVoid = 2, kFailed = 3 };

// Writes the experiment of one seed, drawing as it goes.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : seed_(seed), random_(seed) {}

  std::string text() {
    proxies_ = static_cast<int>(between(3, 4));
    servers_ = static_cast<int>(between(4, 6));
    drawDeployment();
    drawRegistryFaults();
    drawServerFaults();
    drawServerChanges();
    drawProxyFaults();
    return out_.str() + "[script]\n" + script();
  }

 private:
  std::int64_t between(std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most - least + 1));
  }
  bool chance(int percent) { return between(1, 100) <= percent; }
  template <std::size_t Count>
  std::string oneOf(const char* const (&words)[Count]) {
    return words[between(0, Count - 1)];
  }
  void at(std::int64_t ms, const std::string& action) { steps_.emplace(ms, action); }
  // Seldom the first, which is the primary.
  std::string server() { return "s-" + std::to_string(chance(15) ? 1 : between(2, servers_)); }
  // The primary and one replica stay.
  std::string leavingServer() { return "s-" + std::to_string(between(3, servers_)); }

  void drawDeployment() {
    static constexpr std::int64_t kReadDeadlines[] = {500, 1200, 3000};
    static constexpr std::int64_t kWriteDeadlines[] = {1000, 3000, 9000};
    const std::int64_t readDeadline = kReadDeadlines[between(0, 2)];
    const std::int64_t writeDeadline = kWriteDeadlines[between(0, 2)];
    longestDeadline_ = std::max(readDeadline, writeDeadline);
    out_ << "[experiment]\ntitle = soak " << seed_ << "\nseed = " << seed_
         << "\ndiscovery = registry\nproxies = " << proxies_ << "\nduration = " << kDurationMs
         << "ms\nwarmup = 1s\n[fleet]\ngroups = 1\nmembers = " << servers_
         << "\n[load]\nrate = " << between(40, 120) << "\nretries = 1\nstrict_ends = yes\n";
    out_ << "[class tour-read]\nshare = 85%\nwork_least = 5ms\nwork_most = 20ms\ndata = bounded\nmax_age = "
            "5s\n"
            "repeats = safe\naim = "
         << readDeadline / 2 << "ms\ngive_up = " << readDeadline << "ms\n";
    out_
        << "[class handset-write]\nshare = 15%\nwork_least = 10ms\nwork_most = 30ms\ndata = write\nrepeats = "
           "keyed\nrepeats_dropped_for = 2s\naim = "
        << writeDeadline / 2 << "ms\ngive_up = " << writeDeadline << "ms\nworth = 6\n";
    if (!chance(40)) return;
    static constexpr const char* kWays[] = {"silent", "ask", "startup"};
    out_ << "[crowd idle]\nrate = " << between(20, 200) << "\nway = " << oneOf(kWays)
         << "\nfrom = " << between(1, 8) << "s\nstay = 4s\n";
  }

  // A fault that lasts longer than the list may be old, with a drain soon after its begin.
  void drawRegistryFaults() {
    static constexpr const char* kMoods[] = {"silent", "cut",  "slow-1500", "slow-2200", "slow-2800",
                                             "pieces", "down", "older",     "reset"};
    for (std::int64_t time = between(1000, 5000); time < kDurationMs - 4000;) {
      const std::string mood = oneOf(kMoods);
      const std::int64_t length = between(2000, 10000);
      at(time, "registry " + mood);
      if (mood.rfind("slow", 0) == 0) at(time + 10, "registry reset");
      if (chance(70)) at(time + between(20, 1500), "drain " + leavingServer());
      at(time + length, mood == "down" ? "registry up" : "registry well");
      time += length + between(500, 4000);
    }
  }

  void drawServerFaults() {
    static constexpr const char* kFaults[] = {"hang", "slow", "errors", "resets", "lag"};
    for (std::int64_t time = between(500, 4000); time < kDurationMs - 4000; time += between(2500, 6000)) {
      const std::string name = server();
      const std::string fault = oneOf(kFaults);
      const std::string strength = fault == "slow" || fault == "lag" ? " 5" : " 30";
      const std::int64_t end = time + between(500, 3000);
      at(time, fault + " " + name + (fault == "hang" ? "" : strength));
      at(end, fault == "hang" ? "back " + name
                              : fault + " " + name + (fault == "slow" || fault == "lag" ? " 1" : " 0"));
    }
  }

  // One server after another drains, leaves and comes back.
  void drawServerChanges() {
    for (std::int64_t time = between(1500, 5000); time < kDurationMs - 6000; time += between(2500, 5000)) {
      const std::string name = leavingServer();
      const std::int64_t left = time + between(1500, 3000);
      at(time, "drain " + name);
      at(left, "withdraw " + name);
      if (chance(60)) at(left + between(500, 1500), "publish " + name);
    }
  }

  // Signals in series, an end with the earliest kill, a crash, or a short stop.
  void drawProxyFaults() {
    std::int64_t time = between(1000, 5000);
    for (int proxy = 1; proxy <= proxies_ && time < kDurationMs - 7000; ++proxy) {
      const std::string who = "proxy " + std::to_string(proxy) + " ";
      switch (between(0, 3)) {
        case 0:
          at(time, who + "kill");
          at(time + between(100, 800), who + "start");
          break;
        case 1:
          at(time, who + "stop");
          at(time + between(20, 140), who + "cont");
          break;
        default:
          restart(time, who);
      }
      time += between(500, 4000);
    }
  }
  void restart(std::int64_t time, const std::string& who) {
    if (chance(50)) at(time - between(5, 200), who + "hup");
    if (chance(50)) at(time - between(1, 4), who + "hup");
    at(time, who + "term");
    if (chance(50)) at(time + between(1, 300), who + "term");
    const std::int64_t kill =
        time + std::min(longestDeadline_, kLongestCountedDeadlineMs) + kKillAfterDeadlineMs;
    // "no sooner than": with the longest deadline counted as 3 s where it is longer.
    at(kill, who + "kill");
    at(kill + between(50, 500), who + "start");
  }

  std::string script() const {
    std::ostringstream lines;
    for (const auto& [ms, action] : steps_) lines << ms << "ms " << action << "\n";
    return lines.str();
  }

  const std::uint64_t seed_;
  pcg64 random_;
  int proxies_ = 0, servers_ = 0;
  std::int64_t longestDeadline_ = 0;
  std::ostringstream out_;
  std::multimap<std::int64_t, std::string> steps_;
};

std::string seconds(Time time) {
  std::ostringstream text;
  text.precision(3);
  text << std::fixed << static_cast<double>(time.count()) / 1e6;
  return text.str();
}

// What the script did in the seconds before a break.
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

// Slow start has its own experiments; there a fall is judged over all proxies.
bool counts(const Audit::Broken& broken) { return broken.rule != "felled"; }

int playSeed(const SoakOptions& options, std::uint64_t seed) {
  constexpr std::size_t kMostPrinted = 5;
  std::vector<Fault> faults;
  const std::string text = options.kind == SoakKind::Faults ? soakExperiment(seed) : takeoverExperiment(seed);
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
  std::vector<Audit::Broken> broken;
  for (const Audit::Broken& one : played.audit().broken())
    if (counts(one)) broken.push_back(one);
  for (const Availability::Outage& outage : played.availability().outages())
    broken.push_back({outage.at, "read_outages",
                      "proxy " + std::to_string(outage.proxy) + " served none of " +
                          std::to_string(outage.reads) + " reads in " + seconds(outage.lasted) +
                          " s, while a healthy server had fresh data"});
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
    std::printf("  again: sablespur-lab soak%s --seeds %llu..%llu; logs in %s\n",
                options.kind == SoakKind::Takeovers ? " --kind takeovers" : "",
                static_cast<unsigned long long>(seed), static_cast<unsigned long long>(seed),
                run.directory.c_str());
  std::fflush(stdout);
  if (isVoid) return kVoid;
  return broken.empty() && !isCrashed ? kHeld : kBroken;
}

// Each run has a process of its own; this one only counts.
pid_t startSeed(const SoakOptions& options, std::uint64_t seed) {
  std::fflush(stdout);
  const pid_t pid = fork();
  if (pid != 0) return pid;
  setvbuf(stdout, nullptr, _IOFBF, std::size_t{1} << 16);  // a run's lines stay together
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

std::string soakExperiment(std::uint64_t seed) { return Schedule(seed).text(); }

int playSoak(const SoakOptions& options) {
  if (access(options.program.c_str(), X_OK) != 0)
    throw std::runtime_error("--proxy " + options.program +
                             ": there is no such program, or it may not be run");
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
    if (startSeed(options, seed) < 0) throw std::runtime_error("a run cannot be started");
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
