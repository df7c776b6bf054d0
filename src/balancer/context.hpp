// Context: the state shared by the decisions of one Balancer. Contains no decision logic; only the
// event being handled accesses it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "balancer/balancer.hpp"
#include "balancer/discovery_poller.hpp"
#include "balancer/fleet_traffic.hpp"
#include "balancer/latency_statistics.hpp"
#include "balancer/local_hash.hpp"
#include "balancer/retry_budget.hpp"
#include "balancer/session_commits.hpp"
#include "balancer/state.hpp"

namespace sablespur::balancer {

// Indexes of pending work, so that housekeeping costs depend on the work pending and not on the
// length of the endpoint list.
struct WorkIndex {
  std::set<EndpointId> busyEndpoints;  // with attempts in flight
  std::set<EndpointId> goneEndpoints;  // with Endpoint::goneAt set
  // Every group with waiting requests; may include groups that have none left.
  std::set<GroupId> waitingGroups;
  int inFlight = 0;  // attempts
  bool housekeepingScheduled = false;
};

struct Context {
  // Throws std::invalid_argument if the settings contradict each other.
  Context(const Settings&, std::uint64_t seed, ActionSink&);

  // Returns nullptr for an unknown or removed endpoint.
  Endpoint* findEndpoint(EndpointId id) {
    const auto found = endpoints.find(id);
    return found == endpoints.end() ? nullptr : &found->second;
  }
  const ClassSettings& classOf(const PendingRequest& pending) const {
    return settings.classes[toIndex(pending.request.classIndex)];
  }
  bool canHealthCheck() const {
    return settings.healthChecksAllowed && settings.loadReportMode != LoadReportMode::None;
  }
  // Whether the endpoint list may lack changes that this proxy counts as informed of.
  bool isListTooOld() const { return listUsableUntil && now >= *listUsableUntil; }
  DiscoveryPoller::Environment discoveryEnvironment() const { return {settings, sink, random, now}; }

  Settings settings;
  ActionSink& sink;
  const LocalHash random;
  Time now{};  // time of the event being handled

  std::map<EndpointId, Endpoint> endpoints;
  std::map<GroupId, Group> groups;
  std::unordered_map<RequestId, PendingRequest> requests;

  LatencyStatistics latencies;
  RetryBudget retryBudget;
  SessionCommits sessionCommits;
  FleetTraffic traffic;
  DiscoveryPoller discovery;
  WorkIndex work;

  // Number of lists and list changes received, plus 1: where the number of an
  // update is stored, 0 means none.
  std::uint64_t listUpdates = 1;
  std::optional<Time> listUsableUntil;  // see Balancer::limitList
  bool started = false;                 // the first list has been received
  bool gossipReceived = false;          // other proxies share what they observe of endpoints
  const bool reportsCarryLoad;          // load reports include the number of outstanding requests
};

}  // namespace sablespur::balancer
