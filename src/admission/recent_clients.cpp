#include "admission/recent_clients.hpp"

#include <algorithm>

namespace sablespur::admission {

void RecentClients::forget(List& from, List::iterator it) {
  const auto count = byPrefix_.find(prefix(it->address));
  if (--count->second == 0) byPrefix_.erase(count);
  records_.erase(it->address);
  from.erase(it);
}

void RecentClients::makeRoom(const IpAddress& network) {
  const auto count = byPrefix_.find(network);
  if (count != byPrefix_.end() && count->second >= s_.maxPerPrefix) {
    const auto ofIt = [&](const Record& r) { return prefix(r.address) == network; };
    const auto young = std::find_if(fresh_.begin(), fresh_.end(), ofIt);
    if (young != fresh_.end()) return forget(fresh_, young);
    return forget(known_, std::find_if(known_.begin(), known_.end(), ofIt));
  }
  if (records_.size() < s_.maxClients) return;
  if (!fresh_.empty())
    forget(fresh_, fresh_.begin());
  else
    forget(known_, known_.begin());
}

void RecentClients::recordResponse(Time now, const IpAddress& a) {
  const auto found = records_.find(a);
  if (found == records_.end()) {
    makeRoom(prefix(a));
    records_.emplace(a, fresh_.insert(fresh_.end(), Record{a, now, now, 1, false}));
    ++byPrefix_[prefix(a)];
    return;
  }
  const auto it = found->second;
  Record& r = *it;
  if (now - r.last > s_.retention) {  // it was away for so long that it begins anew
    r.first = now;
    r.times = 0;
    if (r.known) fresh_.splice(fresh_.end(), known_, it);
    r.known = false;
  }
  r.last = now;
  ++r.times;
  List& at = r.known ? known_ : fresh_;
  const bool becomes = !r.known && r.times >= s_.minResponses && now - r.first >= s_.minSpan;
  r.known = r.known || becomes;
  List& to = r.known ? known_ : fresh_;
  to.splice(to.end(), at, it);
}

bool RecentClients::contains(Time now, const IpAddress& a) const {
  const auto it = records_.find(a);
  return it != records_.end() && it->second->known && now - it->second->last <= s_.retention;
}

}  // namespace sablespur::admission
