#include "lab/fault_schedule.hpp"

#include <algorithm>
#include <sstream>

#include "lab/schedule_drawer.hpp"

namespace sablespur::lab {
namespace {

constexpr std::int64_t kDurationMs = 24000;

class FaultSchedule : private ScheduleDrawer {
 public:
  explicit FaultSchedule(std::uint64_t seed) : ScheduleDrawer(seed), seed_(seed) {}

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
  // Rarely the first server, which is the primary.
  std::string server() { return "s-" + std::to_string(chance(15) ? 1 : between(2, servers_)); }
  // The primary and one replica never leave.
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
    static constexpr const char* kCrowdWays[] = {"silent", "ask", "startup"};
    out_ << "[crowd idle]\nrate = " << between(20, 200) << "\nway = " << oneOf(kCrowdWays)
         << "\nfrom = " << between(1, 8) << "s\nstay = 4s\n";
  }

  // A registry fault that outlasts the allowed age of the endpoint list, with a drain soon after it
  // starts.
  void drawRegistryFaults() {
    static constexpr const char* kRegistryModes[] = {"silent", "cut",  "slow-1500", "slow-2200", "slow-2800",
                                                     "pieces", "down", "older",     "reset"};
    for (std::int64_t time = between(1000, 5000); time < kDurationMs - 4000;) {
      const std::string responseMode = oneOf(kRegistryModes);
      const std::int64_t length = between(2000, 10000);
      at(time, "registry " + responseMode);
      if (responseMode.rfind("slow", 0) == 0) at(time + 10, "registry reset");
      if (chance(70)) at(time + between(20, 1500), "drain " + leavingServer());
      at(time + length, responseMode == "down" ? "registry up" : "registry well");
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

  // Servers drain, leave and return, one after another.
  void drawServerChanges() {
    for (std::int64_t time = between(1500, 5000); time < kDurationMs - 6000; time += between(2500, 5000)) {
      const std::string name = leavingServer();
      const std::int64_t left = time + between(1500, 3000);
      at(time, "drain " + name);
      at(left, "withdraw " + name);
      if (chance(60)) at(left + between(500, 1500), "publish " + name);
    }
  }

  // Repeated signals and a shutdown with the earliest allowed SIGKILL, a crash, or a short SIGSTOP.
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
          terminateAndRestart(time, who, longestDeadline_);
      }
      time += between(500, 4000);
    }
  }

  const std::uint64_t seed_;
  int proxies_ = 0, servers_ = 0;
  std::int64_t longestDeadline_ = 0;
  std::ostringstream out_;
};

}  // namespace

std::string faultExperiment(std::uint64_t seed) { return FaultSchedule(seed).text(); }

}  // namespace sablespur::lab
