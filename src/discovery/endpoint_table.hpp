// The table of known data servers with their state and start times, fed by every discovery source:
// the HTTP registry sends whole lists or changes, with generations; DNS-SD provides a whole
// snapshot each time. The table yields the updates for the engine. Pure: no I/O, no clock.
//
// Withdrawals are published by the call that reports them; only the return of an endpoint can be
// delayed.
//
// Rules for snapshots, which have no generations (applySnapshot()):
// - Flap damping after RFC 2439: each withdrawal of a name adds 1 to its penalty, which halves
//   every `halfLife`. A name that returns with a penalty of at least `suppressThreshold` is
//   excluded until the penalty has decayed to `reuseThreshold`, but for no longer than
//   `maxSuppression`.
// - Inferred start: an endpoint that first appears after the first snapshot, without a start time
//   from its source, counts as started when it appeared, so the balancer warms it up. Endpoints of
//   the first snapshot count as started long ago.
// - Renamed server: if one snapshot withdraws a name and adds another name at the same address,
//   both are the same server, and the start time is retained.
// - Duplicate address: of two names at one address, the one that was there first is published. The
//   other is excluded until the first is withdrawn.
// - List expiry: failures of the source withdraw nothing until the list is older than `maxListAge`.
//   Then all endpoints are withdrawn until the next snapshot.
//
// Rules for registry lists, which have generations (applyUpdate()). An older list is one whose
// generation is below that of the knowledge it is compared with:
// - Older state: an older list does not bring back an endpoint that has left (see Tombstone), nor
//   make a draining one ready, unless the endpoint has a later start time. A newer list can do
//   both.
// - Endpoint absent from an older whole list: removed if it started long ago. Otherwise it may have
//   started after that list was made, so it stays until a second whole list lacks it as well;
//   generation() requests that list.
// - Unknown endpoint in an older list: ignored, as it has left by the time of the newest list,
//   unless it started after the newest list was received.
// - Generation restart: a registry that has lost its generations counts from 1 again. Its lists are
//   told apart from old ones by content that no earlier list can have: a later start time, or the
//   absence of an endpoint that started long ago. Such lists count as new, as does a whole list
//   that would otherwise leave no endpoint ready.
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
  Time maxListAge{};  // 0: the list never expires
};

class EndpointTable {
 public:
  using Time = std::chrono::microseconds;
  explicit EndpointTable(const EndpointTablePolicy& policy = {}) : policy_(policy) {}

  // Applies all endpoints of a source without generations. `first`: endpoints that are new in it
  // have not just started, for example after a change of domain; always assumed of the very first
  // list.
  void applySnapshot(Time now, std::vector<DiscoveredEndpoint> all, bool first = false);
  // Initializes the table with the known list of the settings. Publishes nothing: the engine
  // already has that list.
  void adoptKnown(Time now, const EndpointList&);
  // Applies a list of a source with generations. Such a source tracks returns and start times
  // itself, so neither flap damping nor inferred starts apply.
  void applyUpdate(Time now, EndpointList);
  void recordFailure(Time now, std::string why);

  // Returns the next update for the engine; `std::nullopt` when there is none. To be called until
  // then, after each of the functions above and when nextDeadline() is due.
  std::optional<EndpointList> nextUpdate(Time now);
  // Returns when an update becomes due without a report from a source; `std::nullopt` when none
  // does.
  std::optional<Time> nextDeadline() const;

  // Returns the generation after which changes are to be requested; 0 requests a whole list.
  std::uint64_t generation() const { return wantsWholeList_ ? 0 : generation_; }
  // Returns the generation of the last list.
  std::uint64_t lastGeneration() const { return generation_; }
  // Returns the endpoints that are listed now, as one whole list of the newest generation;
  // `std::nullopt` unless a registry has sent a list.
  std::optional<EndpointList> registryList() const;
  void setPolicy(const EndpointTablePolicy& policy) { policy_ = policy; }

  // The state shown by `sablespur members`.
  struct Row {
    DiscoveredEndpoint endpoint;
    std::string exclusionReason;  // why it is not published; empty if it is
    double penalty = 0;
    unsigned withdrawals = 0;
  };
  struct View {
    std::vector<Row> rows;             // sorted by name
    std::optional<Time> lastUpdate;    // when a source last delivered a list
    std::optional<Time> failingSince;  // first failure since then
    std::string lastError;             // empty unless failing
  };
  View view(Time now) const;

 private:
  // A start time that was in the future when it was received, and the time published in its place.
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
    DiscoveredEndpoint endpoint;  // as reported by the source
    bool present = false;         // whether the source lists it
    Time presenceChangedAt{};
    std::int64_t inferredStartMs = 0;  // used if the source gives no start time
    std::optional<ClampedStart> clampedStart;
    FlapHistory flaps;
    bool published = false;            // whether the engine has it
    DiscoveredEndpoint lastPublished;  // as last published to the engine
    unsigned incarnation = 1;          // part of the published name if above 1
    const char* exclusionReason = nullptr;
    std::uint64_t generation = 0;      // of the registry's list that the state comes from
    bool absentFromOlderList = false;  // an older whole list lacked it; the next one removes it
  };
  // Remembers an endpoint that has left a registry's list, so that older lists cannot bring it
  // back.
  struct Tombstone {
    std::uint64_t generation = 0;  // of the newest knowledge of the endpoint
    std::int64_t startedMs = 0;    // of the process that has left
    Time leftAt{};
  };
  using NamedEntry = std::pair<const std::string*, Entry*>;

  void recordList(Time now);
  double currentPenalty(const Entry&, Time now) const;
  // Rules "Inferred start" and "Flap damping".
  void recordAppearance(Entry&, Time now, bool first);
  void recordWithdrawal(Entry&, Time now);
  void removeExpired(Time now);
  bool isExpired(const Entry&, Time now) const;
  // Rule "Generation restart".
  bool isAfterGenerationRestart(const EndpointList&) const;
  // Rule "Older state".
  bool contradictsNewerList(const DiscoveredEndpoint&, std::uint64_t generation) const;
  // Rule "Unknown endpoint in an older list".
  bool hasLeftBeforeNewestList(const DiscoveredEndpoint& unknown, std::uint64_t generation) const;
  void dropContradictions(EndpointList&) const;
  // Rule "Older state".
  void keepDraining(EndpointList&) const;
  // Rule "Endpoint absent from an older whole list".
  void removeUnlisted(Time now, EndpointList&);
  void addTombstone(Time now, const std::string& name, const Entry&, std::uint64_t generation);
  void removeOldTombstones(Time now);
  std::optional<Time> listExpiry() const;
  // Rule "Duplicate address": the first of the returned entries at an address is published.
  std::vector<NamedEntry> entriesBySeniority();
  void updateExclusions(const std::vector<NamedEntry>&, Time now) const;
  static void publish(const std::string& name, Entry&, Time now, std::vector<DiscoveredEndpoint>& changes);
  static std::int64_t clampStart(Entry&, Time now);

  EndpointTablePolicy policy_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Tombstone> tombstones_;  // by name
  std::uint64_t generation_ = 0;                 // of the last list
  std::uint64_t newestGeneration_ = 0;           // highest since the last generation restart
  Time newestListAt_{};                          // when the list of newestGeneration_ was received
  bool wantsWholeList_ = false;                  // generation() requests a whole list
  bool hasList_ = false;                         // a first list was received
  bool fromRegistry_ = false;                    // the last list came with a generation
  std::deque<EndpointList> registryUpdates_;     // for nextUpdate(), in the order received
  bool changed_ = false;                         // a snapshot was applied since nextUpdate()
  bool publishWholeList_ = false;                // the next update is a whole list
  bool listExpired_ = false;                     // the list is older than maxListAge
  std::optional<Time> lastUpdate_;
  std::optional<Time> failingSince_;
  std::string lastError_;
};

}  // namespace sablespur
