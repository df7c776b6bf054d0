#include "balancer/consistency.hpp"

#include <algorithm>
#include <cmath>

namespace sablespur::balancer {
namespace {

constexpr double kUnknownFreshness = 0.5;  // without recent lag samples
constexpr double kMicrosecondsPerMillisecond = 1e3;
constexpr Time kDefaultStalenessBound = std::chrono::seconds(1);

// Encoding of AttemptOutcome::replicationStatus: 4 x the position in milliseconds, plus the role.
constexpr std::uint32_t kStatusRoleRange = 4;
constexpr std::uint32_t kStatusPrimary = 1;
constexpr std::uint32_t kStatusReplica = 2;
// Positions are rounded to milliseconds.
constexpr Time kClockTolerance = std::chrono::milliseconds(1);

// Returns the position for the age in a session token. The age may have been rounded up, so the
// next smaller f32 is used; the required position is then never too low.
Time tokenPosition(Time now, float ageMs) {
  const double age = static_cast<double>(std::nextafterf(ageMs, 0.0F)) * kMicrosecondsPerMillisecond;
  return now - Time(static_cast<std::int64_t>(std::min(age, static_cast<double>(now.count()))));
}

}  // namespace

Time initialRequiredPosition(Context& context, const PendingRequest& pending) {
  const Request& request = pending.request;
  const Requirement requirement = context.classOf(pending).requirement;
  if (requirement == Requirement::Strong) return context.now;
  if (requirement != Requirement::Session) return kNever;
  const Time required =
      context.settings.sessionTokensCarried ? kNever : context.sessionCommits.requiredBy(request.session);
  if (!(request.sessionTokenAgeMs > 0)) return required;
  return std::max(required, tokenPosition(context.now, request.sessionTokenAgeMs));
}

std::optional<double> freshProbability(const Context& context, const Endpoint& endpoint, const Group& group,
                                       Time required) {
  const ReplicationProgress& replication = endpoint.replication;
  const bool isPrimary = endpoint.listed.id == group.primary;
  if (required == kNever || isPrimary || knownPosition(endpoint) >= required) return 1;
  // The endpoint would serve stale data, so only a proven position counts.
  if (context.settings.laggingReplicaPolicy == LaggingReplicaPolicy::Serve) return std::nullopt;
  const Time maxLag = context.now - required;
  double fresh = 0;
  double all = 0;
  for (const LagSample& sample : replication.lags) {
    if (sample.at + kRecentPeriod < context.now) continue;
    all += 1;
    if (sample.lag <= maxLag) fresh += 1;
  }
  return all > 0 ? fresh / all : kUnknownFreshness;
}

bool showsStaleData(const Context& context, const Endpoint& endpoint, const Attempt& attempt,
                    std::uint32_t replicationStatus) {
  const Time required = attempt.requiredPosition;
  // With any other policy the endpoints enforce the required position themselves.
  if (required == kNever || context.settings.laggingReplicaPolicy != LaggingReplicaPolicy::Serve)
    return false;
  const Role role = roleOf(replicationStatus);
  if (role == Role::Primary || knownPosition(endpoint) >= required) return false;
  // The position in the answer was taken when the endpoint finished it. A replica may have caught
  // up after it read the data, so that position proves nothing for this read, only for the next
  // attempt.
  return role == Role::Replica || positionOf(context.settings, replicationStatus).has_value();
}

void recordSessionCommit(Context& context, const PendingRequest& write, const AttemptOutcome& outcome) {
  const std::uint64_t session = write.request.session;
  if (context.classOf(write).requirement != Requirement::Write) return;
  if (write.sessionUnknown) context.sessionCommits.assumeUnseenUntil(context.now);
  if (session == 0) return;
  const Time commit = positionOf(context.settings, outcome.replicationStatus).value_or(context.now);
  context.sessionCommits.record(session, commit);
}

bool hasSessionReads(const Settings& settings) {
  return std::any_of(settings.classes.begin(), settings.classes.end(),
                     [](const ClassSettings& c) { return c.requirement == Requirement::Session; });
}

void startSessionReads(Context& context) {
  context.sessionCommits.assumeUnseenUntil(context.now);
  for (auto& [id, pending] : context.requests)
    pending.sessionUnknown = context.classOf(pending).requirement == Requirement::Write;
}

Time tightestStalenessBound(const Settings& settings) {
  std::optional<Time> tightest;
  for (const ClassSettings& c : settings.classes) {
    if (c.requirement != Requirement::BoundedStaleness) continue;
    if (!tightest || c.maxStaleness < *tightest) tightest = c.maxStaleness;
  }
  return tightest.value_or(kDefaultStalenessBound);
}

std::optional<Time> positionOf(const Settings& settings, std::uint32_t replicationStatus) {
  const std::uint32_t position = replicationStatus / kStatusRoleRange;
  if (position == 0) return std::nullopt;
  return settings.positionEpoch + std::chrono::milliseconds(position);
}

std::optional<Time> plausiblePositionOf(const Context& context, std::uint32_t replicationStatus) {
  const std::optional<Time> position = positionOf(context.settings, replicationStatus);
  if (position && *position > context.now + kClockTolerance) return std::nullopt;
  return position;
}

Role roleOf(std::uint32_t replicationStatus) {
  switch (replicationStatus % kStatusRoleRange) {
    case kStatusPrimary:
      return Role::Primary;
    case kStatusReplica:
      return Role::Replica;
    default:
      return Role::Unknown;
  }
}

bool carriesRole(std::uint32_t replicationStatus) { return replicationStatus % kStatusRoleRange != 0; }

}  // namespace sablespur::balancer
