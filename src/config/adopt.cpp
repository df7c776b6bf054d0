// What a reloaded configuration changes in the running one.
#include <algorithm>
#include <tuple>
#include <utility>

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

}  // namespace

void adopt(Config& running, const Config& read) {
  const std::size_t runningCount = running.settings.classes.size();
  std::vector<balancer::ClassSettings> classes = running.settings.classes;
  std::vector<std::string> names(running.classes.size(), kRemovedClass);
  for (std::size_t index = 0; index < read.classes.size(); ++index) {
    const std::string& name = read.classes[index];
    const balancer::ClassSettings& settings = read.settings.classes[index];
    std::size_t place = 0;
    while (place < runningCount && !(running.classes[place] == name && same(classes[place], settings)))
      ++place;
    if (place < runningCount) {
      names[place] = name;
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
