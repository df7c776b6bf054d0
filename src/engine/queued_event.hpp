// The events queued for the engine's next turn, one type for each entry point of Engine.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "balancer/balancer.hpp"
#include "discovery/endpoint_list.hpp"
#include "engine/interfaces.hpp"

namespace sablespur::engine_event {

struct RequestReceived {
  balancer::Request request;
};
struct ClientDisconnected {
  RequestId request;
};
struct ConnectionReady {
  RequestId request;
  int attempt;
};
struct AttemptEnded {
  RequestId request;
  int attempt;
  EndpointId endpoint;
  AttemptEnd end;
};
struct HealthCheckEnded {
  EndpointId endpoint;
  bool healthy;
  std::vector<double> report;
};
struct EndpointsListed {
  EndpointList list;
};
struct DiscoveryFailed {};
struct ListLimited {
  std::optional<balancer::Time> until;
  ListLimit limit;
};
// The updates themselves are stored in Engine::gossip_, whose storage is reused.
struct GossipReceived {};
struct SuspensionChanged {
  std::string name;
  bool suspended;
};
struct SettingsUpdated {
  balancer::Settings settings;
};

using QueuedEvent = std::variant<RequestReceived, ClientDisconnected, ConnectionReady, AttemptEnded,
                                 HealthCheckEnded, EndpointsListed, DiscoveryFailed, ListLimited,
                                 GossipReceived, SuspensionChanged, SettingsUpdated>;

}  // namespace sablespur::engine_event
