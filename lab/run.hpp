// Runs an experiment: starts the stand-in servers, the real proxies and the clients, executes the
// script, and computes the figures and the results of the claims.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/availability.hpp"
#include "lab/experiment.hpp"
#include "lab/logins.hpp"
#include "lab/name_server.hpp"
#include "lab/power.hpp"
#include "lab/proxy_process.hpp"
#include "lab/registry.hpp"

namespace sablespur::lab {

// Totals of all proxies, sampled once per second. Counters and CPU time start with the load.
struct SecondTotals {
  double at = 0, cpu = 0, residentMb = 0;
  std::size_t served = 0, refused = 0, failed = 0, members = 0;
};

struct Outcome {
  std::map<std::string, double> figures;
  struct ClaimResult {
    Claim claim;
    double measured = 0;
    bool known = false, held = false;
  };
  std::vector<ClaimResult> claims;
  std::vector<SecondTotals> seconds;
  std::size_t brokenClaims() const;
};

class Run {
 public:
  struct Options {
    std::string program;        // path of the proxy binary
    std::string directory;      // for settings and logs
    bool progress = false;      // prints a line on standard error every second
    bool untilStopped = false;  // runs until stop() is called, ignoring the experiment's duration
  };
  Run(const Experiment&, const Options&);
  ~Run();

  // Throws std::runtime_error if a stand-in or a proxy does not start, or if a script step is invalid.
  Outcome play();
  void stop();  // ends the load; called from a signal handler of the event loop
  event_base* loop() { return c_.loop.get(); }
  const Audit& audit() const { return audit_; }
  const Availability& availability() const { return availability_; }
  const Fleet& fleet() const { return *fleet_; }
  Time startedAt() const { return started_; }  // start of the load and of the script

 private:
  struct Proxy {
    int number = 0;  // from 1
    std::unique_ptr<NameServer> names;
    std::unique_ptr<Registry> registry;
    std::unique_ptr<ProxyProcess> process;
    std::unique_ptr<Clients> clients;
    std::vector<std::unique_ptr<Clients>> desks;
    std::vector<std::unique_ptr<Crowd>> crowds;
    sockaddr_in address{};
    std::string settingsPath;
    bool ready = false;
    std::optional<Time> terminatedAt;  // when SIGTERM was sent to the current process
    // CPU seconds: of the current process when the load started, and of earlier processes.
    double cpuAtStart = 0, cpuOfEndedProcesses = 0;
  };
  void startAll();
  void publish(DataServer&, bool leaving);
  void withdraw(DataServer&);
  void list(DataServer&);
  void execute(const Step&);
  void executeGroupAction(const std::string& action, int group,
                          const std::function<void(const std::string&)>& fail);
  void publishGroup(int group);
  static bool setRegistryMode(Registry&, const std::string& responseMode);
  void terminateProxy(Proxy&);
  void killProxy(Proxy&);
  void startProxy(std::size_t k);
  void executeDueSteps();
  void measureLag();  // measures how late timers of the lab's own event loop fire
  void observeAvailability();
  void watchReads(Clients&, int proxy);
  void sampleSecond();
  std::string settings(std::size_t proxy) const;
  double cpu() const;
  bool wait(Time most, const std::function<bool()>& done);
  void figures(Outcome&, Time loaded);

  Experiment e_;
  const Options o_;
  Context c_;
  Audit audit_;
  Availability availability_;
  std::unique_ptr<Fleet> fleet_;
  std::vector<Proxy> proxies_;
  std::vector<std::unique_ptr<Clients>> direct_;
  std::vector<std::unique_ptr<LoginBurst>> bursts_;
  std::unique_ptr<PowerLossSimulator> power_;
  std::map<int, bool> listed_;  // by server number: whether it is published
  std::size_t step_ = 0;
  Time started_{};
  bool stopped_ = false;
  Timer stepTimer_, sampleTimer_, lagTimer_, availabilityTimer_;
  Time lagDue_{}, worstLag_{};
  std::vector<SecondTotals> samples_;
  double dnsAtStart_ = 0;
};

}  // namespace sablespur::lab
