// Records the events that a test passes to its Balancers and the resulting actions as lines of
// text, and computes a digest of these lines. Balancer tests use a RecordingBalancer in place of a
// Balancer. The digests of all tests are kept in tests/data/decision-digests.txt, so that any
// changed decision is detected.
//
// A line consists of the number of the Balancer within its test, one word for the event or action,
// and integers: enumerators by value, times in microseconds, other numbers in thousandths
// (rounded). Type names, addresses and messages are not included, so renaming them leaves the
// digests unchanged.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"

namespace sablespur::balancer::test {

// The log of the current test. There is one per process, since GoogleTest runs one test at a time.
class DecisionLog {
 public:
  DecisionLog();
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;
  static DecisionLog& current();

  void begin(const std::string& testName);  // clears the log
  int addBalancer(std::uint64_t seed);      // returns the number of the Balancer within this test
  void add(int balancer, std::string_view event, std::initializer_list<std::int64_t> numbers);
  // Returns 16 hexadecimal digits (64-bit XXH3), or std::nullopt if the test has no Balancer.
  std::optional<std::string> digest() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Digests by full test name. The file has one line per test: NAME DIGEST.
using DecisionDigests = std::map<std::string, std::string>;
// Throws std::runtime_error if a line is malformed.
DecisionDigests parseDecisionDigests(const std::string& text);
std::string formatDecisionDigests(const DecisionDigests&);
// Returns a message if the recorded digest of a finished test differs from the expected one,
// otherwise an empty string.
std::string compareDecisionDigest(const DecisionDigests& expected, const std::string& testName,
                                  const std::optional<std::string>& recorded);

// A Balancer that records its events and actions in DecisionLog::current().
class RecordingBalancer {
 public:
  RecordingBalancer(const Settings&, std::uint64_t seed, ActionSink&);

  void endpointsListed(Time now, ListKind, const std::vector<ListedEndpoint>&);
  void request(Time now, const Request&);
  void attemptEnded(Time now, const AttemptOutcome&);
  void clientDisconnected(Time now, RequestId);
  void healthCheckEnded(Time now, const HealthCheckResult&);
  void timerFired(Time now, std::uint64_t token);
  void gossipReceived(Time now, EndpointId, std::uint32_t status, int cls, Time latency);
  bool maySendNow(Time now, RequestId, EndpointId);
  bool isFreshEnough(Time now, const AttemptOutcome&);
  void suspend(Time now, EndpointId, bool on);
  void unseenCommitsPossible(Time now);
  void updateSettings(Time now, const Settings&);
  std::vector<EndpointId> removeExpiredEndpoints(Time now);
  void setPositionEpoch(Time epoch);

 private:
  class RecordingSink;
  void record(std::string_view event, std::initializer_list<std::int64_t> numbers) const;
  void recordReport(const std::vector<float>& report) const;

  int number_;
  // Shared, so that the reference in balancer_ stays valid when this object is moved.
  std::shared_ptr<RecordingSink> sink_;
  sablespur::balancer::Balancer balancer_;
};

}  // namespace sablespur::balancer::test
