// Replication positions and roles as endpoints report them, in the forms that the balancer and other proxies
// take. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/balancer.hpp"
#include "cluster/gossip.hpp"
#include "engine/interfaces.hpp"

namespace sablespur {

// A position relative to `epoch`, rounded down so that data never look newer than they are; 0 where it lies
// before the epoch or is unknown.
float secondsSince(Time epoch, double unixSeconds);
std::uint32_t millisecondsSince(Time epoch, std::int64_t unixMs);  // below 2^30

// The balancer's word: the position in milliseconds above two bits, 1 for a primary and 2 for a replica.
std::uint32_t replicationStatusWord(Time epoch, const AttemptEnd&);
std::uint32_t replicationStatusWord(Time epoch, const cluster::GossipUpdate&);

// Position and role, with no endpoint tag and no latency.
cluster::GossipUpdate replicationStatusOf(const AttemptEnd&);
// The same of a health check; unknown where it failed. `fields` says what each value of the report means.
cluster::GossipUpdate replicationStatusOf(bool healthy, const std::vector<double>& report,
                                          const std::vector<balancer::ReportField>& fields);
// The report with its positions relative to `epoch`.
std::vector<float> reportSince(Time epoch, const std::vector<double>& report,
                               const std::vector<balancer::ReportField>& fields);

}  // namespace sablespur
