#include "lab/takeover_schedule.hpp"

#include <sstream>

#include "lab/schedule_drawer.hpp"

namespace sablespur::lab {
namespace {

constexpr std::int64_t kDurationMs = 24000;
// Leaves enough time after the last takeover to see whether reads are served again.
constexpr std::int64_t kCalmEndMs = 9000;

class TakeoverSchedule : private ScheduleDrawer {
 public:
  explicit TakeoverSchedule(std::uint64_t seed) : ScheduleDrawer(seed), seed_(seed) {}

  std::string text() {
    proxies_ = static_cast<int>(between(2, 3));
    drawDeployment();
    drawReports();
    drawTakeovers();
    drawQuietTimes();
    return out_.str() + "[script]\n" + script();
  }

 private:
  void drawDeployment() {
    static constexpr std::int64_t kBoundsMs[] = {1000, 2000, 5000};
    static constexpr std::int64_t kReadDeadlinesMs[] = {900, 2000};
    const std::int64_t bound = oneOf(kBoundsMs);
    const std::int64_t deadline = oneOf(kReadDeadlinesMs);
    hasProbes_ = chance(65);
    // Without health checks only a write finds a new primary.
    const std::int64_t writes = hasProbes_ && chance(50) ? 0 : between(10, 30);
    rate_ = between(10, 30);
    out_ << "[experiment]\ntitle = takeovers " << seed_ << "\nseed = " << seed_
         << "\ndiscovery = registry\nproxies = " << proxies_ << "\nduration = " << kDurationMs
         << "ms\nwarmup = 1s\ntakeover_rules = yes\n[fleet]\ngroups = 1\nmembers = " << between(3, 5)
         << "\n[load]\nrate = " << rate_ * proxies_ << "\nretries = 0\n";
    out_ << "[class tour-read]\nshare = " << 100 - writes
         << "%\nwork_least = 5ms\nwork_most = 20ms\ndata = bounded\nmax_age = " << bound
         << "ms\nrepeats = safe\naim = " << deadline / 2 << "ms\ngive_up = " << deadline << "ms\n";
    if (writes == 0) return;
    out_
        << "[class handset-write]\nshare = " << writes
        << "%\nwork_least = 10ms\nwork_most = 30ms\ndata = write\nrepeats = keyed\nrepeats_dropped_for = 2s\n"
           "aim = 1500ms\ngive_up = 3000ms\nworth = 6\n";
  }

  void drawReports() {
    const char* const reports = !hasProbes_ ? "none" : chance(50) ? "probes" : "answers";
    out_ << "[settings]\ndata_servers.reports = " << reports
         << "\ndata_servers.probes = " << (hasProbes_ ? "yes" : "no") << "\n";
  }

  // The primary steps down to replica, or hangs for a while; another server takes over later.
  void drawTakeovers() {
    constexpr std::int64_t kLongestTakeoverMs = 6000;
    for (std::int64_t time = between(1500, 4000); time < kDurationMs - kCalmEndMs;
         time += kLongestTakeoverMs + between(1000, 4000)) {
      if (chance(50)) {
        at(time, "primary stepdown 1");
      } else {
        at(time, "primary hang 1");
        at(time + between(300, 3000), "revive 1");
      }
    }
  }

  // The load of one proxy stops completely and resumes later.
  void drawQuietTimes() {
    for (int proxy = 1; proxy <= proxies_; ++proxy) {
      for (std::int64_t time = between(500, 4000); time < kDurationMs - kCalmEndMs;) {
        const std::int64_t quiet = between(500, 9000);
        const std::string load = "load " + std::to_string(proxy) + " ";
        at(time, load + "0");
        at(time + quiet, load + std::to_string(rate_));
        time += quiet + between(500, 4000);
      }
    }
  }

  const std::uint64_t seed_;
  int proxies_ = 0;
  std::int64_t rate_ = 0;  // requests per second at each proxy
  bool hasProbes_ = true;
  std::ostringstream out_;
};

}  // namespace

std::string takeoverExperiment(std::uint64_t seed) { return TakeoverSchedule(seed).text(); }

}  // namespace sablespur::lab
