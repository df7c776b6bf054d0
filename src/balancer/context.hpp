// What the decisions of one Balancer share. Only the event under way touches it; nothing here decides.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

#include "balancer/balancer.hpp"
#include "balancer/discovery_poller.hpp"
#include "balancer/fleet_traffic.hpp"
#include "balancer/known_list.hpp"
#include "balancer/latency_statistics.hpp"
#include "balancer/local_hash.hpp"
#include "balancer/retry_budget.hpp"
#include "balancer/session_commits.hpp"
#include "balancer/state.hpp"

namespace sablespur::balancer {

// Where there is work, so that housekeeping costs what is under way and not what is listed.
struct WorkIndex {
  std::set<EndpointId> busyEndpoints;  // with attempts in flight
  std::set<EndpointId> goneEndpoints;  // with Endpoint::goneAt
  std::set<GroupId> waitingGroups;     // every group with waiting requests; some may have none left
  int inFlight = 0;                    // attempts
  bool housekeepingScheduled = false;
};

struct Context {
  // Throws std::invalid_argument where the settings contradict each other.
  Context(const Settings&, std::uint64_t seed, ActionSink&);

  // nullptr for an endpoint that is not known, or no longer.
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
  DiscoveryPoller::Environment discoveryEnvironment() const { return {settings, sink, random, now}; }

  Settings settings;
  ActionSink& sink;
  const LocalHash random;
  Time now{};  // of the event under way

  std::map<EndpointId, Endpoint> endpoints;
  std::map<GroupId, Group> groups;
  std::unordered_map<RequestId, PendingRequest> requests;

  LatencyStatistics latencies;
  RetryBudget retryBudget;
  SessionCommits sessionCommits;
  FleetTraffic traffic;
  DiscoveryPoller discovery;
  KnownList knownList;
  WorkIndex work;

  std::uint64_t listUpdates = 1;  // lists and changes of it taken in; 0 stands for none
  bool started = false;           // the first list has come
  bool gossipReceived = false;    // other proxies pass on what they hear of endpoints
  const bool reportsCarryLoad;    // load reports tell how many requests an endpoint has
};

}  // namespace sablespur::balancer
