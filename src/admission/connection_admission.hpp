// The door: which new connections are let in, which are told to come back and when, and which idle one makes
// way. Free of I/O and clocks: it is told what happened and when, and says what to do.
//
// Groups have caps in all, by address and by network; a rate of new connections; a reserve that nobody else
// may take; a weight. What a group holds beyond its reserve can be asked back while it is idle, for a group
// that has less by weight.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/networks.hpp"

namespace sablespur::admission {

using Time = std::chrono::microseconds;  // an instant on the caller's clock, or an interval
using ConnectionId = std::uint64_t;      // never 0

struct GroupLimits {
  std::string name;
  std::size_t maxConnections = 0;   // connections; 0: no cap of its own
  std::size_t maxPerAddress = 0;    // the same
  std::size_t maxPerPrefix = 0;     // by a network of prefix4 or prefix6 bits
  double connectionsPerSecond = 0;  // new connections; 0: no bound
  double burst = 1;                 // that may come at once
  std::size_t reserve = 0;          // connections that are kept free for it
  double weight = 1;
};

struct ConnectionAdmissionSettings {
  std::size_t maxConnections = 1;   // connections of all groups together
  std::vector<GroupLimits> groups;  // the last one is everyone else
  int prefix4 = 24, prefix6 = 64;
  Time minRetryAfter = std::chrono::milliseconds(100), maxRetryAfter = std::chrono::seconds(10);
  Time minIdleTime = std::chrono::milliseconds(500);  // a connection that was used later is not asked back
};

enum class RejectionReason { None, Full, GroupFull, AddressFull, PrefixFull, Rate };
const char* rejectionReasonName(RejectionReason);

struct ConnectionDecision {
  bool admitted = false;
  ConnectionId evict = 0;                             // an idle one that has to go first; 0: none
  RejectionReason rejection = RejectionReason::None;  // not admitted
  Time retryAfter{};  // not admitted: after so long. Spread, so that those refused do not return together
};

class ConnectionAdmission {
 public:
  ConnectionAdmission(ConnectionAdmissionSettings, std::shared_ptr<const Networks>);

  // Ids of those refused are not kept. `group`: who it is known to be, whatever its network.
  ConnectionDecision admit(Time now, ConnectionId, const IpAddress&,
                           std::optional<std::size_t> group = std::nullopt);
  void remove(ConnectionId);
  void markBusy(ConnectionId);            // it has asked
  void markIdle(Time now, ConnectionId);  // it is answered
  // A client that has said who it is may belong to another group; nothing is taken from it for that.
  void assignGroup(ConnectionId, std::size_t group);

  // New settings while it runs. Groups keep what they hold by their names; who moves, moves. Nobody is closed
  // for a cap that has become lower: see surplus.
  void reload(ConnectionAdmissionSettings, std::shared_ptr<const Networks>);
  // Idle connections beyond the caps, longest idle first, `most` at once.
  std::vector<ConnectionId> evictSurplus(Time now, std::size_t most);
  // Up to so many idle ones that are asked back although no cap says so: descriptors ran out. Of the widest
  // groups by weight, beyond their reserves, longest idle first.
  std::vector<ConnectionId> evictForExhaustion(Time now, std::size_t most);

  struct Counters {
    std::size_t connections = 0, idle = 0, reserveRemaining = 0;
    std::uint64_t admitted = 0, evicted = 0;  // asked: of its own that were asked back for others
    std::map<RejectionReason, std::uint64_t> rejected;
    bool refusing = false;  // since the last one that was admitted
  };
  const Counters& count(std::size_t group) const { return groups_[group].count; }
  std::size_t connectionCount() const { return connections_.size(); }
  std::size_t groupCount() const { return groups_.size(); }
  // Connections of all groups together: as the settings say, or fewer, where there is not so much.
  std::size_t maxConnections() const { return std::min(settings_.maxConnections, ceiling_); }
  void setConnectionLimit(std::size_t most) { ceiling_ = most; }
  const GroupLimits& limits(std::size_t group) const { return groups_[group].limits; }
  std::size_t groupOf(ConnectionId) const;  // groups(): it is not known
  std::size_t groupOf(const IpAddress& a) const { return networks_->find(a, groups_.size() - 1); }

 private:
  struct Group {
    GroupLimits limits;
    Counters count;
    double tokens = 0;
    Time filled{};
    Time nextSlot{};               // when the next one refused is asked to come back
    std::list<ConnectionId> idle;  // longest idle first
    std::unordered_map<IpAddress, std::size_t> byAddress, byPrefix;
  };
  struct Connection {
    std::size_t group = 0;
    IpAddress address;
    bool idle = false, named = false;  // named: its group was told by belongs
    Time since{};
    std::list<ConnectionId>::iterator place;
  };
  void enter(ConnectionId, Connection&);
  void leave(Connection&);
  void count(Group&);
  Group* widest(Time now);  // by weight, of those with an idle one to give beyond their reserve
  void askBack(Group&, std::vector<ConnectionId>&);
  ConnectionDecision refuse(Group&, Time now, RejectionReason);
  bool rate(Group&, Time now);
  std::size_t keptForOthers(std::size_t group) const;
  ConnectionId victim(Time now, std::size_t group) const;
  std::size_t& slot(std::unordered_map<IpAddress, std::size_t>&, const IpAddress&);
  IpAddress prefix(const IpAddress& a) const { return prefixOf(a, settings_.prefix4, settings_.prefix6); }

  ConnectionAdmissionSettings settings_;
  std::size_t ceiling_ = ~std::size_t{0};
  std::shared_ptr<const Networks> networks_;
  std::vector<Group> groups_;
  std::unordered_map<ConnectionId, Connection> connections_;
};

}  // namespace sablespur::admission
