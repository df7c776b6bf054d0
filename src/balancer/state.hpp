// What a Balancer remembers: plain records, without any decision. The module that reads and writes them, and
// gives the values their meaning, is balance.cpp.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "balancer/balancer.hpp"

namespace sablespur::balancer {

constexpr Time never{-1};

// Events of some kind, each worth less as it ages (by e^-age/span): at a steady rate it holds rate x span.
struct Decayed {
  double n = 0;
  Time at{};
};

struct Sample {
  double latency;  // microseconds; infinite: never answered
  int cls;
  int load;  // own requests outstanding there when it was sent
  Time at;
};
struct Sent {
  RequestId request;
  int attempt;
  int cls;
  int load;
  Time at;
  bool held;  // the known position fell short of the need
};
enum class Role { Unknown, Primary, Replica };

// What this router may send a member that has just started, in requests of mean work, as of `at`; the last
// draw for a part of a request: when, whose, won or not, and what it costs if it is sent.
struct Allowance {
  double saved = 0, price = 0;
  Time at = never, drawnAt = never;
  RequestId drawnFor = 0;
  bool drawn = false;
};

struct Member {
  ListedEndpoint listed;
  bool seenDraining = false;
  bool suspended = false;  // by staff, whatever the list says
  Time suspendedAt = never;
  Time goneAt = never;  // when the list first lacked it
  Role role = Role::Unknown;
  Time roleAt = never;    // when the newest evidence of its role was true
  Time position = never;  // it has applied all commits up to here; a lower bound that only grows
  std::vector<std::pair<Time, Time>> lags;  // (seen at, age of the position then)
  std::vector<Sample> immediate, held;
  Time lastAnswer = never, lastUsed = never;
  Time answeredSent = never;  // when the youngest of the answered attempts was sent
  std::vector<Sent> out;
  int failures = 0;
  Time asideUntil = never;  // health: set aside until then, then one trial at a time
  Time backoff{};
  bool erring = false;  // set aside for errors alone: it answers
  bool probing = false;
  Time probedAt = never;
  Time wordAt = never;   // last answer of any kind, probes included
  Time heardAt = never;  // last word of it that another router passed on
  int told = 0;          // requests held there, by the newest report
  Time toldAt = never;
  std::uint64_t salt = 0;  // this router's own order of members that are alike
  Decayed served;          // its answers to this router
  Allowance allowance[2];  // while it is cold: of reads, of writes
};

struct Group {
  std::vector<EndpointId> members;  // ascending: the order in which writes look for a primary
  EndpointId primary = 0;           // 0: none known
  Time troubleAt = never;
  Time primaryWanted = never;
  RequestId scout = 0;          // the one write that looks for the primary
  std::uint64_t scoutedIn = 0;  // a round over all members found none, since this list; 0: no round did
  Time forgotten = never;       // sessions no longer remembered may have written until then
  std::vector<RequestId> waiting;
};

struct Attempt {
  EndpointId member;
  Time at;
  bool open = true;
  bool cancelled = false;
};
struct Open {
  Request q;
  Time arrived{};
  Time commit = never;  // session and fresh reads: data must reach this
  std::vector<Attempt> attempts;
  std::vector<EndpointId> tried;
  int outstanding = 0;
  bool reached = false;  // some member has had it, whatever came of it
  bool ran = false;      // some attempt may have run
  Time ranAt{};          // when the earliest such was sent, and where
  EndpointId ranWhere = 0;
  bool waiting = false;
  bool asked = false;  // probes were sent for its next attempt
};
struct Choice {
  Member* member;
  double miss;
  double expected;
};

}  // namespace sablespur::balancer
