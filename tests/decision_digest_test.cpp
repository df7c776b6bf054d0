// Compares the digest of each test's decisions with tests/data/decision-digests.txt, in a listener
// that is active in every run of this program. If UPDATE_DECISION_DIGESTS is set, a full run that
// passes rewrites the file instead (see CONTRIBUTING.md).
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

#include "decision_log.hpp"
#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

constexpr const char* kDigestFile = SABLESPUR_SOURCE "/tests/data/decision-digests.txt";
constexpr const char* kUpdateVariable = "UPDATE_DECISION_DIGESTS";

DecisionDigests readDigestFile() {
  std::ifstream file(kDigestFile);
  std::ostringstream text;
  text << file.rdbuf();
  return parseDecisionDigests(text.str());
}

std::string fullName(const testing::TestInfo& test) {
  return std::string(test.test_suite_name()) + "." + test.name();
}

// The names of all tests of this program, including those excluded by a filter.
std::set<std::string> allTests() {
  std::set<std::string> names;
  const testing::UnitTest& program = *testing::UnitTest::GetInstance();
  for (int k = 0; k < program.total_test_suite_count(); ++k) {
    const testing::TestSuite& suite = *program.GetTestSuite(k);
    for (int n = 0; n < suite.total_test_count(); ++n) names.insert(fullName(*suite.GetTestInfo(n)));
  }
  return names;
}

class DigestListener : public testing::EmptyTestEventListener {
 public:
  DigestListener() : updates_(std::getenv(kUpdateVariable) != nullptr) {}

 private:
  void OnTestProgramStart(const testing::UnitTest&) override {
    if (!updates_) expected_ = readDigestFile();
  }
  void OnTestStart(const testing::TestInfo& test) override { DecisionLog::current().begin(fullName(test)); }
  void OnTestEnd(const testing::TestInfo& test) override {
    if (!test.result()->Passed()) return;
    const std::optional<std::string> digest = DecisionLog::current().digest();
    if (updates_) {
      if (digest) recorded_[fullName(test)] = *digest;
      return;
    }
    const std::string difference = compareDecisionDigest(expected_, fullName(test), digest);
    if (!difference.empty()) ADD_FAILURE() << kDigestFile << ": " << difference;
  }
  void OnTestProgramEnd(const testing::UnitTest& program) override {
    if (!updates_) return;
    if (!program.Passed() || program.test_to_run_count() != program.total_test_count()) {
      std::fputs("decision digests are written only by a full run that passes\n", stderr);
      return;
    }
    std::ofstream(kDigestFile) << formatDecisionDigests(recorded_);
  }

  const bool updates_;
  DecisionDigests expected_, recorded_;
};

// GoogleTest takes ownership of the listener.
const bool listenerAdded = [] {
  testing::UnitTest::GetInstance()->listeners().Append(new DigestListener);
  return true;
}();

TEST(DecisionDigest, EveryDigestInTheFileIsOfATestThatExists) {
  ASSERT_TRUE(listenerAdded);
  if (std::getenv(kUpdateVariable)) GTEST_SKIP() << "this run rewrites the file";
  const DecisionDigests digests = readDigestFile();
  EXPECT_FALSE(digests.empty());
  const std::set<std::string> tests = allTests();
  for (const auto& [name, digest] : digests) EXPECT_EQ(tests.count(name), 1u) << name;
}

TEST(DecisionDigest, ADifferentMissingOrSuperfluousDigestIsAnError) {
  const DecisionDigests digests{{"Suite.Test", "0123456789abcdef"}};
  EXPECT_EQ(compareDecisionDigest(digests, "Suite.Test", "0123456789abcdef"), "");
  EXPECT_EQ(compareDecisionDigest(digests, "Suite.Other", std::nullopt), "");
  EXPECT_NE(compareDecisionDigest(digests, "Suite.Test", "0123456789abcdee"), "");
  EXPECT_NE(compareDecisionDigest(digests, "Suite.Other", "0123456789abcdef"), "");
  EXPECT_NE(compareDecisionDigest(digests, "Suite.Test", std::nullopt), "");
}

TEST(DecisionDigest, TheFileIsParsedAsFormattedAndMalformedLinesAreErrors) {
  const DecisionDigests digests{{"A.B", "0123456789abcdef"}, {"C/D.E/0", "fedcba9876543210"}};
  EXPECT_EQ(parseDecisionDigests(formatDecisionDigests(digests)), digests);
  for (const char* line : {"A.B\n", "A.B 0123\n", " 0123456789abcdef\n", "A.B 0123456789abcdeg\n",
                           "A.B 0123456789abcdef\nA.B 0123456789abcdef\n"})
    EXPECT_THROW(parseDecisionDigests(line), std::runtime_error) << line;
}

// Returns the digest of one scenario, recorded in a fresh log.
std::string digestOf(int delayMs) {
  DecisionLog::current().begin("scratch");
  BalancerFixture t;
  t.advance(delayMs);
  t.request(kAny);
  return DecisionLog::current().digest().value_or("");
}

TEST(DecisionDigest, EqualEventsGiveEqualDigestsAndOthersDiffer) {
  const std::string first = digestOf(1);
  EXPECT_EQ(first.size(), 16u);
  EXPECT_EQ(first, digestOf(1));
  EXPECT_NE(first, digestOf(2));
  DecisionLog::current().begin("scratch");
  EXPECT_FALSE(DecisionLog::current().digest()) << "a test without a Balancer has no digest";
}

}  // namespace
}  // namespace sablespur::balancer::test
