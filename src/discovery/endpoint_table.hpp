// Which data servers there are, and since when. Every discovery source feeds this table: the HTTP registry
// sends a whole list or changes, with generations; DNS-SD gives all that it finds, each time. The engine is
// fed from it. Pure: no I/O, no clock.
//
// - A withdrawal is published in the same call that brings it. Only a return may be delayed.
// - Flap damping after RFC 2439: each withdrawal of a name adds a penalty of 1, which halves every
// `halfLife`.
//   A name that returns while its penalty is at `suppressThreshold` or above is left out until the penalty
//   has fallen to `reuseThreshold`, and for `maxSuppression` at most.
// - An endpoint that appears after the first whole list, and whose source gives no start, has started when it
//   appeared; the balancer then warms it up. Those of the first list started long ago.
// - An address that appears under a new name while its old name is withdrawn by the same list is the same
//   server, and keeps its start.
// - Of two names at one address the one that was there first is published, the other left out until that one
// is
//   withdrawn.
// - A list with a lower generation than the known one takes nothing back: what has left or begun to drain
// stays
//   so until it starts anew or a newer list has it. Whom such a whole list lacks is gone if it started long
//   ago; one that may have come since stays until a second whole list lacks it, which generation() asks for.
//   One that the known list lacks has left since, unless it started after that list came.
// - A registry that has lost its generations and counts from 1 again is told apart from an old answer by what
// an
//   earlier list of the same history cannot hold: a later start, or the lack of one that started long ago.
//   Its lists then count as new, also where nothing ready would be left otherwise.
// - Failures withdraw nothing until the list is older than `maxListAge`.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "discovery/endpoint_list.hpp"

namespace sablespur {

struct EndpointTablePolicy {
  using Time = std::chrono::microseconds;
  bool flapDamping = true;
  double suppressThreshold = 1.5;
  double reuseThreshold = 0.75;
  Time halfLife = std::chrono::seconds(15);
  Time maxSuppression = std::chrono::seconds(60);
  Time maxListAge{};  // 0: the last list is used for ever
};

class EndpointTable {
 public:
  using Time = std::chrono::microseconds;
  explicit EndpointTable(const EndpointTablePolicy& policy = {}) : policy_(policy) {}

  // All endpoints that a source without generations has. `first`: what is new in it has not just started, as
  // after a change of domain; the very first list is always taken so.
  void applySnapshot(Time now, std::vector<DiscoveredEndpoint> all, bool first = false);
  // The list of the settings, which the engine has already.
  void adoptKnown(Time now, const EndpointList&);
  // A list of a source with generations. Such a source counts returns and starts itself: no damping, no
  // inferred starts.
  void applyUpdate(Time now, EndpointList);
  void recordFailure(Time now, std::string why);

  // What the engine has to be given now, one list a call until there is none. To be called after each of the
  // above and when nextDeadline() is due.
  std::optional<EndpointList> nextUpdate(Time now);
  // When something has to be published though no source reports anything.
  std::optional<Time> nextDeadline() const;

  // The generation after which changes are to be asked for; 0: a whole list is wanted.
  std::uint64_t generation() const { return wantsWholeList_ ? 0 : generation_; }
  // Of the last list.
  std::uint64_t lastGeneration() const { return generation_; }
  void setPolicy(const EndpointTablePolicy& policy) { policy_ = policy; }

  // For `sablespur members`.
  struct Row {
    DiscoveredEndpoint endpoint;
    std::string exclusionReason;  // why it is not published; empty: it is
    double penalty = 0;
    unsigned withdrawals = 0;
  };
  struct View {
    std::vector<Row> rows;             // by name
    std::optional<Time> lastUpdate;    // when a source last reported anything
    std::optional<Time> failingSince;  // nothing but failures since then
    std::string lastError;             // empty unless failing
  };
  View view(Time now) const;

 private:
  // A start that lay in the future when it came, and the time that was published in its place.
  struct ClampedStart {
    std::int64_t reportedMs = 0;
    std::int64_t publishedMs = 0;
  };
  struct FlapHistory {
    double penalty = 0;  // as of penaltyUpdatedAt
    Time penaltyUpdatedAt{};
    unsigned withdrawals = 0;
    std::optional<Time> suppressedUntil;
  };
  struct Entry {
    DiscoveredEndpoint endpoint;  // as the source has it
    bool present = false;         // in the source's list
    Time presenceChangedAt{};
    std::int64_t inferredStartMs = 0;  // used where the source gives none
    std::optional<ClampedStart> clampedStart;
    FlapHistory flaps;
    bool published = false;            // the engine has it
    DiscoveredEndpoint lastPublished;  // as the engine has or last had it
    unsigned incarnation = 1;          // above 1: part of the published name
    const char* exclusionReason = nullptr;
    std::uint64_t generation = 0;  // of the list that told the state, from a registry
    bool missedByOlderList = false;
  };
  // One that has left, as a registry told it.
  struct Tombstone {
    std::uint64_t generation = 0;
    std::int64_t startedMs = 0;
    Time leftAt{};
  };
  using NamedEntry = std::pair<const std::string*, Entry*>;

  void recordList(Time now);
  double currentPenalty(const Entry&, Time now) const;
  void recordAppearance(Entry&, Time now, bool first);
  void recordWithdrawal(Entry&, Time now);
  void removeExpired(Time now);
  bool isExpired(const Entry&, Time now) const;
  bool startsAnotherHistory(const EndpointList&) const;
  bool contradictsNewerList(const DiscoveredEndpoint&, std::uint64_t generation) const;
  bool hasLeftSince(const DiscoveredEndpoint& unknown, std::uint64_t generation) const;
  void dropContradictions(EndpointList&) const;
  void keepDraining(EndpointList&) const;
  void removeUnlisted(Time now, EndpointList&);
  void recordLeft(Time now, const std::string& name, const Entry&, std::uint64_t generation);
  void removeOldTombstones(Time now);
  std::optional<Time> listExpiry() const;
  std::vector<NamedEntry> entriesBySeniority();
  void exclude(const std::vector<NamedEntry>&, Time now) const;
  static void publish(const std::string& name, Entry&, Time now, std::vector<DiscoveredEndpoint>& changes);
  static std::int64_t startNoLaterThan(Entry&, Time now);

  EndpointTablePolicy policy_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Tombstone> tombstones_;  // by name
  std::uint64_t generation_ = 0;
  std::uint64_t newestGeneration_ = 0;  // of the registry's history so far
  Time newestListAt_{};                 // when that came
  bool wantsWholeList_ = false;
  bool hasList_ = false;                      // a first whole list has come
  bool fromRegistry_ = false;                 // the last list came with a generation
  std::deque<EndpointList> registryUpdates_;  // passed on as they came
  bool changed_ = false;                      // a snapshot has come since the last nextUpdate
  bool publishWholeList_ = false;             // the next update is a whole list
  bool expired_ = false;                      // the list is older than maxListAge
  std::optional<Time> lastUpdate_;
  std::optional<Time> failingSince_;
  std::string lastError_;
};

}  // namespace sablespur
