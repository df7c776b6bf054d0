// Shared by the soak's schedules: seeded random draws, and script steps ordered by time.
#pragma once

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
