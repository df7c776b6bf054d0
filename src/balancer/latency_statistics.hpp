// Latencies of the request classes over all endpoints: typical values, and recent samples to fall back on.
#pragma once

#include <limits>
#include <vector>

#include "balancer/state.hpp"

namespace sablespur::balancer {

constexpr double kUnansweredLatency = std::numeric_limits<double>::infinity();

class LatencyStatistics {
 public:
  explicit LatencyStatistics(std::size_t classes) : meanLatency_(classes), lowLatency_(classes) {}

  // Classes keep their indices; new ones stand behind them.
  void growTo(std::size_t classes);

  // Takes in the latency, in microseconds, of a successful answer.
  void recordAnswer(int classIndex, double latency);

  // Adds a sample to the endpoint's window and, where it says something of others, to the common one.
  void addSample(Endpoint&, const InFlightAttempt&, double latency, Time now);

  // Moving average of a class, in microseconds; 0 where none has been seen.
  double mean(int classIndex) const { return meanLatency_[toIndex(classIndex)]; }
  Time meanTime(int classIndex) const { return Time(static_cast<std::int64_t>(mean(classIndex))); }

  // Follows the fast answers of a class, in microseconds: an answer far below it did no work. 0: not seen.
  double low(int classIndex) const { return lowLatency_[toIndex(classIndex)]; }

  // A latency of one class as it would be for another; unchanged while either is unknown.
  double convert(double latency, int fromClass, int toClass) const {
    const double from = mean(fromClass);
    const double to = mean(toClass);
    return from > 0 && to > 0 ? latency * to / from : latency;
  }

  // Work of a request relative to the mean request, within [0.5, 2].
  double relativeCost(int classIndex) const;

  // Recent answers of all endpoints: they stand in where an endpoint's own window is thin.
  const std::vector<LatencySample>& commonSamples() const { return commonSamples_; }

 private:
  std::vector<double> meanLatency_;
  std::vector<double> lowLatency_;
  double overallMean_ = 0;  // of all classes, microseconds; 0: nothing seen yet
  std::vector<LatencySample> commonSamples_;
};

}  // namespace sablespur::balancer
