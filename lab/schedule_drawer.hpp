// What the soak's schedules share: draws from a seed, and the steps of a script in the order of their times.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <pcg_random.hpp>
#include <sstream>
#include <string>

namespace sablespur::lab {

// The same draws for the same seed.
class ScheduleDrawer {
 public:
  explicit ScheduleDrawer(std::uint64_t seed) : random_(seed) {}

  // Both ends included.
  std::int64_t between(std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most - least + 1));
  }
  bool chance(int percent) { return between(1, 100) <= percent; }
  template <typename Value, std::size_t Count>
  const Value& oneOf(const Value (&values)[Count]) {
    return values[between(0, Count - 1)];
  }

  // Steps of the same time stay in the order in which they were added.
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
