// The ids that clients gave to their open requests.
//
// Data servers distinguish requests by these ids, so an id has one open request at a time. A request
// is open from the arrival of its last byte to its answer. If its client leaves earlier, a data server
// may still run it; its id then stays reserved until the request's deadline.
//
// Ids are kept as hashes of 64 bits, so that long ids need no more memory than short ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

#include "engine/clock.hpp"
#include "frontend/postgres/shared_request_ids.hpp"
#include "support/fnv.hpp"

namespace sablespur {

using RequestIdHash = std::uint64_t;
inline RequestIdHash hashRequestId(std::string_view id) { return fnv1a64(id); }

class OpenRequestIds {
 public:
  using Time = Clock::Time;
  using Owner = const void*;  // a client's connection; only compared

  enum class Reservation {
    Granted,
    AlreadyOwn,     // the same owner holds it
    TakenByAnother  // another owner or process holds it, or its client has left
  };

  // Longest time for which an id stays reserved after its client has left.
  static constexpr Time kMaxRetention = std::chrono::seconds(10);
  // Ids of clients that have left; beyond this the oldest is forgotten.
  static constexpr std::size_t kMaxRetained = 8192;

  // Also refuses ids that another process of this proxy has published, and publishes those that are
  // reserved from now on. Null: there is no other process. Has to outlive this object's last call.
  void shareWith(SharedRequestIds* shared) { shared_ = shared; }

  Reservation reserve(Time now, RequestIdHash, Owner);
  // Frees a reserved id; no effect on ids that are not reserved.
  void release(RequestIdHash);
  // The owner of a reserved id has left: keeps the id reserved until `until`.
  void retain(Time now, RequestIdHash, Time until);

  std::size_t size() const { return owners_.size(); }
  std::size_t retainedCount() const { return retained_.size(); }

 private:
  struct Retained {
    RequestIdHash id;
    Time until;
  };

  void forgetExpired(Time now);
  void forgetOldest();
  void erase(RequestIdHash);

  std::unordered_map<RequestIdHash, Owner> owners_;  // null: retained
  SharedRequestIds* shared_ = nullptr;
  std::deque<Retained> retained_;  // in the order in which their clients left
};

}  // namespace sablespur
