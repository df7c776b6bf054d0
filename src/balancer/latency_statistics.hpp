// Latency statistics of the request classes over all endpoints: typical values and recent samples.
#pragma once

#include <limits>
#include <vector>

#include "balancer/state.hpp"

namespace sablespur::balancer {

constexpr double kUnansweredLatency = std::numeric_limits<double>::infinity();

class LatencyStatistics {
 public:
  explicit LatencyStatistics(std::size_t classes) : meanLatency_(classes), lowLatency_(classes) {}

  // Adds classes. Existing classes keep their indices; new ones are appended.
  void growTo(std::size_t classes);

  // Records the latency, in microseconds, of a successful answer.
  void recordAnswer(int classIndex, double latency);

  // Adds a sample to the endpoint's window. Adds it to the common samples too unless the attempt
  // was unanswered or may have waited for replication.
  void addSample(Endpoint&, const InFlightAttempt&, double latency, Time now);

  // Returns the moving average of a class, in microseconds; 0 if there are no samples.
  double mean(int classIndex) const { return meanLatency_[toIndex(classIndex)]; }
  Time meanTime(int classIndex) const { return Time(static_cast<std::int64_t>(mean(classIndex))); }

  // Returns the latency of fast answers of a class, in microseconds; 0 if there are no samples. An
  // answer far below it did no work.
  double low(int classIndex) const { return lowLatency_[toIndex(classIndex)]; }

  // Converts a latency of one class to another class; unchanged while the mean of either is
  // unknown.
  double convert(double latency, int fromClass, int toClass) const {
    const double from = mean(fromClass);
    const double to = mean(toClass);
    return from > 0 && to > 0 ? latency * to / from : latency;
  }

  // Returns the work of a request relative to the mean request, within [0.5, 2].
  double relativeCost(int classIndex) const;

  // Recent samples of all endpoints, used where the window of an endpoint has few.
  const std::vector<LatencySample>& commonSamples() const { return commonSamples_; }

 private:
  std::vector<double> meanLatency_;
  std::vector<double> lowLatency_;
  double overallMean_ = 0;  // of all classes, microseconds; 0: no samples yet
  std::vector<LatencySample> commonSamples_;
};

}  // namespace sablespur::balancer
