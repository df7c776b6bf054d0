#include "balancer/context.hpp"

#include <algorithm>
#include <stdexcept>

namespace sablespur::balancer {
namespace {

void validate(const Settings& settings) {
  if (settings.classes.empty()) throw std::invalid_argument("no classes");
  for (const ClassSettings& c : settings.classes) {
    if (c.latencyObjective <= Time(0) || c.deadline < c.latencyObjective)
      throw std::invalid_argument("a class's aim is 0 or past its deadline");
  }
  if (settings.maxAttempts < 1 || settings.proxyCount < 1 || settings.warmUpStartCapacity <= 0 ||
      settings.warmUpStartCapacity > 1)
    throw std::invalid_argument("attemptsCap or balancers below 1, or startCapacity not in (0, 1]");
}

bool carriesLoad(const std::vector<ReportField>& fields) {
  return std::find(fields.begin(), fields.end(), ReportField::Inflight) != fields.end();
}

}  // namespace

Context::Context(const Settings& initialSettings, std::uint64_t seed, ActionSink& actionSink)
    : settings(initialSettings),
      sink(actionSink),
      random(seed),
      latencies(initialSettings.classes.size()),
      reportsCarryLoad(carriesLoad(initialSettings.reportFields)) {
  validate(settings);
}

}  // namespace sablespur::balancer
