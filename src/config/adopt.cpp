// What a reloaded configuration changes in the running one.
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "config/config.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kMaxClasses = 1024;  // those that were removed since the start included
const std::string kRemovedClass(1, '\0');  // a name that no statement can carry

bool same(const balancer::ClassSettings& a, const balancer::ClassSettings& b) {
  const auto all = [](const balancer::ClassSettings& c) {
    return std::tie(c.requirement, c.idempotency, c.idempotencyScope, c.deduplicationWindow, c.maxStaleness,
                    c.latencyObjective, c.deadline, c.priorityWeight, c.lateWeight);
  };
  return all(a) == all(b);
}

// The index of the running class of this name and these settings.
std::optional<std::size_t> findUnchangedClass(const Config& running, const std::string& name,
                                              const balancer::ClassSettings& settings) {
  for (std::size_t index = 0; index < running.classes.size(); ++index)
    if (running.classes[index] == name && same(running.settings.classes[index], settings)) return index;
  return std::nullopt;
}

}  // namespace

void adopt(Config& running, const Config& read) {
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
    throw BadInput("key settings.classes: too many have come and gone; a restart is needed");
  const balancer::Settings before = std::exchange(running.settings, read.settings);
  running.settings.classes = std::move(classes);
  // What load reports hold and how the list comes is settled at the start.
  running.settings.reportFields = before.reportFields;
  running.settings.loadReportMode = before.loadReportMode;
  running.settings.discoveryMode = before.discoveryMode;
  running.settings.listedRolePolicy = before.listedRolePolicy;
  running.settings.proxyCount = before.proxyCount;
  running.classes = std::move(names);
  running.sessions = running.sessions || read.sessions;
}

}  // namespace sablespur
