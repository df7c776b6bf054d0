#include "discovery/dnssd/name_servers.hpp"

#include <algorithm>
#include <tuple>

namespace sablespur {
namespace {

constexpr NameServers::Time kInitialBackoff = std::chrono::seconds(1), kMaxBackoff = std::chrono::seconds(30);

}  // namespace

std::optional<std::size_t> NameServers::select(Time now, const std::vector<bool>& tried) const {
  std::optional<std::size_t> best;
  const auto rank = [&](std::size_t k) {
    const bool rests = servers_[k].backoffUntil > now;
    const std::size_t turn = (k + servers_.size() - current_) % servers_.size();
    return std::make_tuple(rests, rests ? servers_[k].backoffUntil : Time(0), turn);
  };
  for (std::size_t k = 0; k < servers_.size(); ++k)
    if (!tried[k] && (!best || rank(k) < rank(*best))) best = k;
  return best;
}

void NameServers::recordFailure(std::size_t k, Time now) {
  ServerState& s = servers_[k];
  s.backoffUntil =
      now + std::min(kInitialBackoff * (std::int64_t{1} << std::min(s.failures, 6)), kMaxBackoff);
  ++s.failures;
}

void NameServers::recordAnswer(std::size_t k) {
  servers_[k] = {};
  current_ = k;
}

}  // namespace sablespur
