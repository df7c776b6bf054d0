#include "balancer/endpoint_state.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "balancer/primary_discovery.hpp"

namespace sablespur::balancer {
namespace {

// Enough to estimate a share, few enough to follow a change of lag.
constexpr std::size_t kLagSamples = 8;
constexpr Time kLoadReportValidity = std::chrono::seconds(1);
// Endpoints renew their reports several times a second.
constexpr Time kMaxReportAge = std::chrono::milliseconds(500);
// Multiple of the usual latency after which silence is a symptom.
constexpr double kSilenceFactor = 4;
constexpr float kMaxReportedPosition = 1e9F;   // seconds; larger values are not positions
constexpr float kMaxReportedLoad = 1e6F;       // requests
constexpr float kPrimaryFlagThreshold = 0.5F;  // the flag is 0 or 1
constexpr double kMicrosecondsPerSecond = 1e6;

// Returns the position that a reported f32 proves. It may have been rounded up, so the next smaller
// one is used.
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
  // The position in a report dates it, unless it is older than any report: then the endpoint lags.
  // Without a position, the age of the reported role is unknown.
  if (!position || *position > context.now) return;
  recordPosition(context, endpoint, *position);
  const Time reportedAt = std::max(*position, context.now - kMaxReportAge);
  if (role != Role::Unknown) recordRole(context, endpoint, role, reportedAt);
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
