#include "backend/postgres/load_report.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <optional>

namespace sablespur {
namespace {

// Largest plausible number of requests in a report.
constexpr double kMaxReportedRequests = 100000;
// How far a reported position may be ahead of this machine's clock, in seconds.
constexpr double kMaxPositionLead = 1;
constexpr double kMicrosecondsPerSecond = 1e6;

// Returns the value of the item `name`; std::nullopt if it is absent or not a number.
std::optional<double> findNumber(std::string_view report, std::string_view name) {
  for (std::size_t at = 0; at < report.size();) {
    const std::size_t end = std::min(report.find(',', at), report.size());
    const std::string_view item = report.substr(at, end - at);
    at = end + 1;
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos || item.substr(0, equals) != name) continue;
    const std::string_view text = item.substr(equals + 1);
    double value = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || stop != text.data() + text.size()) return std::nullopt;
    return value;
  }
  return std::nullopt;
}

bool isPlausible(balancer::ReportField field, double value, double nowSeconds) {
  switch (field) {
    case balancer::ReportField::Position:
      return value >= 0 && value <= nowSeconds + kMaxPositionLead;
    case balancer::ReportField::Primary:
      return value == 0 || value == 1;
    default:
      return value >= 0 && value <= kMaxReportedRequests;
  }
}

}  // namespace

std::vector<double> parseLoadReport(std::string_view report, const std::vector<std::string>& names,
                                    const std::vector<balancer::ReportField>& fields, balancer::Time now) {
  const double nowSeconds = static_cast<double>(now.count()) / kMicrosecondsPerSecond;
  std::vector<double> values;
  values.reserve(names.size());
  for (std::size_t k = 0; k < names.size(); ++k) {
    const std::optional<double> value = findNumber(report, names[k]);
    if (!value || !std::isfinite(*value) || !isPlausible(fields[k], *value, nowSeconds)) return {};
    values.push_back(*value);
  }
  return values;
}

}  // namespace sablespur
