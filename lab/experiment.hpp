// Reads an experiment from an INI file with the sections [experiment], [fleet], [load], [load NAME]
// (clients that connect directly to a server), [desks NAME], [crowd NAME], [class NAME], [settings],
// [script] and [claims].
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/clients.hpp"
#include "lab/crowd.hpp"
#include "lab/fleet.hpp"
#include "support/fault.hpp"

namespace sablespur::lab {

// A condition that a figure of the run must meet, such as `late_sends = 0`.
struct Claim {
  std::string text, figure, relation;
  double value = 0;
  int line = 0;
  bool holds(double measured) const;
};

struct Step {
  Time at{};
  std::vector<std::string> words;  // the action and its arguments: "withdraw", "s-3"
  int line = 0;
};

struct DirectLoad {
  std::string name, server;
  ClientSettings settings;
};

struct CrowdLoad {
  std::string name;
  CrowdSettings settings;  // totals over all proxies
};

struct Desks {
  std::string name;
  ClientSettings settings;
};

struct Experiment {
  std::string file, title;
  Time duration = std::chrono::seconds(30), warmup = std::chrono::seconds(1);
  int proxies = 1;
  std::string discovery = "dnssd";
  std::uint64_t seed = 1;
  FleetSettings fleet;
  ClientSettings load;
  std::vector<DirectLoad> direct;
  std::vector<Desks> desks;  // each group connects to every proxy
  std::vector<CrowdLoad> crowds;
  bool probes = true;                  // whether the proxies send health checks: `data_servers.probes`
  bool stepsWallClocks = false;        // the script steps wall clocks: each proxy gets its own
  bool takeoverRules = false;          // also applies Audit::Rules::judgeTakeovers and Availability
  int inherited = 0, descriptors = 0;  // see ProxyProcess::limits
  std::vector<ClassModel> classes;
  std::string settings;  // additional settings of the proxies, as INI
  std::vector<Step> script;
  std::vector<Claim> claims;
};

// Appends every error of the file to `faults`. The result must not be used if there are any.
Experiment parseExperiment(const std::string& text, const std::string& file, std::vector<Fault>& faults);
Experiment readExperiment(const std::string& path, std::vector<Fault>& faults);

}  // namespace sablespur::lab
