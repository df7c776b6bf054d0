#include "discovery/dnssd/name_servers.hpp"

#include <algorithm>
#include <tuple>

namespace sablespur {
namespace {

constexpr NameServers::Time kFirstRest = std::chrono::seconds(1), kLongestRest = std::chrono::seconds(30);

}  // namespace

std::optional<std::size_t> NameServers::pick(Time now, const std::vector<bool>& tried) const {
  std::optional<std::size_t> best;
  const auto rank = [&](std::size_t k) {
    const bool rests = all_[k].restsUntil > now;
    const std::size_t turn = (k + all_.size() - current_) % all_.size();
    return std::make_tuple(rests, rests ? all_[k].restsUntil : Time(0), turn);
  };
  for (std::size_t k = 0; k < all_.size(); ++k)
    if (!tried[k] && (!best || rank(k) < rank(*best))) best = k;
  return best;
}

void NameServers::failed(std::size_t k, Time now) {
  State& s = all_[k];
  s.restsUntil = now + std::min(kFirstRest * (std::int64_t{1} << std::min(s.failures, 6)), kLongestRest);
  ++s.failures;
}

void NameServers::answered(std::size_t k) {
  all_[k] = {};
  current_ = k;
}

}  // namespace sablespur
