// What stands around an engine in its tests: data servers and discovery that only write down what is asked.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "engine/engine.hpp"

namespace sablespur::test {

struct FakeMembers : Members {
  struct Sent {
    RequestId id;
    int attempt;
    MemberId member;
  };
  std::vector<Sent> sent, cancelled;
  std::vector<MemberId> probes;
  std::vector<std::pair<int, bool>> started;  // attempt, fit
  std::map<MemberId, bool> ready;
  std::map<MemberId, Time> warmAt;
  void listed(MemberId m, const Address&, bool isReady, Time until) override {
    ready[m] = isReady;
    warmAt[m] = until;
  }
  void send(RequestId id, int attempt, MemberId m, Time, std::shared_ptr<const Message>) override {
    sent.push_back({id, attempt, m});
  }
  void start(RequestId, int attempt, bool fit) override { started.emplace_back(attempt, fit); }
  void cancel(RequestId id, int attempt) override { cancelled.push_back({id, attempt, 0}); }
  void probe(MemberId m) override { probes.push_back(m); }
  std::vector<MemberId> forgotten;
  void forget(MemberId m) override { forgotten.push_back(m); }
};
struct FakeLists : Lists {
  std::vector<std::uint64_t> watches;
  void watch(std::uint64_t after) override { watches.push_back(after); }
};

}  // namespace sablespur::test
