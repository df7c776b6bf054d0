#include "frontend/postgres/open_request_ids.hpp"

namespace sablespur {

OpenRequestIds::Reservation OpenRequestIds::reserve(RequestIdHash id, Owner owner) {
  const auto [found, isNew] = owners_.emplace(id, owner);
  if (isNew) return Reservation::Granted;
  return found->second == owner ? Reservation::AlreadyOwn : Reservation::TakenByAnother;
}

void OpenRequestIds::release(RequestIdHash id) { owners_.erase(id); }

}  // namespace sablespur
