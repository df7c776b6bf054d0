// Fakes for the engine's tests: a backend and a discovery source that only record the calls they
// receive.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "engine/engine.hpp"

namespace sablespur::test {

struct RecordingBackend : Backend {
  struct Sent {
    RequestId id;
    int attempt;
    EndpointId endpoint;
  };
  std::vector<Sent> sent, cancelled;
  std::vector<EndpointId> healthChecks;
  std::vector<std::pair<int, bool>> continued;  // attempt, maySend
  std::map<EndpointId, bool> ready;
  std::map<EndpointId, Time> warmAt;
  void endpointListed(EndpointId endpoint, const Address&, bool isReady, Time until) override {
    ready[endpoint] = isReady;
    warmAt[endpoint] = until;
  }
  void send(RequestId id, int attempt, EndpointId endpoint, Time,
            std::shared_ptr<const RequestMessage>) override {
    sent.push_back({id, attempt, endpoint});
  }
  void continueAttempt(RequestId, int attempt, bool maySend) override {
    continued.emplace_back(attempt, maySend);
  }
  void cancel(RequestId id, int attempt) override { cancelled.push_back({id, attempt, 0}); }
  void startHealthCheck(EndpointId endpoint) override { healthChecks.push_back(endpoint); }
  std::vector<EndpointId> removed;
  void removeEndpoint(EndpointId endpoint) override { removed.push_back(endpoint); }
};
struct RecordingDiscovery : DiscoverySource {
  std::vector<std::uint64_t> watches;
  void watch(std::uint64_t after) override { watches.push_back(after); }
};

}  // namespace sablespur::test
