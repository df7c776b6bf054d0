#include "lab/availability.hpp"

#include <algorithm>
#include <iterator>

namespace sablespur::lab {

void Availability::observe(Time now, int group, bool available) {
  std::optional<Time>& since = availableSince_[group];
  if (available == since.has_value()) return;
  since = available ? std::make_optional(now) : std::nullopt;
  for (auto entry = firstWrite_.begin(); entry != firstWrite_.end();)
    entry = entry->first.second == group ? firstWrite_.erase(entry) : std::next(entry);
}

void Availability::writeEnded(Time now, int proxy, int group, Time begun) {
  if (!isJudged(proxy, begun)) return;
  const std::optional<Time>& since = availableSince_[group];
  if (since && begun >= *since) firstWrite_.try_emplace({proxy, group}, now);
}

void Availability::proxyStopped(int proxy) {
  servingSince_[proxy] = std::nullopt;
  const auto isOf = [proxy](const auto& entry) { return entry.first.first == proxy; };
  for (auto entry = failing_.begin(); entry != failing_.end();)
    entry = isOf(*entry) ? failing_.erase(entry) : std::next(entry);
  // The next process has to find the primary by itself.
  for (auto entry = firstWrite_.begin(); entry != firstWrite_.end();)
    entry = isOf(*entry) ? firstWrite_.erase(entry) : std::next(entry);
}

void Availability::proxyStarted(Time now, int proxy) { servingSince_[proxy] = now; }

bool Availability::isJudged(int proxy, Time begun) const {
  const auto since = servingSince_.find(proxy);
  return since == servingSince_.end() || (since->second && begun >= *since->second);
}

std::optional<Time> Availability::couldServeSince(int proxy, int group) const {
  const auto since = availableSince_.find(group);
  if (since == availableSince_.end() || !since->second) return std::nullopt;
  if (!rules_.foundByWrites) return since->second;
  const auto write = firstWrite_.find({proxy, group});
  return write == firstWrite_.end() ? std::nullopt : std::make_optional(write->second);
}

void Availability::readEnded(Time now, int proxy, int group, Time begun, bool served) {
  if (!isJudged(proxy, begun)) return;
  const std::pair<int, int> key{proxy, group};
  const std::optional<Time> available = couldServeSince(proxy, group);
  if (served || !available) {
    failing_.erase(key);
    return;
  }
  // A read that was sent before any server could have served it does not count.
  if (begun < *available) return;
  Failing& failing = failing_.try_emplace(key, Failing{begun, 0}).first->second;
  failing.since = std::min(failing.since, begun);
  ++failing.reads;
  const Time lasted = now - failing.since;
  if (lasted <= rules_.patience || failing.reads < rules_.leastReads) return;
  outages_.push_back({now, proxy, group, lasted, failing.reads});
  failing_.erase(key);
}

}  // namespace sablespur::lab
