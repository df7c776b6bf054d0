// Connection admission: which new connections are admitted, when the rejected ones should retry, and which
// idle connection is evicted to make room. Pure: no I/O and no clock.
//
// Groups have limits in all, per address and per network; a rate of new connections; a reserve that no other
// group may take; and a weight. What a group holds beyond its reserve may be evicted while it is idle, for a
// group that holds less by weight.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/networks.hpp"
#include "admission/time.hpp"

namespace sablespur::admission {

using ConnectionId = std::uint64_t;  // given by the caller, unique among the connections that are admitted

// A limit of 0 is none.
struct GroupLimits {
  std::string name;
  std::size_t maxConnections = 0;
  std::size_t maxPerAddress = 0;
  std::size_t maxPerPrefix = 0;     // per network of prefix4 or prefix6 bits
  double connectionsPerSecond = 0;  // new ones, a token bucket
  double burst = 1;                 // its size
  std::size_t reserve = 0;          // connections kept free for the group
  double weight = 1;
};

struct ConnectionAdmissionSettings {
  std::size_t maxConnections = 1;   // of all groups together
  std::vector<GroupLimits> groups;  // the last one is for addresses in no network
  int prefix4 = 24;                 // bits of the network that an address counts against
  int prefix6 = 64;
  Time minRetryAfter = std::chrono::milliseconds(100);
  Time maxRetryAfter = std::chrono::seconds(10);
  Time minIdleTime = std::chrono::milliseconds(500);  // before a connection may be evicted
};

enum class RejectionReason { None, Full, GroupFull, AddressFull, PrefixFull, Rate };
// In snake case, as in the status report and the log.
const char* rejectionReasonName(RejectionReason);

struct ConnectionDecision {
  bool admitted = false;
  std::optional<ConnectionId> evict;  // admitted: an idle connection that has to be closed first
  RejectionReason rejection = RejectionReason::None;
  Time retryAfter{};  // rejected: spread, so that clients rejected together do not return together
};

class ConnectionAdmission {
 public:
  struct Counters {
    std::size_t connections = 0;
    std::size_t idle = 0;
    std::size_t reserveRemaining = 0;
    std::uint64_t admitted = 0;
    std::uint64_t evicted = 0;
    std::map<RejectionReason, std::uint64_t> rejected;
  };

  // Throws std::invalid_argument without a group or without room.
  ConnectionAdmission(ConnectionAdmissionSettings, std::shared_ptr<const Networks>);

  // Decides on a new connection. An evicted one is forgotten at once; a rejected one is not remembered.
  // `group`: of the client where it is known otherwise than by its network.
  ConnectionDecision admit(Time now, ConnectionId, const IpAddress&,
                           std::optional<std::size_t> group = std::nullopt);
  // Unknown ids are ignored from here on.
  void remove(ConnectionId);
  void markBusy(ConnectionId);            // it has sent a request
  void markIdle(Time now, ConnectionId);  // it has its answer
  // Moves a client that has authenticated to its own group, whose limits are not checked for that.
  void assignGroup(ConnectionId, std::size_t group);

  // New settings. Groups keep what they hold by their names, and assigned clients stay in theirs if it is
  // still there. No connection is closed for a lower limit: see evictSurplus.
  void reload(ConnectionAdmissionSettings, std::shared_ptr<const Networks>);
  // Idle connections beyond the limits, longest idle first, at most `count`. They are forgotten at once.
  std::vector<ConnectionId> evictSurplus(Time now, std::size_t count);
  // The same within the limits, when descriptors have run out: from the groups that hold most by weight,
  // beyond their reserves.
  std::vector<ConnectionId> evictForExhaustion(Time now, std::size_t count);

  const Counters& counters(std::size_t group) const { return groups_[group].counters; }
  std::size_t connectionCount() const { return connections_.size(); }
  std::size_t groupCount() const { return groups_.size(); }
  // Of all groups together: as the settings say, or the connection limit where that is lower.
  std::size_t maxConnections() const { return std::min(settings_.maxConnections, connectionLimit_); }
  void setConnectionLimit(std::size_t limit) { connectionLimit_ = limit; }
  const GroupLimits& limits(std::size_t group) const { return groups_[group].limits; }
  std::size_t groupOf(ConnectionId) const;  // groupCount() for an unknown connection
  std::size_t groupOf(const IpAddress& address) const { return networks_->find(address, groups_.size() - 1); }

 private:
  using AddressCounts = std::unordered_map<IpAddress, std::size_t>;

  struct Group {
    GroupLimits limits;
    Counters counters;
    double tokens = 0;
    Time tokensAt{};
    Time nextRetryAt{};            // the slot of the next rejected client
    std::list<ConnectionId> idle;  // longest idle first
    AddressCounts byAddress;
    AddressCounts byPrefix;
  };
  struct IdleState {
    Time since;
    std::list<ConnectionId>::iterator position;  // in Group::idle
  };
  struct Connection {
    std::size_t group = 0;
    IpAddress address;
    bool groupAssigned = false;  // not by its address
    std::optional<IdleState> idle;
  };

  std::vector<Group> makeGroups(const ConnectionAdmissionSettings&) const;
  std::unordered_map<ConnectionId, std::size_t> keptAssignments(const std::vector<Group>&) const;
  void regroup(const std::unordered_map<ConnectionId, std::size_t>& assigned);
  void addToGroup(const Connection&);
  void removeFromGroup(const Connection&);
  static void refreshGauges(Group&);
  IpAddress networkOf(const IpAddress& address) const {
    return prefixOf(address, settings_.prefix4, settings_.prefix6);
  }

  RejectionReason checkAddressLimits(const Group&, const IpAddress&) const;
  RejectionReason findRoom(Time now, std::size_t group, std::optional<ConnectionId>& evict) const;
  bool takeToken(Group&, Time now);
  ConnectionDecision reject(Group&, Time now, RejectionReason) const;
  std::size_t reservedForOthers(std::size_t group) const;
  bool hasEvictable(const Group&, Time now) const;
  std::optional<ConnectionId> evictionCandidate(Time now, std::size_t newcomerGroup) const;
  Group* largestShare(Time now);  // of the groups with a connection to evict beyond their reserve
  ConnectionId evictLongestIdle(Group&);

  ConnectionAdmissionSettings settings_;
  std::size_t connectionLimit_ = std::numeric_limits<std::size_t>::max();
  std::shared_ptr<const Networks> networks_;
  std::vector<Group> groups_;
  std::unordered_map<ConnectionId, Connection> connections_;
};

}  // namespace sablespur::admission
