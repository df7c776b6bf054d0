#include "engine/replication_status.hpp"

#include <algorithm>
#include <cmath>

namespace sablespur {
namespace {

using balancer::ReportField;
using cluster::GossipRole;
using cluster::GossipUpdate;

constexpr std::int64_t kPositionLimit = std::int64_t{1} << 30;
constexpr int kRoleBits = 2;

GossipRole gossipRole(Role role) {
  switch (role) {
    case Role::Primary:
      return GossipRole::Primary;
    case Role::Replica:
      return GossipRole::Replica;
    case Role::Unknown:
      break;
  }
  return GossipRole::Unknown;
}

}  // namespace

float secondsSince(Time epoch, double unixSeconds) {
  const double since = unixSeconds - static_cast<double>(epoch.count()) / 1e6;
  if (!(since > 0)) return 0;
  const auto rounded = static_cast<float>(since);
  return static_cast<double>(rounded) > since ? std::nextafterf(rounded, 0.0f) : rounded;
}

std::uint32_t millisecondsSince(Time epoch, std::int64_t unixMs) {
  const std::int64_t since = unixMs - epoch.count() / 1000;
  return since > 0 && since < kPositionLimit ? static_cast<std::uint32_t>(since) : 0;
}

std::uint32_t replicationStatusWord(Time epoch, const AttemptEnd& end) {
  return replicationStatusWord(epoch, replicationStatusOf(end));
}

std::uint32_t replicationStatusWord(Time epoch, const GossipUpdate& update) {
  return millisecondsSince(epoch, update.positionMs) << kRoleBits | static_cast<std::uint32_t>(update.role);
}

GossipUpdate replicationStatusOf(const AttemptEnd& end) {
  GossipUpdate update;
  update.positionMs = end.positionMs;
  update.role = gossipRole(end.role);
  return update;
}

GossipUpdate replicationStatusOf(bool healthy, const std::vector<double>& report,
                                 const std::vector<ReportField>& fields) {
  GossipUpdate update;
  if (!healthy) return update;
  const std::size_t count = std::min(report.size(), fields.size());
  for (std::size_t k = 0; k < count; ++k) {
    if (fields[k] == ReportField::Position) update.positionMs = static_cast<std::int64_t>(report[k] * 1000);
    if (fields[k] == ReportField::Primary)
      update.role = report[k] > 0 ? GossipRole::Primary : GossipRole::Replica;
  }
  return update;
}

std::vector<float> reportSince(Time epoch, const std::vector<double>& report,
                               const std::vector<ReportField>& fields) {
  std::vector<float> values;
  const std::size_t count = std::min(report.size(), fields.size());
  for (std::size_t k = 0; k < count; ++k)
    values.push_back(fields[k] == ReportField::Position ? secondsSince(epoch, report[k])
                                                        : static_cast<float>(report[k]));
  return values;
}

}  // namespace sablespur
