#include "balancer/endpoint_state.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "balancer/primary_discovery.hpp"

namespace sablespur::balancer {
namespace {

constexpr std::size_t kLagSamples = 8;  // enough for a share, quick to follow a lag
constexpr Time kLoadReportValidity = std::chrono::seconds(1);
constexpr double kSilenceFactor = 4;           // silence for so many usual latencies is a symptom
constexpr float kMaxReportedPosition = 1e9F;   // seconds; beyond it a value is no position
constexpr float kMaxReportedLoad = 1e6F;       // requests
constexpr float kPrimaryFlagThreshold = 0.5F;  // the flag is 0 or 1
constexpr double kMicrosecondsPerSecond = 1e6;

// An f32 may have been rounded up: only the next one below it is proven.
Time provenPosition(const Context& context, float reportedSeconds) {
  const double proven = static_cast<double>(std::nextafterf(reportedSeconds, 0.0F));
  return context.settings.positionEpoch +
         Time(static_cast<std::int64_t>(std::floor(proven * kMicrosecondsPerSecond)));
}

}  // namespace

void recordPosition(const Context& context, Endpoint& endpoint, Time position) {
  ReplicationProgress& replication = endpoint.replication;
  replication.position = std::max(replication.position, position);
  if (replication.lags.size() == kLagSamples) replication.lags.erase(replication.lags.begin());
  replication.lags.push_back({context.now, context.now - replication.position});
}

void recordReport(Context& context, Endpoint& endpoint, const std::vector<float>& report) {
  std::optional<Time> position;
  Role role = Role::Unknown;
  const std::vector<ReportField>& fields = context.settings.reportFields;
  for (std::size_t k = 0; k < report.size() && k < fields.size(); ++k) {
    const float value = report[k];
    if (fields[k] == ReportField::Position && value > 0 && value < kMaxReportedPosition) {
      position = provenPosition(context, value);
    } else if (fields[k] == ReportField::Primary) {
      role = value >= kPrimaryFlagThreshold ? Role::Primary : Role::Replica;
    } else if (fields[k] == ReportField::Inflight && value >= 0 && value < kMaxReportedLoad) {
      endpoint.reportedLoad = {static_cast<int>(value), context.now};
    }
  }
  // A report is as old as the position in it; without one its role cannot be dated.
  if (!position || *position > context.now) return;
  recordPosition(context, endpoint, *position);
  if (role != Role::Unknown) recordRole(context, endpoint, role, *position);
}

Time silenceThreshold(const Context& context, int classIndex) {
  const Time usual = context.latencies.meanTime(classIndex);
  if (usual > Time(0)) return scaled(usual, kSilenceFactor);
  return context.settings.classes[toIndex(classIndex)].latencyObjective;
}

bool isOvertaken(const Context& context, const Endpoint& endpoint, const InFlightAttempt& attempt) {
  const Time age = context.now - attempt.sentAt;
  return age > silenceThreshold(context, attempt.classIndex) &&
         endpoint.contact.newestAnsweredSend > attempt.sentAt + age / 2;
}

int outstandingLoad(const Context& context, const Endpoint& endpoint) {
  const auto own =
      std::count_if(endpoint.inFlight.begin(), endpoint.inFlight.end(),
                    [&](const InFlightAttempt& attempt) { return !isOvertaken(context, endpoint, attempt); });
  const ReportedLoad& reported = endpoint.reportedLoad;
  const bool isNew = reported.at != kNever && context.now - reported.at < kLoadReportValidity;
  return std::max(static_cast<int>(own), isNew ? reported.inFlight : 0);
}

}  // namespace sablespur::balancer
