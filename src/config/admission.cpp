#include "config/admission.hpp"

#include <algorithm>
#include <sstream>

namespace sablespur {
namespace {

constexpr const char* kOthers = "others";
constexpr std::size_t kAntechamber = 8;

admission::LimitKind kindOf(const std::string& word) {
  return word == "fixed"  ? admission::LimitKind::Fixed
         : word == "aimd" ? admission::LimitKind::Aimd
                          : admission::LimitKind::Gradient;
}

}  // namespace

std::shared_ptr<const admission::Settings> makeAdmission(const AdmissionDraft& a, const AdmissionContext& c) {
  auto s = std::make_shared<admission::Settings>();
  const auto wrong = [&](const std::string& title, const char* key, ValueError w) {
    c.fault(c.line(title, key), title + (key ? std::string(" ") + key : ""), std::move(w));
  };
  const std::string self = "[admission]";

  std::vector<AdmissionGroupDraft> groups = a.groups;
  const auto others =
      std::find_if(groups.begin(), groups.end(), [](const auto& g) { return g.name == kOthers; });
  if (others == groups.end()) {
    groups.emplace_back();
    groups.back().name = kOthers;
  } else {
    std::rotate(others, others + 1, groups.end());  // everyone else comes last
  }

  auto networks = std::make_shared<admission::Networks>();
  std::size_t reserved = 0;
  for (std::size_t k = 0; k < groups.size(); ++k) {
    const AdmissionGroupDraft& g = groups[k];
    const std::string title = "[admission_group " + g.name + "]";
    const bool last = g.name == kOthers;
    if (last && (!g.networks.empty() || !g.networksFile.empty() || !g.users.empty()))
      wrong(title, nullptr, {"it is whoever is in no other group", "leave out its networks and users"});
    std::string why;
    for (const std::string& n : g.networks)
      if (!networks->add(n, k, why))
        wrong(title, "networks", {why, "write networks such as 10.1.0.0/16 or fd00:1::/32"});
    if (!g.networksFile.empty()) {
      const auto text = c.file(g.networksFile);
      if (!text)
        wrong(title, "networks_file", {"'" + g.networksFile + "' cannot be read", "see that it exists"});
      std::istringstream lines(text.value_or(""));
      int number = 0;
      for (std::string line; std::getline(lines, line);) {
        ++number;
        line.erase(std::min(line.find('#'), line.size()));
        line.erase(0, line.find_first_not_of(" \t\r"));
        line.erase(line.find_last_not_of(" \t\r") + 1);
        if (!line.empty() && !networks->add(line, k, why)) {
          wrong(title, "networks_file",
                {g.networksFile + ":" + std::to_string(number) + ": " + why,
                 "write a network a line, such as 10.1.0.0/16"});
          break;  // one fault a file: a file of another form would fill the screen
        }
      }
    }
    if (!g.users.empty() && !c.passwords)
      wrong(
          title, "users",
          {"a name proves nothing without a password", "write [clients] login = scram, or leave users out"});
    for (const std::string& u : g.users)
      if (const auto [it, fresh] = s->users.emplace(u, k); !fresh && it->second != k)
        wrong(title, "users",
              {"'" + u + "' belongs to [admission_group " + groups[it->second].name + "] already",
               "keep it in one"});
    if (g.most > 0 && g.reserve > g.most)
      wrong(title, "reserve", {"it is more than the group may hold", "make it at most connections"});
    reserved += g.reserve;

    admission::GroupLimits l;
    l.name = g.name;
    l.most = g.most;
    l.mostByAddress = g.mostByAddress;
    l.mostByPrefix = g.mostByPrefix;
    l.perSecond = g.perSecond;
    l.burst = g.burst;
    l.reserve = g.reserve;
    l.weight = g.weight;
    s->door.groups.push_back(std::move(l));
  }
  s->networks = networks;

  std::string why;
  for (const std::string& n : a.fronts)
    if (!s->fronts.add(n, 0, why))
      wrong(self, "fronts", {why, "write networks such as 10.0.0.7 or fd00:1::/64"});
  if (!a.servedBefore.empty()) {
    const auto it =
        std::find_if(groups.begin(), groups.end(), [&](const auto& g) { return g.name == a.servedBefore; });
    if (it == groups.end())
      wrong(self, "served_before",
            {"there is no [admission_group " + a.servedBefore + "]", "name a group that has a section"});
    else
      s->servedBefore = static_cast<std::size_t>(it - groups.begin());
  }

  s->antechamber = a.antechamber > 0 ? a.antechamber : std::max(c.clients / 8, kAntechamber);
  if (s->antechamber >= c.clients) {
    wrong(self, "antechamber",
          {"it leaves no room: the limits have " + std::to_string(c.clients) + " places for clients",
           "make it smaller, or raise [limits] descriptors and memory"});
    return s;
  }
  const std::size_t room = c.clients - s->antechamber;
  s->door.most = a.most > 0 ? std::min(a.most, room) : room;
  if (reserved > s->door.most)
    wrong(self, "connections",
          {"the groups' reserves come to " + std::to_string(reserved) + ", and there are " +
               std::to_string(s->door.most) + " places",
           "make reserves smaller, or raise connections and [limits] descriptors"});
  s->door.prefix4 = s->known.prefix4 = a.prefix4;
  s->door.prefix6 = s->known.prefix6 = a.prefix6;
  s->door.comeBackLeast = a.comeBackLeast;
  s->door.comeBackMost = a.comeBackMost;
  s->door.idleLeast = a.idleLeast;
  s->known.most = a.knownMost;
  if (a.comeBackMost < a.comeBackLeast)
    wrong(self, "come_back_most", {"it is shorter than come_back_least", "make it at least that"});
  if (a.requestBackMost < a.requestBackLeast)
    wrong(self, "request_back_most", {"it is shorter than request_back_least", "make it at least that"});

  if (a.requests == "off") return s;
  if (a.requests != "fixed" && a.limitMost < a.limitLeast)
    wrong(self, "limit_most", {"it is less than limit_least", "make it at least that"});
  admission::RequestLimiterSettings r;
  r.limit.kind = kindOf(a.requests);
  r.limit.first = static_cast<double>(a.limit);
  const bool fixed = r.limit.kind == admission::LimitKind::Fixed;
  r.limit.least = static_cast<double>(fixed ? a.limit : a.limitLeast);
  r.limit.most = static_cast<double>(fixed ? a.limit : std::max(a.limitMost, a.limitLeast));
  r.limit.bound = a.bound;
  r.limit.tolerance = a.tolerance;
  r.mostWaiting = a.waiting;
  r.comeBackLeast = a.requestBackLeast;
  r.comeBackMost = a.requestBackMost;
  for (const AdmissionGroupDraft& g : groups) r.groups.push_back({g.weight, g.mostOpen});
  s->requests = std::move(r);
  return s;
}

}  // namespace sablespur
