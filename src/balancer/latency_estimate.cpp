#include "balancer/latency_estimate.hpp"

#include <algorithm>

#include "balancer/endpoint_state.hpp"

namespace sablespur::balancer {
namespace {

constexpr double kEndpointConcurrency = 3;  // requests that an endpoint serves at once; more queue
// Limit of a sample in budgets, so that a single late one does not dominate the expected latency.
constexpr double kMaxBudgetsCounted = 4;

// Counts samples against a budget.
class SampleTally {
 public:
  explicit SampleTally(Time budget) : budget_(static_cast<double>(budget.count())) {}

  double budget() const { return budget_; }
  bool empty() const { return count_ == 0; }

  void add(double latency) {
    if (latency > budget_) misses_ += 1;
    sum_ += std::min(latency, kMaxBudgetsCounted * budget_);
    count_ += 1;
  }
  void addOnTime(double latency) {
    sum_ += latency;
    count_ += 1;
  }
  // Replaces all samples so far by one, their mean.
  void mergeIntoOne() {
    misses_ /= count_;
    sum_ /= count_;
    count_ = 1;
  }
  LatencyEstimate estimate() const { return {misses_ / count_, sum_ / count_}; }

 private:
  double budget_;
  double misses_ = 0;
  double sum_ = 0;
  double count_ = 0;
};

// Returns the number of requests that share the capacity of the endpoint, including the new one; at
// least kEndpointConcurrency.
double concurrentRequests(int load) { return std::max(kEndpointConcurrency, load + 1.0); }

}  // namespace

LatencyEstimate estimateLatency(const Context& context, const Endpoint& endpoint,
                                const std::vector<LatencySample>& window, int classIndex, Time budget,
                                CountedMisses counted) {
  const LatencyStatistics& latencies = context.latencies;
  const double load = concurrentRequests(outstandingLoad(context, endpoint));
  const bool onlyCausedByLoad = counted == CountedMisses::CausedByLoad;
  SampleTally tally(budget);
  const auto addAll = [&](const std::vector<LatencySample>& samples) {
    for (const LatencySample& sample : samples) {
      if (sample.at + kRecentPeriod < context.now) continue;
      if (onlyCausedByLoad && sample.latency == kUnansweredLatency) continue;
      tally.add(latencies.convert(sample.latency, sample.classIndex, classIndex) * load /
                concurrentRequests(sample.load));
    }
  };
  addAll(latencies.commonSamples());
  // Without any samples, the mean latency is expected and counted as on time.
  if (tally.empty()) tally.addOnTime(latencies.mean(classIndex) * load / kEndpointConcurrency);
  tally.mergeIntoOne();
  addAll(window);
  for (const InFlightAttempt& attempt : endpoint.inFlight) {
    const auto age = static_cast<double>((context.now - attempt.sentAt).count());
    const double converted = latencies.convert(age, attempt.classIndex, classIndex);
    if (converted <= tally.budget()) continue;
    if (onlyCausedByLoad && isOvertaken(context, endpoint, attempt)) continue;
    tally.add(converted);
  }
  return tally.estimate();
}

}  // namespace sablespur::balancer
