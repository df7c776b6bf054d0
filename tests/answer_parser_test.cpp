// Tests the order and format of the messages in a data server's answer, and how errors end an
// attempt.
#include "backend/postgres/answer_parser.hpp"

#include <gtest/gtest.h>

#include "protocol/postgres/messages.hpp"

namespace sablespur {
namespace {

using std::string_literals::operator""s;

const std::string kDescription = "\0\1v\0"s + std::string(18, '\0');
const std::string kValueRow = "\0\1\0\0\0\3abc"s;

struct AnswerParserTest : testing::Test {
  Buffer input = newBuffer();

  MessageFault takeRow(AnswerParser& parser, const std::string& body) {
    append(input.get(), postgres::message('D', body));
    return parser.takeRow(input.get(), body.size());
  }
  // The message types that are accepted next.
  static std::string expected(const AnswerParser& parser) {
    std::string types;
    for (const char type : "SNTDCEZRKv"s)
      if (parser.expects(type)) types += type;
    return types;
  }
  static ServerError errorOf(const char* code, const char* severity = "ERROR",
                             ConnectionPhase phase = ConnectionPhase::Query) {
    postgres::ErrorFields fields;
    fields.severity = severity;
    fields.code = code;
    return classifyServerError(fields, phase);
  }
};

TEST_F(AnswerParserTest, SingleValueRequiresDescriptionRowAndCompletionInOrder) {
  AnswerParser parser(AnswerKind::SingleValue);
  EXPECT_EQ(expected(parser), "SNTE");
  EXPECT_EQ(parser.takeDescription(kDescription), std::nullopt);
  EXPECT_EQ(expected(parser), "SNDE");
  EXPECT_EQ(takeRow(parser, kValueRow), std::nullopt);
  EXPECT_EQ(expected(parser), "SNCE");
  EXPECT_EQ(parser.takeCompletion("SELECT 1\0"s), std::nullopt);
  EXPECT_EQ(expected(parser), "SNZ");
  const AttemptEnd end = parser.finish(std::nullopt);
  EXPECT_EQ(end.result, AttemptResult::Ok);
  EXPECT_EQ(evbuffer_get_length(end.answer.messages.get()), postgres::kHeaderSize + kValueRow.size());
}

TEST_F(AnswerParserTest, AnyRowsAcceptsZeroOrMoreRows) {
  AnswerParser parser(AnswerKind::AnyRows);
  EXPECT_EQ(expected(parser), "SNTCE");
  ASSERT_EQ(parser.takeDescription(kDescription), std::nullopt);
  EXPECT_EQ(expected(parser), "SNDCE");
  EXPECT_EQ(takeRow(parser, kValueRow), std::nullopt);
  EXPECT_EQ(takeRow(parser, kValueRow), std::nullopt);
  EXPECT_EQ(expected(parser), "SNDCE");
}

TEST_F(AnswerParserTest, RowWithWrongLengthOrColumnCountIsMalformed) {
  for (const AnswerKind kind : {AnswerKind::SingleValue, AnswerKind::AnyRows}) {
    AnswerParser parser(kind);
    ASSERT_EQ(parser.takeDescription(kDescription), std::nullopt);
    EXPECT_EQ(takeRow(parser, "\0\1\0\0\0\4abc"s), MessageFault("a malformed row"));
    input = newBuffer();
    EXPECT_EQ(takeRow(parser, "\0\2\0\0\0\3abc"s), MessageFault("a malformed row"));
    input = newBuffer();
  }
}

TEST_F(AnswerParserTest, SingleValueCompletionMustReportOneRow) {
  AnswerParser single(AnswerKind::SingleValue);
  EXPECT_EQ(single.takeCompletion("SELECT 2\0"s), MessageFault("a malformed completion"));
  AnswerParser any(AnswerKind::AnyRows);
  EXPECT_EQ(any.takeCompletion("SELECT 2\0"s), std::nullopt);
}

TEST_F(AnswerParserTest, AnswerSizeIsLimited) {
  const AnswerParser parser(AnswerKind::AnyRows);
  EXPECT_TRUE(parser.hasRoomFor(256 << 10));
  EXPECT_FALSE(parser.hasRoomFor((256 << 10) + 1));
}

TEST_F(AnswerParserTest, CancelledAttemptEndsWithTheCancellationsResult) {
  AnswerParser parser(AnswerKind::SingleValue);
  parser.takeError(errorOf("57014"), "", false);
  EXPECT_EQ(parser.finish(AttemptResult::Timeout).result, AttemptResult::Timeout);
}

TEST_F(AnswerParserTest, AnswerCompletedBeforeCancellationCounts) {
  AnswerParser parser(AnswerKind::SingleValue);
  ASSERT_EQ(parser.takeDescription(kDescription), std::nullopt);
  ASSERT_EQ(takeRow(parser, kValueRow), std::nullopt);
  ASSERT_EQ(parser.takeCompletion("SELECT 1\0"s), std::nullopt);
  EXPECT_EQ(parser.finish(AttemptResult::Timeout).result, AttemptResult::Ok);
}

TEST_F(AnswerParserTest, InvalidStatementErrorIsTheAnswerOnlyIfForwarded) {
  AnswerParser forwarding(AnswerKind::SingleValue);
  forwarding.takeError(errorOf("42601"), "body", true);
  const AttemptEnd forwarded = forwarding.finish(std::nullopt);
  EXPECT_TRUE(forwarded.invalidStatement);
  EXPECT_TRUE(forwarded.answer.problem);
  EXPECT_EQ(evbuffer_get_length(forwarded.answer.messages.get()), postgres::kHeaderSize + 4);
  AnswerParser suppressing(AnswerKind::SingleValue);
  suppressing.takeError(errorOf("42601"), "body", false);
  EXPECT_EQ(suppressing.finish(std::nullopt).answer.messages, nullptr);
}

TEST_F(AnswerParserTest, ParametersSetRoleAndPosition) {
  AnswerParser parser(AnswerKind::SingleValue);
  parser.takeParameter("role", "replica");
  parser.takeParameter("applied_ms", "1767225600123");
  const AttemptEnd end = parser.finish(std::nullopt);
  EXPECT_EQ(end.role, Role::Replica);
  EXPECT_EQ(end.positionMs, 1767225600123);
}

TEST_F(AnswerParserTest, MalformedPositionIsIgnored) {
  AnswerParser parser(AnswerKind::SingleValue);
  parser.takeParameter("applied_ms", "1767225600123x");
  EXPECT_EQ(parser.finish(std::nullopt).positionMs, 0);
}

TEST_F(AnswerParserTest, ErrorsAreClassifiedBySqlState) {
  EXPECT_EQ(errorOf("53300").result, AttemptResult::Rejected);
  EXPECT_EQ(errorOf("25006").result, AttemptResult::TooStale);
  EXPECT_EQ(errorOf("72000").result, AttemptResult::TooStale);
  EXPECT_EQ(errorOf("XX000").result, AttemptResult::Error);
  EXPECT_EQ(errorOf("28P01", "FATAL", ConnectionPhase::Startup).result, AttemptResult::ConnectFailed);
  EXPECT_EQ(errorOf("53300", "FATAL", ConnectionPhase::Startup).result, AttemptResult::Rejected);
  EXPECT_TRUE(errorOf("53300", "FATAL").fatal);
  for (const char* const code : {"42601", "22P02", "08P01"}) EXPECT_TRUE(errorOf(code).invalidStatement);
  EXPECT_FALSE(errorOf("XX000").invalidStatement);
}

}  // namespace
}  // namespace sablespur
