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
  double suppressAt = 1.5, reuseAt = 0.75;
  Time halfLife = std::chrono::seconds(15), mostHeld = std::chrono::seconds(60);
  Time keepFor{};  // 0: the last list stands for ever
  bool dampens = true;
};

class EndpointTable {
 public:
  using Time = std::chrono::microseconds;
  explicit EndpointTable(const EndpointTablePolicy& policy = {}) : policy_(policy) {}

  // A source that tells everything each time. `first`: what was not there before has not just come, as after
  // a change of domain; the very first list is always so.
  void found(Time now, std::vector<DiscoveredEndpoint> all, bool first = false);
  // A source with generations. It counts returns and starts itself: no damping, no starts given here.
  void changed(Time now, EndpointList);
  void failed(Time now, std::string why);

  // What the engine has to be told now, one list a call until there is none. To be called after each of the
  // above and when next() is due.
  std::optional<EndpointList> take(Time now);
  std::optional<Time> next() const;  // when something changes though nothing comes

  std::uint64_t generation() const { return generation_; }
  void policy(const EndpointTablePolicy& p) { policy_ = p; }

  // For staff.
  struct Row {
    DiscoveredEndpoint instance;
    std::string leftOut;  // why the engine is not told of it; empty: it is
    double penalty = 0;
    unsigned withdrawals = 0;
  };
  struct View {
    std::vector<Row> rows;             // by name
    std::optional<Time> toldAt;        // when a source last told anything
    std::optional<Time> failingSince;  // no word since then
    std::string why;                   // of the last failure
  };
  View view(Time now) const;

 private:
  struct Entry {
    DiscoveredEndpoint instance;  // as the source has it
    bool present = false;
    bool toldEngine = false;
    DiscoveredEndpoint told;                         // as the engine has it
    Time since{};                                    // of the present presence, or of the absence
    std::int64_t startedMs = 0;                      // where the source tells none
    std::int64_t aheadStampMs = 0, aheadToldMs = 0;  // a start that lay ahead when it came, and what was told
    double penalty = 0;
    Time penaltyAt{};
    unsigned withdrawals = 0, incarnation = 1;
    bool held = false;
    Time heldUntil{};
    const char* leftOut = nullptr;
  };
  double penalty(const Entry&, Time now) const;
  void appear(Entry&, Time now, bool first);
  void withdraw(Entry&, Time now);
  void forget(Time now);
  static std::int64_t startedNoLaterThan(Entry&, Time now);

  EndpointTablePolicy policy_;
  std::map<std::string, Entry> entries_;
  std::uint64_t generation_ = 0;
  bool listed_ = false;  // a first whole list has come
  bool whole_ = false;   // the next one told is whole
  bool registry_ = false;
  std::deque<EndpointList> raw_;  // of the registry, waiting for take
  bool dirty_ = false;
  std::optional<Time> toldAt_, failingSince_;
  std::string why_;
  bool expired_ = false;
};

}  // namespace sablespur
