#include "discovery/dnssd/name_servers.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace sablespur {
namespace {

constexpr NameServers::Time kInitialBackoff = std::chrono::seconds(1);
constexpr NameServers::Time kMaxBackoff = std::chrono::seconds(30);
constexpr int kMaxDoublings = 6;

}  // namespace

std::optional<std::size_t> NameServers::select(Time now, const std::vector<bool>& tried) const {
  // Servers not in backoff come first, in cyclic order from the current one, then those in backoff
  // by its end.
  const auto rank = [&](std::size_t index) {
    const Time backoffUntil = servers_[index].backoffUntil;
    const bool inBackoff = backoffUntil > now;
    const std::size_t distance = (index + servers_.size() - current_) % servers_.size();
    return std::make_tuple(inBackoff, inBackoff ? backoffUntil : Time(0), distance);
  };
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < servers_.size(); ++index)
    if (!tried[index] && (!best || rank(index) < rank(*best))) best = index;
  return best;
}

void NameServers::recordFailure(std::size_t index, Time now) {
  ServerState& server = servers_[index];
  const Time doubled = kInitialBackoff * (std::int64_t{1} << std::min(server.failures, kMaxDoublings));
  server.backoffUntil = now + std::min(doubled, kMaxBackoff);
  ++server.failures;
}

void NameServers::recordAnswer(std::size_t index) {
  servers_[index] = {};
  current_ = index;
}

}  // namespace sablespur
