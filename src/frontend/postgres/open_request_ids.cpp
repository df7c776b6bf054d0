#include "frontend/postgres/open_request_ids.hpp"

#include <algorithm>

namespace sablespur {

OpenRequestIds::Reservation OpenRequestIds::reserve(Time now, RequestIdHash id, Owner owner) {
  forgetExpired(now);
  const auto [found, isNew] = owners_.emplace(id, owner);
  if (isNew && shared_) shared_->publish(id);
  if (isNew && shared_ && shared_->isOpenElsewhere(id)) {
    erase(id);
    return Reservation::TakenByAnother;
  }
  if (isNew) return Reservation::Granted;
  return found->second == owner ? Reservation::AlreadyOwn : Reservation::TakenByAnother;
}

void OpenRequestIds::release(RequestIdHash id) { erase(id); }

void OpenRequestIds::erase(RequestIdHash id) {
  if (owners_.erase(id) > 0 && shared_) shared_->withdraw(id);
}

void OpenRequestIds::retain(Time now, RequestIdHash id, Time until) {
  const auto found = owners_.find(id);
  if (found == owners_.end()) return;
  found->second = nullptr;
  retained_.push_back({id, std::min(until, now + kMaxRetention)});
  if (retained_.size() > kMaxRetained) forgetOldest();
}

// An entry behind one with a later end is forgotten with it, within kMaxRetention.
void OpenRequestIds::forgetExpired(Time now) {
  while (!retained_.empty() && retained_.front().until <= now) forgetOldest();
}

void OpenRequestIds::forgetOldest() {
  erase(retained_.front().id);
  retained_.pop_front();
}

}  // namespace sablespur
