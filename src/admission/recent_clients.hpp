// Recent clients: a bounded record of the addresses that have been served before. Pure: no I/O and no clock.
//
// An address becomes established once it was served several times over some span. Two bounds keep an abuser
// from filling the record: each network has room for a few addresses only and displaces its own, and
// addresses that are not established yet are displaced before any that is.
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
  int prefix4 = 24;  // bits of the network that an IPv4 address counts against
  int prefix6 = 64;
  std::size_t minResponses = 3;             // an address is established after as many responses,
  Time minSpan = std::chrono::seconds(2);   // the last of them at least so long after the first
  Time retention = std::chrono::hours(24);  // after the last response
};

class RecentClients {
 public:
  explicit RecentClients(RecentClientsSettings settings) : settings_(settings) {}

  // A client at this address got a response from a data server.
  void recordResponse(Time now, const IpAddress&);
  // Whether the address is established.
  bool contains(Time now, const IpAddress&) const;
  // Addresses on record, established or not.
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
  void makeRoom(const IpAddress& network);
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
