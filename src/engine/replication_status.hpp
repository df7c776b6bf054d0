// Converts the replication positions and roles that endpoints report to the formats of the balancer
// and of gossip. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/balancer.hpp"
#include "cluster/gossip.hpp"
#include "engine/interfaces.hpp"

namespace sablespur {

// Return a position relative to `epoch`, rounded down so that data never look newer than they are;
// 0 if the position is unknown or before the epoch. Positions of 2^30 ms or more count as unknown
// in milliseconds.
float secondsSince(Time epoch, double unixSeconds);
std::uint32_t millisecondsSince(Time epoch, std::int64_t unixMs);  // below 2^30

// Returns the position in milliseconds, shifted left by two bits, with the role in the low bits: 1
// for a primary, 2 for a replica.
std::uint32_t replicationStatusWord(Time epoch, const AttemptEnd&);
std::uint32_t replicationStatusWord(Time epoch, const cluster::GossipUpdate&);

// Returns position and role, without endpoint tag and latency.
cluster::GossipUpdate replicationStatusOf(const AttemptEnd&);
// The same for a health check; position and role are unknown if it failed. `fields` gives the
// meaning of each value of the report.
cluster::GossipUpdate replicationStatusOf(bool healthy, const std::vector<double>& report,
                                          const std::vector<balancer::ReportField>& fields);
// Returns the report with its positions relative to `epoch`.
std::vector<float> reportSince(Time epoch, const std::vector<double>& report,
                               const std::vector<balancer::ReportField>& fields);

}  // namespace sablespur
