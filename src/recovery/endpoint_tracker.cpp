#include "recovery/endpoint_tracker.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <utility>

namespace sablespur::recovery {
namespace {

constexpr double kLatencyEwmaWeight = 0.1;                   // of a new response
constexpr Time kRateTimeConstant = std::chrono::seconds(4);  // of the exponential decay of the rate
// Stale entries are removed once the index exceeds kStaleFactor times the list plus
// kStaleAllowance.
constexpr std::size_t kStaleFactor = 4;
constexpr std::size_t kStaleAllowance = 64;

const EndpointRecord* findByName(const std::vector<EndpointRecord>& records, const std::string& name) {
  const auto found = std::find_if(records.begin(), records.end(),
                                  [&](const EndpointRecord& record) { return record.name == name; });
  return found == records.end() ? nullptr : &*found;
}

}  // namespace

void EndpointTracker::update(const DiscoveredEndpoint& listed) {
  if (listed.state == balancer::Lifecycle::Gone) {
    endpoints_.erase(listed.name);
    return;
  }
  DiscoveredEndpoint& endpoint = endpoints_[listed.name];
  const Address previousAddress = endpoint.address;
  endpoint = listed;
  if (endpoint.address.none()) endpoint.address = previousAddress;
  namesByTag_[cluster::endpointTag(listed.name)] = listed.name;
}

void EndpointTracker::removeStaleEntries() {
  if (namesByTag_.size() <= kStaleFactor * endpoints_.size() + kStaleAllowance) return;
  namesByTag_.clear();
  for (const auto& [name, endpoint] : endpoints_) namesByTag_[cluster::endpointTag(name)] = name;
  for (auto it = measurements_.begin(); it != measurements_.end();)
    it = endpoints_.count(it->first) > 0 ? std::next(it) : measurements_.erase(it);
}

const DiscoveredEndpoint* EndpointTracker::findByTag(std::uint64_t tag) const {
  const auto name = namesByTag_.find(tag);
  if (name == namesByTag_.end()) return nullptr;
  const auto endpoint = endpoints_.find(name->second);
  return endpoint == endpoints_.end() ? nullptr : &endpoint->second;
}

void EndpointTracker::recordResponse(const std::string& name, const cluster::GossipUpdate& update, Time now) {
  Measurements& m = measurements_[name];
  m.positionMs = std::max(m.positionMs, update.positionMs);
  if (update.latencyUs <= 0) return;
  const auto latencyUs = static_cast<double>(update.latencyUs);
  m.latencyUs = m.latencyUs > 0 ? m.latencyUs + kLatencyEwmaWeight * (latencyUs - m.latencyUs) : latencyUs;
  m.decayedResponses = decayedResponses(m, now) + 1;
  m.updatedAt = now;
}

double EndpointTracker::decayedResponses(const Measurements& m, Time now) {
  return m.decayedResponses * std::exp(-static_cast<double>((now - m.updatedAt).count()) /
                                       static_cast<double>(kRateTimeConstant.count()));
}

std::vector<EndpointRecord> EndpointTracker::records(Time now,
                                                     const std::vector<EndpointRecord>& fallback) const {
  constexpr double kRateSeconds = static_cast<double>(kRateTimeConstant.count()) / 1e6;
  std::vector<EndpointRecord> all;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.state != balancer::Lifecycle::Ready) continue;
    EndpointRecord record;
    record.name = name;
    record.address = endpoint.address.text();
    record.zone = endpoint.zone;
    record.group = endpoint.group;
    record.weight = endpoint.weight;
    record.startedMs = endpoint.startedMs;
    if (const auto m = measurements_.find(name); m != measurements_.end()) {
      record.latencyUs = m->second.latencyUs;
      record.responsesPerSecond = decayedResponses(m->second, now) / kRateSeconds;
      record.positionMs = m->second.positionMs;
    } else if (const EndpointRecord* const before = findByName(fallback, name)) {
      record.latencyUs = before->latencyUs;
      record.responsesPerSecond = before->responsesPerSecond;
    }
    all.push_back(std::move(record));
  }
  return all;
}

}  // namespace sablespur::recovery
