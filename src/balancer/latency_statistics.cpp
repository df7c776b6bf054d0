#include "balancer/latency_statistics.hpp"

#include <algorithm>

namespace sablespur::balancer {
namespace {

constexpr std::size_t kWindowSize = 20;  // samples per window of an endpoint, as in the paper
constexpr std::size_t kCommonWindowSize = 2 * kWindowSize;
constexpr double kLatencyEwmaWeight = 0.05;  // weight of a new latency in the moving average
constexpr double kLowLatencyRiseWeight = kLatencyEwmaWeight / 10;  // the low latency rises slowly
constexpr double kMinRelativeCost = 0.5;
constexpr double kMaxRelativeCost = 2.0;

void moveTowards(double& average, double value, double weight) {
  average = average > 0 ? average + weight * (value - average) : value;
}

void push(std::vector<LatencySample>& window, std::size_t capacity, const LatencySample& sample) {
  if (window.size() == capacity) window.erase(window.begin());
  window.push_back(sample);
}

}  // namespace

void LatencyStatistics::growTo(std::size_t classes) {
  meanLatency_.resize(std::max(meanLatency_.size(), classes));
  lowLatency_.resize(meanLatency_.size());
}

void LatencyStatistics::recordAnswer(int classIndex, double latency) {
  moveTowards(meanLatency_[toIndex(classIndex)], latency, kLatencyEwmaWeight);
  moveTowards(overallMean_, latency, kLatencyEwmaWeight);
  double& low = lowLatency_[toIndex(classIndex)];
  moveTowards(low, latency, latency < low ? kLatencyEwmaWeight : kLowLatencyRiseWeight);
}

void LatencyStatistics::addSample(Endpoint& endpoint, const InFlightAttempt& attempt, double latency,
                                  Time now) {
  const LatencySample sample{latency, attempt.classIndex, attempt.load, now};
  push(attempt.mayLag ? endpoint.latencies.delayed : endpoint.latencies.immediate, kWindowSize, sample);
  if (latency == kUnansweredLatency || attempt.mayLag) return;
  push(commonSamples_, kCommonWindowSize, sample);
}

double LatencyStatistics::relativeCost(int classIndex) const {
  if (mean(classIndex) <= 0) return 1;
  return std::clamp(mean(classIndex) / overallMean_, kMinRelativeCost, kMaxRelativeCost);
}

}  // namespace sablespur::balancer
