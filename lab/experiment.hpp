// An experiment as its file says it: INI with the sections [experiment], [fleet], [load] (and [load NAME] for
// clients that go directly to a server), [desks NAME], [class NAME], [settings], [script] and [claims].
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/clients.hpp"
#include "lab/crowd.hpp"
#include "lab/fleet.hpp"
#include "support/fault.hpp"

namespace sablespur::lab {

struct Claim {
  std::string text, figure, relation;
  double value = 0;
  int line = 0;
  bool holds(double measured) const;
};

struct Step {
  Time at{};
  std::vector<std::string> words;  // "withdraw", "s-3"
  int line = 0;
};

struct DirectLoad {
  std::string name, server;
  ClientSettings settings;
};

struct CrowdLoad {
  std::string name;
  CrowdSettings settings;  // of all proxies together
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
  std::vector<Desks> desks;  // before each proxy
  std::vector<CrowdLoad> crowds;
  bool probes = true;                  // whether data servers may be probed, as the proxies' settings have it
  bool takeoverRules = false;          // judged by Audit::Rules::judgeTakeovers and Availability, too
  int inherited = 0, descriptors = 0;  // of each proxy: open from the start; the system's limit
  std::vector<ClassModel> classes;
  std::string settings;  // for the proxies, as INI
  std::vector<Step> script;
  std::vector<Claim> claims;
};

// Everything that is wrong with the file goes to `faults`; then the experiment is of no use.
Experiment parseExperiment(const std::string& text, const std::string& file, std::vector<Fault>& faults);
Experiment readExperiment(const std::string& path, std::vector<Fault>& faults);

}  // namespace sablespur::lab
