// Shared by the soak's schedules: seeded random draws, and script steps ordered by time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <pcg_random.hpp>
#include <sstream>
#include <string>

namespace sablespur::lab {

// Deterministic: the same seed gives the same draws.
class ScheduleDrawer {
 public:
  explicit ScheduleDrawer(std::uint64_t seed) : random_(seed) {}

  // Returns a number from the closed interval [least, most].
  std::int64_t between(std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most - least + 1));
  }
  bool chance(int percent) { return between(1, 100) <= percent; }
  template <typename Value, std::size_t Count>
  const Value& oneOf(const Value (&values)[Count]) {
    return values[between(0, Count - 1)];
  }

  // Steps with equal times keep the order in which they were added.
  void at(std::int64_t ms, const std::string& action) { steps_.emplace(ms, action); }
  // A proxy (`who`: "proxy N ") gets signals in series, is killed as early as allowed, and starts
  // again. The earliest allowed SIGKILL follows SIGTERM by the longest deadline, counted as at most
  // 3 s, plus 0.7 s.
  void terminateAndRestart(std::int64_t time, const std::string& who, std::int64_t longestDeadlineMs) {
    constexpr std::int64_t kLongestCountedDeadlineMs = 3000;
    constexpr std::int64_t kKillAfterDeadlineMs = 700;
    if (chance(50)) at(time - between(5, 200), who + "hup");
    if (chance(50)) at(time - between(1, 4), who + "hup");
    at(time, who + "term");
    if (chance(50)) at(time + between(1, 300), who + "term");
    const std::int64_t kill =
        time + std::min(longestDeadlineMs, kLongestCountedDeadlineMs) + kKillAfterDeadlineMs;
    at(kill, who + "kill");
    at(kill + between(50, 500), who + "start");
  }
  std::string script() const {
    std::ostringstream lines;
    for (const auto& [ms, action] : steps_) lines << ms << "ms " << action << "\n";
    return lines.str();
  }

 private:
  pcg64 random_;
  std::multimap<std::int64_t, std::string> steps_;
};

}  // namespace sablespur::lab
