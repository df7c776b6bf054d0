// The ids that clients gave to their open requests.
//
// Data servers distinguish requests by these ids, so an id has one open request at a time. A request
// is open from the arrival of its last byte to its answer.
//
// Ids are kept as hashes of 64 bits, so that long ids need no more memory than short ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "support/fnv.hpp"

namespace sablespur {

using RequestIdHash = std::uint64_t;
inline RequestIdHash hashRequestId(std::string_view id) { return fnv1a64(id); }

class OpenRequestIds {
 public:
  using Owner = const void*;  // a client's connection; only compared

  enum class Reservation {
    Granted,
    AlreadyOwn,     // the same owner holds it
    TakenByAnother  // another owner holds it
  };

  Reservation reserve(RequestIdHash, Owner);
  // Frees a reserved id; no effect on ids that are not reserved.
  void release(RequestIdHash);

  std::size_t size() const { return owners_.size(); }

 private:
  std::unordered_map<RequestIdHash, Owner> owners_;
};

}  // namespace sablespur
