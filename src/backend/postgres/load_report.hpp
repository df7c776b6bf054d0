// Parses the load report in a data server's answer to a health check.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"

namespace sablespur {

// Returns the values of `report` ("x0=1767225600.123,x1=1,inflight=7") in the order of `names`.
// `fields`: the meaning of each value; positions are in Unix seconds. Returns an empty vector if
// any value is missing, not a number or implausible at `now` (Unix time), because one bad value
// makes the whole report unreliable.
std::vector<double> parseLoadReport(std::string_view report, const std::vector<std::string>& names,
                                    const std::vector<balancer::ReportField>& fields, balancer::Time now);

}  // namespace sablespur
