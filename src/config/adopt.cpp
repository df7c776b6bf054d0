#include <algorithm>
#include <tuple>

#include "config/config.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kMostPlaces = 1024;
const std::string kNobody(1, '\0');  // no statement can name it

bool same(const balancer::ClassSettings& a, const balancer::ClassSettings& b) {
  const auto all = [](const balancer::ClassSettings& c) {
    return std::tie(c.requirement, c.idempotency, c.idempotencyScope, c.deduplicationWindow, c.maxStaleness,
                    c.latencyObjective, c.deadline, c.priorityWeight, c.lateWeight);
  };
  return all(a) == all(b);
}

}  // namespace

void adopt(Config& running, const Config& read) {
  std::vector<std::string> names = running.classes;
  std::vector<balancer::ClassSettings> places = running.settings.classes;
  std::fill(names.begin(), names.end(), kNobody);
  for (std::size_t k = 0; k < read.classes.size(); ++k) {
    const balancer::ClassSettings& c = read.settings.classes[k];
    std::size_t at = 0;
    while (at < places.size() && !(running.classes[at] == read.classes[k] && same(places[at], c))) ++at;
    if (at < places.size()) {
      names[at] = read.classes[k];
      continue;
    }
    names.push_back(read.classes[k]);
    places.push_back(c);
    running.classes.push_back(kNobody);
  }
  running.classes.resize(running.settings.classes.size());
  if (places.size() > kMostPlaces)
    throw BadInput("key settings.classes: too many have come and gone; a restart is needed");
  const balancer::Settings was = running.settings;
  running.settings = read.settings;
  running.settings.classes = std::move(places);
  running.settings.reportFields =
      was.reportFields;  // what reports hold, and how the list comes, is settled at the start
  running.settings.loadReportMode = was.loadReportMode;
  running.settings.discoveryMode = was.discoveryMode;
  running.settings.listedRolePolicy = was.listedRolePolicy;
  running.settings.proxyCount = was.proxyCount;
  running.classes = std::move(names);
  running.sessions = running.sessions || read.sessions;
}

}  // namespace sablespur
