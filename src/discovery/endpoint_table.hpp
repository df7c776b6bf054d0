// What is a member since when. Every source of the list goes through here: the HTTP registry tells a whole
// list or changes, with generations; DNS-SD tells all that it finds, each time. What comes out is what the
// engine is told. Pure: no I/O, no clock.
//
// - Told: a withdrawal goes on in the same call that brings it, never later. What holds back is only a
// return.
// - Flap damping after RFC 2439: each withdrawal of a name adds a penalty of 1, which halves every
// `halfLife`. A
//   name that comes back while its penalty is at `suppressAt` or above is left out until it has fallen to
//   `reuseAt`, and no longer than `mostHeld`.
// - A return: an instance that appears after the first whole list, and whose source tells no start, has
// started
//   when it appeared; the balancer then takes it for cold. Those of the first list started long ago.
// - The same address under a new name, old name gone in the same list: it is the same server, and keeps its
// start.
// - Two names at one address: the one that was there first stays, the other is left out until that one goes.
// - Failures withdraw nothing until the list is older than `keepFor`.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list.hpp"

namespace sablespur {

struct EndpointTablePolicy {
  using Time = std::chrono::microseconds;
  double suppressThreshold = 1.5, reuseThreshold = 0.75;
  Time halfLife = std::chrono::seconds(15), maxSuppression = std::chrono::seconds(60);
  Time maxListAge{};  // 0: the last list stands for ever
  bool flapDamping = true;
};

class EndpointTable {
 public:
  using Time = std::chrono::microseconds;
  explicit EndpointTable(const EndpointTablePolicy& policy = {}) : policy_(policy) {}

  // A source that tells everything each time. `first`: what was not there before has not just come, as after
  // a change of domain; the very first list is always so.
  void applySnapshot(Time now, std::vector<DiscoveredEndpoint> all, bool first = false);
  // A source with generations. It counts returns and starts itself: no damping, no starts given here.
  void applyUpdate(Time now, EndpointList);
  void recordFailure(Time now, std::string why);

  // What the engine has to be told now, one list a call until there is none. To be called after each of the
  // above and when next() is due.
  std::optional<EndpointList> nextUpdate(Time now);
  std::optional<Time> nextDeadline() const;  // when something changes though nothing comes

  std::uint64_t generation() const { return generation_; }
  void setPolicy(const EndpointTablePolicy& p) { policy_ = p; }

  // For staff.
  struct Row {
    DiscoveredEndpoint endpoint;
    std::string exclusionReason;  // why the engine is not told of it; empty: it is
    double penalty = 0;
    unsigned withdrawals = 0;
  };
  struct View {
    std::vector<Row> rows;             // by name
    std::optional<Time> lastUpdate;    // when a source last told anything
    std::optional<Time> failingSince;  // no word since then
    std::string lastError;             // of the last failure
  };
  View view(Time now) const;

 private:
  struct Entry {
    DiscoveredEndpoint endpoint;  // as the source has it
    bool present = false;
    bool published = false;
    DiscoveredEndpoint lastPublished;  // as the engine has it
    Time presenceChangedAt{};          // of the present presence, or of the absence
    std::int64_t inferredStartMs = 0;  // where the source tells none
    std::int64_t futureStartMs = 0,
                 clampedStartMs = 0;  // a start that lay ahead when it came, and what was told
    double penalty = 0;
    Time penaltyUpdatedAt{};
    unsigned withdrawals = 0, incarnation = 1;
    bool suppressed = false;
    Time suppressedUntil{};
    const char* exclusionReason = nullptr;
  };
  double currentPenalty(const Entry&, Time now) const;
  void recordAppearance(Entry&, Time now, bool first);
  void recordWithdrawal(Entry&, Time now);
  void removeExpired(Time now);
  static std::int64_t clampedStart(Entry&, Time now);

  EndpointTablePolicy policy_;
  std::map<std::string, Entry> entries_;
  std::uint64_t generation_ = 0;
  bool hasList_ = false;           // a first whole list has come
  bool publishWholeList_ = false;  // the next one told is whole
  bool fromRegistry_ = false;
  std::deque<EndpointList> registryUpdates_;  // of the registry, waiting for take
  bool changed_ = false;
  std::optional<Time> lastUpdate_, failingSince_;
  std::string lastError_;
  bool expired_ = false;
};

}  // namespace sablespur
