// Tests the load report that answers a health check: values are returned in order, and one missing
// or implausible value rejects the whole report.
#include "backend/postgres/load_report.hpp"

#include <gtest/gtest.h>

namespace sablespur {
namespace {

using balancer::ReportField;

struct LoadReportTest : testing::Test {
  const std::vector<std::string> names{"x0", "x1", "inflight"};
  const std::vector<ReportField> fields{ReportField::Position, ReportField::Primary, ReportField::Inflight};
  const balancer::Time now = std::chrono::seconds(1000);

  std::vector<double> parse(std::string_view report) const {
    return parseLoadReport(report, names, fields, now);
  }
};

TEST_F(LoadReportTest, ValuesAreReturnedInTheOrderOfTheNames) {
  EXPECT_EQ(parse("inflight=7,x1=1,x0=999.5"), (std::vector<double>{999.5, 1, 7}));
  EXPECT_EQ(parse("x0=999.5,other=no number,x1=0,inflight=0"), (std::vector<double>{999.5, 0, 0}));
}

TEST_F(LoadReportTest, MissingValueRejectsTheReport) {
  EXPECT_TRUE(parse("").empty());
  EXPECT_TRUE(parse("x0=999.5,x1=1").empty());
}

TEST_F(LoadReportTest, NonNumericValueRejectsTheReport) {
  EXPECT_TRUE(parse("x0=999.5,x1=1,inflight=seven").empty());
  EXPECT_TRUE(parse("x0=999.5,x1=1,inflight=7x").empty());
  EXPECT_TRUE(parse("x0=999.5,x1=1,inflight=").empty());
  EXPECT_TRUE(parse("x0=999.5,x1=1,inflight=nan").empty());
  EXPECT_TRUE(parse("x0=999.5,x1=1,inflight=inf").empty());
}

TEST_F(LoadReportTest, ImplausiblePositionRejectsTheReport) {
  EXPECT_FALSE(parse("x0=1001,x1=1,inflight=7").empty());
  EXPECT_TRUE(parse("x0=1001.1,x1=1,inflight=7").empty());
  EXPECT_TRUE(parse("x0=-1,x1=1,inflight=7").empty());
}

TEST_F(LoadReportTest, RoleOtherThanZeroOrOneRejectsTheReport) {
  EXPECT_TRUE(parse("x0=999.5,x1=0.5,inflight=7").empty());
}

TEST_F(LoadReportTest, ImplausibleRequestCountRejectsTheReport) {
  EXPECT_FALSE(parse("x0=999.5,x1=1,inflight=100000").empty());
  EXPECT_TRUE(parse("x0=999.5,x1=1,inflight=100001").empty());
  EXPECT_TRUE(parse("x0=999.5,x1=1,inflight=-1").empty());
}

}  // namespace
}  // namespace sablespur
