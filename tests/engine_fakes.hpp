// What stands around an engine in its tests: data servers and discovery that only write down what is asked.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "engine/engine.hpp"

namespace sablespur::test {

struct FakeMembers : Backend {
  struct Sent {
    RequestId id;
    int attempt;
    EndpointId member;
  };
  std::vector<Sent> sent, cancelled;
  std::vector<EndpointId> probes;
  std::vector<std::pair<int, bool>> started;  // attempt, fit
  std::map<EndpointId, bool> ready;
  std::map<EndpointId, Time> warmAt;
  void endpointListed(EndpointId m, const Address&, bool isReady, Time until) override {
    ready[m] = isReady;
    warmAt[m] = until;
  }
  void send(RequestId id, int attempt, EndpointId m, Time, std::shared_ptr<const RequestMessage>) override {
    sent.push_back({id, attempt, m});
  }
  void continueAttempt(RequestId, int attempt, bool fit) override { started.emplace_back(attempt, fit); }
  void cancel(RequestId id, int attempt) override { cancelled.push_back({id, attempt, 0}); }
  void startHealthCheck(EndpointId m) override { probes.push_back(m); }
  std::vector<EndpointId> forgotten;
  void removeEndpoint(EndpointId m) override { forgotten.push_back(m); }
};
struct FakeLists : DiscoverySource {
  std::vector<std::uint64_t> watches;
  void watch(std::uint64_t after) override { watches.push_back(after); }
};

}  // namespace sablespur::test
