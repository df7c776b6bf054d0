// Tests the parsers that do no I/O (statement comments, PostgreSQL messages, HTTP responses,
// endpoint lists) and the formatting and rate limit of the log.
#include <gtest/gtest.h>

#include <algorithm>

#include "discovery/endpoint_list.hpp"
#include "logging/log.hpp"
#include "protocol/http/http.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/statement_comment.hpp"

namespace sablespur {
namespace {

TEST(StatementComment, ParsesAllFieldsAndTheKey) {
  const std::string text =
      "SELECT blob FROM rows WHERE handle = 'a/*b*/' "
      "/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */";
  const postgres::Comment c = postgres::parseComment(text);
  ASSERT_EQ(c.fault, nullptr);
  EXPECT_EQ(c.id, "9b1f");
  EXPECT_EQ(c.className, "basket");
  EXPECT_EQ(c.timeLeftMs, 480u);
  EXPECT_EQ(text.substr(c.timeLeftOffset, c.timeLeftLength), "480");
  EXPECT_EQ(c.cluster, 2u);
  EXPECT_EQ(c.after, 1767225600123);
  EXPECT_EQ(postgres::parseKey(text), "a/*b*/");
}
TEST(StatementComment, RejectsMissingAndMalformedFields) {
  for (const char* text :
       {"", "SELECT 1", "/* id=1,cluster=2", "/* c=x,cluster=2 */", "/* id=,cluster=2 */", "/* id=1,c=x */",
        "/* id=1,cluster=x */", "/* id=1,cluster=-1 */", "/* id=1,cluster=65536 */",
        "/* id=1,cluster=1,d=1e3 */", "/* id=1,cluster=1,d= */", "/* id=1,cluster=1,d=99999999999 */",
        "/* id=1,cluster=1,after=soon */", "*/ id=1,cluster=2 /*", "/*/"})
    EXPECT_NE(postgres::parseComment(text).fault, nullptr) << text;
  EXPECT_EQ(postgres::parseComment("/* id=1,cluster=1 */").timeLeftLength, 0u);
}
TEST(PostgresMessages, HeaderLengthOutOfRangeIsRejected) {
  const auto head = [](std::uint32_t n) {
    const char bytes[postgres::kHeaderSize] = {'Q', static_cast<char>(n >> 24), static_cast<char>(n >> 16),
                                               static_cast<char>(n >> 8), static_cast<char>(n)};
    return postgres::parseHeader(bytes);
  };
  EXPECT_FALSE(head(3));
  EXPECT_FALSE(head(0xffffffff));
  EXPECT_FALSE(head(postgres::kMaxMessage + 1));
  ASSERT_TRUE(head(4));
  EXPECT_EQ(head(4)->bodySize, 0u);
  EXPECT_TRUE(head(2 * 65536 + 512));  // the longest value in hex
}
TEST(PostgresMessages, ErrorsRowsParametersAndTagsAreParsedStrictly) {
  const std::string e = postgres::error("ERROR", "53300", "full", "25");
  const postgres::ErrorFields f = postgres::parseError(std::string_view(e).substr(5));
  EXPECT_EQ(f.severity, "ERROR");
  EXPECT_EQ(f.code, "53300");
  EXPECT_EQ(f.text, "full");
  EXPECT_NE(e.find(std::string("D25\0", 4)), std::string::npos);
  EXPECT_EQ(postgres::parseError("Sno end").code, "");
  using namespace std::literals;
  EXPECT_EQ(postgres::parseColumn("\0\1\0\0\0\2ab"sv), "ab");
  EXPECT_EQ(postgres::parseColumn("\0\1\0\0\0\0"sv), "");
  EXPECT_FALSE(postgres::parseColumn("\0\1\xff\xff\xff\xff"sv));
  EXPECT_FALSE(postgres::parseColumn("\0\1\0\0\0\3ab"sv));
  EXPECT_FALSE(postgres::parseColumn("\0\2\0\0\0\2ab"sv));
  EXPECT_EQ(postgres::parseParameter("role\0replica\0"sv).second, "replica");
  EXPECT_EQ(postgres::parseParameter("role\0replica"sv).first, "");
  EXPECT_EQ(postgres::parseParameter("role\0replica\0more"sv).first, "");
  EXPECT_TRUE(postgres::isRowDescription("\0\1blob\0"s + std::string(18, '\0')));
  EXPECT_FALSE(postgres::isRowDescription("\0\1blob\0"s + std::string(17, '\0')));
  EXPECT_FALSE(postgres::isRowDescription("\0\2blob\0"s + std::string(18, '\0')));
  EXPECT_TRUE(postgres::isCommandTag("INSERT 0 1\0"sv, true));
  EXPECT_TRUE(postgres::isCommandTag("SHOW\0"sv, false));
  EXPECT_FALSE(postgres::isCommandTag("SELECT 0\0"sv, true));
  EXPECT_FALSE(postgres::isCommandTag("SELECT 1"sv, true));
  EXPECT_FALSE(postgres::isCommandTag("SELECT\0 1\0"sv, true));
  EXPECT_TRUE(postgres::isRowHeader({0, 1, 0, 1, 0, 0}, 6 + 65536));
  EXPECT_FALSE(postgres::isRowHeader({0, 1, 0, 1, 0, 1}, 6 + 65537));
  EXPECT_FALSE(postgres::isRowHeader({0, 1, 0, 0, 0, 5}, 6 + 4));
}

TEST(HttpResponse, ChunkedBodyMayBeSplitAtAnyOffset) {
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-ENCODING:  chunked\r\nX: y\r\n\r\n"
      "5;ext=1\r\n{\"a\":\r\n1\r\n1\r\nC\r\n}\n\n0123456\r\n\r\n0\r\nTrailer: z\r\n\r\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    http::Response r;
    std::string body;
    for (std::size_t at = 0; at < text.size(); at += step)
      ASSERT_TRUE(r.feed(std::string_view(text).substr(at, step), body)) << step;
    EXPECT_EQ(r.status(), 200);
    EXPECT_EQ(body, "{\"a\":1}\n\n0123456\r\n") << step;
    EXPECT_TRUE(r.complete());
  }
}
TEST(HttpResponse, BodiesWithContentLengthComplete) {
  http::Response r;
  std::string body;
  EXPECT_TRUE(r.feed("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\ndo", body));
  EXPECT_FALSE(r.complete());
  EXPECT_TRUE(r.feed("wn", body));
  EXPECT_TRUE(r.complete());
  EXPECT_EQ(r.status(), 503);
  EXPECT_EQ(body, "down");
  http::Response none;
  EXPECT_TRUE(none.feed("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", body));
  EXPECT_TRUE(none.complete());
}
TEST(HttpResponse, MalformedResponsesAreRejectedAtOnce) {
  for (const std::string& text :
       {std::string("nonsense that is long\r\n"), std::string("HTTP/1.1 2x0 OK\r\n"),
        std::string("HTTP/1.1 200 OK\r\nno colon\r\n"), std::string(9000, 'x'),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffffff\r\n")}) {
    http::Response r;
    std::string body;
    EXPECT_FALSE(r.feed(text, body)) << text.substr(0, 60);
  }
}

TEST(EndpointList, AllFieldsAreParsedAndErrorsNameTheKey) {
  const std::string text =
      R"({"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:5432","zone":"a",)"
      R"("machineType":"m2","cell":3,"lifecycle":"leaving","weight":1.5,"startedAtMs":7},)"
      R"({"instanceId":"s-2","lifecycle":"left"}]})";
  const EndpointList list = parseEndpointList(text);
  EXPECT_EQ(list.generation, 43u);
  EXPECT_FALSE(list.reset);
  ASSERT_EQ(list.instances.size(), 2u);
  EXPECT_EQ(list.instances[0].group, 3u);
  EXPECT_EQ(list.instances[0].state, balancer::Lifecycle::Draining);
  EXPECT_EQ(list.instances[0].startedMs, 7);
  EXPECT_EQ(list.instances[0].address.port(), 5432);
  EXPECT_EQ(list.instances[1].state, balancer::Lifecycle::Gone);
  const auto fault = [&](const std::string& from, const std::string& to) {
    std::string bad = text;
    bad.replace(bad.find(from), from.size(), to);
    try {
      parseEndpointList(bad);
    } catch (const BadInput& e) {
      return std::string(e.what());
    }
    return std::string("no fault");
  };
  EXPECT_NE(fault("43", "-1").find("generation"), std::string::npos);
  EXPECT_NE(fault("10.1.0.18:5432", "host:1").find("instances[0].hostPort"), std::string::npos);
  EXPECT_NE(fault("\"cell\":3", "\"cell\":70000").find("instances[0].cell"), std::string::npos);
  EXPECT_NE(fault("leaving", "gone").find("instances[0].lifecycle"), std::string::npos);
  EXPECT_NE(fault("\"instanceId\":\"s-2\"", "\"x\":1").find("instances[1].instanceId"), std::string::npos);
  EXPECT_THROW(parseEndpointList("{\"generation\":"), BadInput);
}

TEST(EndpointList, StreamMayBeSplitAtAnyOffset) {
  const std::string one = R"({"generation":1,"a":"}{\"\\","instances":[{"x":[]}]})",
                    two = "{\n  \"generation\": 2\n}";
  const std::string stream = "\n" + one + "\r\n\n" + two;
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EndpointListStream s;
    std::vector<std::string> whole;
    ASSERT_TRUE(s.feed(stream.substr(0, cut), whole)) << cut;
    const std::size_t before = whole.size();
    EXPECT_EQ(before, cut >= stream.size() ? 2u : cut > one.size() ? 1u : 0u) << cut;
    ASSERT_TRUE(s.feed(stream.substr(cut), whole)) << cut;
    EXPECT_EQ(whole, (std::vector<std::string>{one, two})) << cut;
  }
}
// An empty line means that the list is unchanged, and bytes of a list mean that it has changed.
// Whitespace alone must not count as activity of the server.
TEST(EndpointList, OnlyEmptyLinesAndListContentCountAsActivity) {
  struct Signs {
    std::size_t lines, bytes;
    bool operator==(const Signs& other) const { return lines == other.lines && bytes == other.bytes; }
  };
  const auto signs = [](EndpointListStream& s, const std::string& bytes) {
    const std::size_t lines = s.emptyLines(), before = s.significantBytes();
    std::vector<std::string> whole;
    EXPECT_TRUE(s.feed(bytes, whole)) << bytes;
    return Signs{s.emptyLines() - lines, s.significantBytes() - before};
  };
  EndpointListStream s;
  EXPECT_EQ(signs(s, "\n"), (Signs{1, 0}));
  EXPECT_EQ(signs(s, "  \r"), (Signs{0, 0}));
  EXPECT_EQ(signs(s, "{"), (Signs{0, 1}));
  EXPECT_TRUE(s.isInList());
  EXPECT_EQ(signs(s, "\n  \n"), (Signs{0, 0}));
  EXPECT_EQ(signs(s, "\"a\":\n[1,\n\n2"), (Signs{0, 8}));
  EXPECT_EQ(signs(s, "]}"), (Signs{0, 2}));
  EXPECT_FALSE(s.isInList());
  for (const std::string bad : {"x", "]", "{} }", "HTTP", "\"a\""}) {
    EndpointListStream other;
    std::vector<std::string> whole;
    EXPECT_FALSE(other.feed(bad, whole)) << bad;
  }
  EndpointListStream endless;
  std::vector<std::string> whole;
  EXPECT_TRUE(endless.feed("{\"a\":\"", whole));
  bool accepted = true;
  for (int k = 0; k < 100 && accepted; ++k) accepted = endless.feed(std::string(64 << 10, 'a'), whole);
  EXPECT_FALSE(accepted) << "an endless list must be rejected instead of exhausting memory";
}

// A failure that affects every request must not fill the log.
TEST(Log, LinesAreRateLimited) {
  testing::internal::CaptureStderr();
  for (int k = 0; k < 5000; ++k) logEvent(LogLevel::Info, "line", {{"k", k}});
  const std::string text = testing::internal::GetCapturedStderr();
  const auto lines = std::count(text.begin(), text.end(), '\n');
  EXPECT_GE(lines, 1);
  EXPECT_LT(lines, 1000);
  EXPECT_NE(text.find("level=info event=line k=0\n"), std::string::npos);
  EXPECT_EQ(text.rfind("ts=", 0), 0u);
}
// Logged values may contain untrusted input, which must neither start a new log line nor break a
// parser.
TEST(Log, ValuesAreEscapedInLogfmtAndJson) {
  const std::string bytes("a\"b\nlevel=error \x80\0\\", 19);
  EXPECT_EQ(
      formatEvent(LogForm::Logfmt, "seen", {{"what", bytes}, {"n", -3}, {"ok", true}, {"word", "plain"}}),
      "event=seen what=\"a\\\"b\\nlevel=error \\u0080\\u0000\\\\\" n=-3 ok=true word=plain");
  EXPECT_EQ(formatEvent(LogForm::Json, "seen", {{"what", bytes}, {"share", 0.25}, {"empty", ""}}),
            "\"event\":\"seen\",\"what\":\"a\\\"b\\nlevel=error "
            "\\u0080\\u0000\\\\\",\"share\":0.25,\"empty\":\"\"");
  EXPECT_LT(formatEvent(LogForm::Logfmt, "long", {{"what", std::string(1 << 20, 'x')}}).size(), 500u);
}

}  // namespace
}  // namespace sablespur
