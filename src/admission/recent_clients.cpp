#include "admission/recent_clients.hpp"

#include <algorithm>

namespace sablespur::admission {

void RecentClients::erase(RecordList& list, RecordList::iterator record) {
  const auto count = countByNetwork_.find(networkOf(record->address));
  --count->second;
  if (count->second == 0) countByNetwork_.erase(count);
  records_.erase(record->address);
  list.erase(record);
}

void RecentClients::evictIfFull(const IpAddress& network) {
  const auto count = countByNetwork_.find(network);
  if (count != countByNetwork_.end() && count->second >= settings_.maxPerPrefix) {
    const auto inNetwork = [&](const Record& record) { return networkOf(record.address) == network; };
    const auto candidate = std::find_if(candidates_.begin(), candidates_.end(), inNetwork);
    if (candidate != candidates_.end()) return erase(candidates_, candidate);
    return erase(established_, std::find_if(established_.begin(), established_.end(), inNetwork));
  }
  if (records_.size() < settings_.maxClients) return;
  RecordList& list = candidates_.empty() ? established_ : candidates_;
  erase(list, list.begin());
}

void RecentClients::insert(Time now, const IpAddress& address) {
  const IpAddress network = networkOf(address);
  evictIfFull(network);
  const auto record = candidates_.insert(candidates_.end(), Record{address, now, now, 1, false});
  records_.emplace(address, record);
  ++countByNetwork_[network];
}

void RecentClients::recordResponse(Time now, const IpAddress& address) {
  const auto found = records_.find(address);
  if (found == records_.end()) return insert(now, address);
  const auto it = found->second;
  Record& record = *it;
  RecordList& from = listOf(record);
  if (now - record.lastAt > settings_.retention) {  // the record has expired: start over
    record.firstAt = now;
    record.responses = 0;
    record.established = false;
  }
  record.lastAt = now;
  ++record.responses;
  if (record.responses >= settings_.minResponses && now - record.firstAt >= settings_.minSpan)
    record.established = true;
  RecordList& to = listOf(record);
  to.splice(to.end(), from, it);
}

bool RecentClients::contains(Time now, const IpAddress& address) const {
  const auto it = records_.find(address);
  if (it == records_.end()) return false;
  const Record& record = *it->second;
  return record.established && now - record.lastAt <= settings_.retention;
}

}  // namespace sablespur::admission
