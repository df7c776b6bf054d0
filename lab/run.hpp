// One run of an experiment: stand-ins, real proxies, clients, the script, and what came of it.
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

struct Second {  // of the run, all proxies together
  double at = 0, cpu = 0, residentMb = 0;
  std::size_t served = 0, refused = 0, failed = 0, members = 0;
};

struct Outcome {
  std::map<std::string, double> figures;
  struct Judged {
    Claim claim;
    double measured = 0;
    bool known = false, held = false;
  };
  std::vector<Judged> claims;
  std::vector<Second> seconds;
  std::size_t broken() const;
};

class Run {
 public:
  struct Options {
    std::string program;    // the proxy's
    std::string directory;  // for settings and logs
    bool progress = false;  // a line on standard error each second
    bool forEver = false;   // until stop is called
  };
  Run(const Experiment&, const Options&);
  ~Run();

  // Throws std::runtime_error where a stand-in or a proxy does not come up.
  Outcome play();
  void stop();  // ends the load; from a signal's handler in the loop
  event_base* loop() { return c_.loop.get(); }
  const Audit& audit() const { return audit_; }
  const Availability& availability() const { return availability_; }
  const Fleet& fleet() const { return *fleet_; }
  Time startedAt() const { return started_; }  // of the load and the script

 private:
  struct Proxy {
    std::unique_ptr<NameServer> names;
    std::unique_ptr<Registry> registry;
    std::unique_ptr<ProxyProcess> process;
    std::unique_ptr<Clients> clients;
    std::vector<std::unique_ptr<Clients>> desks;
    std::vector<std::unique_ptr<Crowd>> crowds;
    sockaddr_in address{};
    std::string settingsPath;
    bool ready = false;
    std::optional<Time> terminatedAt;  // of the process that runs
    double cpuAtStart = 0, cpuGone = 0;
  };
  void open();
  void publish(DataServer&, bool leaving);
  void withdraw(DataServer&);
  void list(DataServer&);
  void act(const Step&);
  static bool setRegistry(Registry&, const std::string& responseMode);
  void terminateProxy(Proxy&);
  void killProxy(Proxy&);
  void startProxy(std::size_t k);
  void nextStep();
  void measureLag();  // of this process's own loop
  void observeAvailability();
  void watchReads(Clients&, int proxy);
  void second();
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
  std::map<int, bool> listed_;  // by server: published now
  std::size_t step_ = 0;
  Time started_{};
  bool stopped_ = false;
  Timer steps_, seconds_, lag_, availabilityTimer_;
  Time lagDue_{}, worstLag_{};
  std::vector<Second> second_;
  double dnsAtStart_ = 0;
};

}  // namespace sablespur::lab
