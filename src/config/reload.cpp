// Applies a reloaded configuration to the running one.
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "config/config.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kMaxClasses = 1024;  // includes classes that were removed since the start
const std::string kRemovedClass(1, '\0');  // a name that no statement can contain

bool haveSameValues(const balancer::ClassSettings& a, const balancer::ClassSettings& b) {
  const auto all = [](const balancer::ClassSettings& c) {
    return std::tie(c.requirement, c.idempotency, c.idempotencyScope, c.deduplicationWindow, c.maxStaleness,
                    c.latencyObjective, c.deadline, c.priorityWeight, c.lateWeight);
  };
  return all(a) == all(b);
}

// Returns the index of the running class with this name and these settings, or std::nullopt.
std::optional<std::size_t> findUnchangedClass(const Config& running, const std::string& name,
                                              const balancer::ClassSettings& settings) {
  for (std::size_t index = 0; index < running.classes.size(); ++index)
    if (running.classes[index] == name && haveSameValues(running.settings.classes[index], settings))
      return index;
  return std::nullopt;
}

}  // namespace

void applyReload(Config& running, const Config& read) {
  std::vector<balancer::ClassSettings> classes = running.settings.classes;
  std::vector<std::string> names(running.classes.size(), kRemovedClass);
  for (std::size_t index = 0; index < read.classes.size(); ++index) {
    const std::string& name = read.classes[index];
    const balancer::ClassSettings& settings = read.settings.classes[index];
    if (const auto unchanged = findUnchangedClass(running, name, settings)) {
      names[*unchanged] = name;
      continue;
    }
    names.push_back(name);
    classes.push_back(settings);
  }
  if (classes.size() > kMaxClasses)
    throw BadInput(
        "key settings.classes: too many were removed or changed since the start; a restart is needed");
  const balancer::Settings previous = std::exchange(running.settings, read.settings);
  running.settings.classes = std::move(classes);
  // The fields of load reports and the discovery mode cannot change while the program runs.
  running.settings.reportFields = previous.reportFields;
  running.settings.loadReportMode = previous.loadReportMode;
  running.settings.discoveryMode = previous.discoveryMode;
  running.settings.listedRolePolicy = previous.listedRolePolicy;
  running.settings.proxyCount = previous.proxyCount;
  running.classes = std::move(names);
  running.sessions = running.sessions || read.sessions;
}

}  // namespace sablespur
