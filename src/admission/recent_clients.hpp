// Who has been served before, by address: a bounded record that forgets. Free of I/O and clocks.
//
// An address is known once it was served several times over some while. Guards against an abuser that fills
// the record: a network has room for a few only and pushes out its own; who is not known yet is forgotten
// before anyone who is.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <unordered_map>

#include "admission/networks.hpp"

namespace sablespur::admission {

using Time = std::chrono::microseconds;

struct RecentClientsSettings {
  std::size_t maxClients = 4096, maxPerPrefix = 32;
  int prefix4 = 24, prefix6 = 64;
  std::size_t minResponses = 3;             // served so often
  Time minSpan = std::chrono::seconds(2);   // over so long, at least
  Time retention = std::chrono::hours(24);  // after the last time
};

class RecentClients {
 public:
  explicit RecentClients(RecentClientsSettings s) : s_(s) {}
  void recordResponse(Time now, const IpAddress&);
  bool contains(Time now, const IpAddress&) const;
  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    IpAddress address;
    Time first{}, last{};
    std::size_t times = 0;
    bool known = false;
  };
  using List = std::list<Record>;  // the one served last comes last
  void forget(List&, List::iterator);
  void makeRoom(const IpAddress& prefix);
  IpAddress prefix(const IpAddress& a) const { return prefixOf(a, s_.prefix4, s_.prefix6); }

  const RecentClientsSettings s_;
  List fresh_, known_;
  std::unordered_map<IpAddress, List::iterator> records_;
  std::unordered_map<IpAddress, std::size_t> byPrefix_;
};

}  // namespace sablespur::admission
