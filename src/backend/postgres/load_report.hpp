// Parses the load report that a data server answers a health check with.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"

namespace sablespur {

// The values of `report` ("x0=1767225600.123,x1=1,inflight=7") in the order of `names`; `fields` says what
// each of them means. Positions are Unix seconds. Empty where a value is missing, is no number or can't be
// right at `now` (Unix time): one bad value discredits the whole report.
std::vector<double> parseLoadReport(std::string_view report, const std::vector<std::string>& names,
                                    const std::vector<balancer::ReportField>& fields, balancer::Time now);

}  // namespace sablespur
