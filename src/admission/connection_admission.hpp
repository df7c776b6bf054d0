// Connection admission: decides which new connections are admitted, when rejected clients should
// retry, and which idle connection is evicted for a new one. Performs no I/O and reads no clock.
//
// Each client belongs to a group, which has
// - limits on its connections: in total, per address and per network,
// - a rate limit on new connections,
// - a reserve: connections that no other group can use,
// - a weight: when all connections are in use, an idle connection that a group holds beyond its
//   reserve may be evicted for a group whose weighted share is smaller.
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

using ConnectionId = std::uint64_t;  // chosen by the caller, unique among the admitted connections

// A limit of 0 means unlimited.
struct GroupLimits {
  std::string name;
  std::size_t maxConnections = 0;
  std::size_t maxPerAddress = 0;
  std::size_t maxPerPrefix = 0;     // per network of prefix4 or prefix6 bits
  double connectionsPerSecond = 0;  // new connections, limited by a token bucket
  double burst = 1;                 // size of the token bucket
  std::size_t reserve = 0;          // connections that only this group can use
  double weight = 1;
};

struct ConnectionAdmissionSettings {
  std::size_t maxConnections = 1;   // all groups together
  std::vector<GroupLimits> groups;  // the last one is for addresses outside all networks
  int prefix4 = 24;                 // prefix length of the networks that maxPerPrefix applies to
  int prefix6 = 64;
  Time minRetryAfter = std::chrono::milliseconds(100);
  Time maxRetryAfter = std::chrono::seconds(10);
  Time minIdleTime = std::chrono::milliseconds(500);  // idle time before eviction is allowed
};

enum class RejectionReason { None, Full, GroupFull, AddressFull, PrefixFull, Rate };
// Returns the name in snake case, as written in the status report and the log.
const char* rejectionReasonName(RejectionReason);

struct ConnectionDecision {
  bool admitted = false;
  std::optional<ConnectionId> evict;  // if admitted: an idle connection to close first
  RejectionReason rejection = RejectionReason::None;
  Time retryAfter{};  // if rejected; staggered, to spread the retries of clients rejected together
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

  // Throws std::invalid_argument if there is no group or maxConnections is 0.
  ConnectionAdmission(ConnectionAdmissionSettings, std::shared_ptr<const Networks>);

  // Decides on a new connection. The evicted connection, if any, is removed at once; a rejected one
  // is not stored. `group` overrides the group that the address maps to.
  ConnectionDecision admit(Time now, ConnectionId, const IpAddress&,
                           std::optional<std::size_t> group = std::nullopt);
  // The following four functions ignore unknown ids.
  void remove(ConnectionId);
  void markBusy(ConnectionId);            // a request has arrived on the connection
  void markIdle(Time now, ConnectionId);  // no request of the connection is open
  // Moves an authenticated client to the group of its user, without checking the limits of that
  // group.
  void assignGroup(ConnectionId, std::size_t group);

  // Applies new settings. Groups keep their counters by name, and clients with an assigned group
  // stay in it if it still exists. No connection is closed when a limit is lowered: see
  // evictSurplus.
  void reload(ConnectionAdmissionSettings, std::shared_ptr<const Networks>);
  // Removes and returns up to `count` idle connections beyond the limits, longest idle first.
  std::vector<ConnectionId> evictSurplus(Time now, std::size_t count);
  // Removes and returns up to `count` idle connections after file descriptors have run out, even if
  // no limit is exceeded: from the groups with the largest weighted share, down to their reserves.
  std::vector<ConnectionId> evictForExhaustion(Time now, std::size_t count);

  const Counters& counters(std::size_t group) const { return groups_[group].counters; }
  std::size_t connectionCount() const { return connections_.size(); }
  std::size_t groupCount() const { return groups_.size(); }
  // Returns the limit for all groups together: the configured one or the connection limit,
  // whichever is lower.
  std::size_t maxConnections() const { return std::min(settings_.maxConnections, connectionLimit_); }
  void setConnectionLimit(std::size_t limit) { connectionLimit_ = limit; }
  const GroupLimits& limits(std::size_t group) const { return groups_[group].limits; }
  std::size_t groupOf(ConnectionId) const;  // groupCount() if the connection is unknown
  std::size_t groupOf(const IpAddress& address) const { return networks_->find(address, groups_.size() - 1); }

 private:
  using AddressCounts = std::unordered_map<IpAddress, std::size_t>;

  struct Group {
    GroupLimits limits;
    Counters counters;
    double tokens = 0;
    Time tokensAt{};
    Time nextRetryAt{};            // when the next rejected client is told to retry
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
    bool groupAssigned = false;  // the group was assigned, not derived from the address
    std::optional<IdleState> idle;
  };

  std::vector<Group> makeGroups(const ConnectionAdmissionSettings&) const;
  std::unordered_map<ConnectionId, std::size_t> remapAssignments(const std::vector<Group>&) const;
  void regroup(const std::unordered_map<ConnectionId, std::size_t>& assigned);
  void addToGroup(const Connection&);
  void removeFromGroup(const Connection&);
  static void refreshGauges(Group&);
  IpAddress networkOf(const IpAddress& address) const {
    return prefixOf(address, settings_.prefix4, settings_.prefix6);
  }

  RejectionReason checkAddressLimits(const Group&, const IpAddress&) const;
  RejectionReason checkCapacity(Time now, std::size_t group, std::optional<ConnectionId>& evict) const;
  bool takeToken(Group&, Time now);
  ConnectionDecision reject(Group&, Time now, RejectionReason) const;
  std::size_t reservedForOthers(std::size_t group) const;
  bool hasEvictable(const Group&, Time now) const;
  std::optional<ConnectionId> evictionCandidate(Time now, std::size_t groupIndex) const;
  // Null if no group beyond its reserve has an evictable connection.
  Group* groupWithLargestShare(Time now);
  ConnectionId evictLongestIdle(Group&);

  ConnectionAdmissionSettings settings_;
  std::size_t connectionLimit_ = std::numeric_limits<std::size_t>::max();
  std::shared_ptr<const Networks> networks_;
  std::vector<Group> groups_;
  std::unordered_map<ConnectionId, Connection> connections_;
};

}  // namespace sablespur::admission
