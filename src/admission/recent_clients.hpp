// Recent clients: a bounded table of client addresses that have been served before. Performs no I/O
// and reads no clock.
//
// An address becomes established after several responses over a minimum time span. Two rules
// prevent an abusive client from displacing the established addresses:
// - Each network has a limit on its addresses; beyond it, a new address evicts one of the same
//   network.
// - Addresses that are not established are evicted before established ones.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <unordered_map>

#include "admission/networks.hpp"
#include "admission/time.hpp"

namespace sablespur::admission {

struct RecentClientsSettings {
  std::size_t maxClients = 4096;
  std::size_t maxPerPrefix = 32;
  int prefix4 = 24;  // prefix length of the networks that maxPerPrefix applies to
  int prefix6 = 64;
  std::size_t minResponses = 3;             // responses until an address is established
  Time minSpan = std::chrono::seconds(2);   // least time between the first and the last of them
  Time retention = std::chrono::hours(24);  // since the last response
};

class RecentClients {
 public:
  explicit RecentClients(RecentClientsSettings settings) : settings_(settings) {}

  // Records that a client at this address received a response from a data server.
  void recordResponse(Time now, const IpAddress&);
  // Returns whether the address is established and was served within the retention time.
  bool contains(Time now, const IpAddress&) const;
  // Returns the number of recorded addresses, established or not.
  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    IpAddress address;
    Time firstAt{};
    Time lastAt{};
    std::size_t responses = 0;
    bool established = false;
  };
  using RecordList = std::list<Record>;  // least recently served first

  RecordList& listOf(const Record& record) { return record.established ? established_ : candidates_; }
  void insert(Time now, const IpAddress&);
  void erase(RecordList&, RecordList::iterator);
  void evictIfFull(const IpAddress& network);
  IpAddress networkOf(const IpAddress& address) const {
    return prefixOf(address, settings_.prefix4, settings_.prefix6);
  }

  const RecentClientsSettings settings_;
  RecordList candidates_;
  RecordList established_;
  std::unordered_map<IpAddress, RecordList::iterator> records_;
  std::unordered_map<IpAddress, std::size_t> countByNetwork_;
};

}  // namespace sablespur::admission
