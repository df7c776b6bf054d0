// The events that a test gives its Balancers and the actions that they answer with, as lines of text, and the
// digest of these lines. Tests of the decision module use a RecordingBalancer in place of a Balancer; the
// digests of all tests stand in tests/data/decision-digests.txt, so that a change of any decision is seen.
//
// A line has the number of the Balancer within its test, one word for the event or action, and integers:
// enumerators by their value, instants in microseconds, other numbers rounded to thousandths. Names of types,
// addresses and texts for people are not part of it.
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

// The lines of the test that runs now; one for the process, since GoogleTest runs one test at a time.
class DecisionLog {
 public:
  DecisionLog();
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;
  static DecisionLog& current();

  void begin(const std::string& testName);  // drops what was recorded before
  int addBalancer(std::uint64_t seed);      // the number of the next Balancer of this test
  void add(int balancer, std::string_view word, std::initializer_list<std::int64_t> numbers);
  // Sixteen hexadecimal digits (XXH3, 64 bits); nothing where the test has no Balancer.
  std::optional<std::string> digest() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Digests by the full name of their test, one a line: NAME DIGEST.
using DecisionDigests = std::map<std::string, std::string>;
DecisionDigests parseDecisionDigests(const std::string& text);  // throws std::runtime_error for another form
std::string formatDecisionDigests(const DecisionDigests&);
// What is wrong with the digest of a test that has ended; empty: nothing.
std::string compareDecisionDigest(const DecisionDigests& expected, const std::string& testName,
                                  const std::optional<std::string>& recorded);

// A Balancer that records its events and actions in DecisionLog::current().
class RecordingBalancer {
 public:
  RecordingBalancer(const Settings&, std::uint64_t seed, ActionSink&);

  void list(Time now, ListKind, const std::vector<ListedEndpoint>&);
  void request(Time now, const Request&);
  void outcome(Time now, const AttemptOutcome&);
  void clientLeft(Time now, RequestId);
  void probed(Time now, const HealthCheckResult&);
  void timer(Time now, std::uint64_t token);
  void heard(Time now, EndpointId, std::uint32_t note, int cls, Time latency);
  bool fit(Time now, RequestId, EndpointId);
  bool fresh(Time now, const AttemptOutcome&);
  void suspend(Time now, EndpointId, bool on);
  void settle(Time now, const Settings&);
  std::vector<EndpointId> forget(Time now);
  void countFrom(Time zero);

 private:
  class RecordingSink;
  void record(std::string_view word, std::initializer_list<std::int64_t> numbers) const;
  void recordReport(const std::vector<float>& report) const;

  int number_;
  std::shared_ptr<RecordingSink> sink_;  // the Balancer refers to it, wherever this object is moved
  sablespur::balancer::Balancer balancer_;
};

}  // namespace sablespur::balancer::test
