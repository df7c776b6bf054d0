// Tests of translation between protocol versions: statements and values, the protocol 2.0 codec,
// the extended query protocol, conversion of answers, session settings, startup messages and
// logins.
#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include "auth/scram.hpp"
#include "frontend/postgres/prepared_statements.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/extended.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/startup.hpp"
#include "protocol/postgres2/codec.hpp"
#include "protocol/postgres2/messages.hpp"
#include "protocol/postgres2/server_message_reader.hpp"
#include "support/secret.hpp"
#include "translation/answer.hpp"
#include "translation/parameters.hpp"
#include "translation/scanner.hpp"
#include "translation/settings.hpp"
#include "translation/values.hpp"

namespace sablespur {
namespace {

using namespace std::literals;
namespace tr = translation;

// ---- statements ---------------------------------------------------------------------------------------
std::string tokens(std::string_view statement, bool backslashes = false) {
  static const char names[] = "plsondcP";
  std::string all;
  tr::Scanner s(statement, backslashes);
  std::string_view piece;
  std::string joined;
  for (tr::Token t; (t = s.next(piece)) != tr::Token::End;) {
    all += names[static_cast<int>(t)];
    joined += piece;
  }
  EXPECT_EQ(joined, statement);
  return all + (s.complete() ? "" : "!");
}
TEST(Scanner, FindsStringsNamesCommentsAndParameters) {
  EXPECT_EQ(tokens("SELECT 'a''b', E'a\\'b', \"x'y\", $1 -- $2 'q\n, /* 'a' /* $3 */ */ $tag$ '$1' $tag$"),
            "plpspnpPpcpcpd");
  EXPECT_EQ(tokens("$$a$b$$ $1$2 a$1 x'ff' U&'a' U&\"b\" SELECT'a'"), "dpPPpopopnpl");
  EXPECT_EQ(tokens("'a\\'"), "l");
  EXPECT_EQ(tokens("'a\\'", true), "l!");
  EXPECT_EQ(tokens("'a\\'b'", true), "l");
  EXPECT_EQ(tokens("/* a"), "c!");
  EXPECT_EQ(tokens("$a$ b"), "d!");
  EXPECT_EQ(tokens("price$1 te'x'"), "pl");
}
TEST(Scanner, PiecesCoverRandomStatementsWithoutGaps) {
  pcg32 random(5);
  const std::string alphabet = "'\"$-/*\\eEa1 \n_&U";
  for (int k = 0; k < 20000; ++k) {
    std::string s;
    for (auto n = random(30); n > 0; --n) s += alphabet[random(static_cast<std::uint32_t>(alphabet.size()))];
    tokens(s, random(2) == 1);
  }
}
TEST(Literals, KeepTheirValueWhenBackslashEscapingDiffers) {
  EXPECT_EQ(tr::rewriteLiterals("SELECT 'a\\b', 'c', E'd\\e', \"f\\g\" /* 'h\\i' */", false, true),
            "SELECT E'a\\\\b', 'c', E'd\\e', \"f\\g\" /* 'h\\i' */");
  EXPECT_EQ(tr::rewriteLiterals("SELECT 'it\\'s', '\\\\x'", true, false), "SELECT E'it\\'s', E'\\\\x'");
  EXPECT_EQ(tr::rewriteLiterals("SELECT'a\\b'", false, true), "SELECT E'a\\\\b'");
  const std::string same = "SELECT 'a\\b' -- 'x\\";
  EXPECT_EQ(tr::rewriteLiterals(same, false, false), same);
  EXPECT_EQ(tr::quoteLiteral("it's"), "'it''s'");
  EXPECT_EQ(tr::quoteLiteral("a\\b"), "E'a\\\\b'");
  EXPECT_EQ(tr::quoteLiteral("a\0b"sv), std::nullopt);
}
TEST(Bytea, ReadsBothFormatsAndRoundTrips) {
  EXPECT_EQ(tr::readBytea("\\x41ff0a"), "A\xff\n");
  EXPECT_EQ(tr::readBytea("A\\377\\012\\\\"), "A\xff\n\\");
  for (const char* bad : {"\\x4", "\\xzz", "\\", "\\4", "\\400", "\\08a", "a\\"})
    EXPECT_EQ(tr::readBytea(bad), std::nullopt) << bad;
  pcg32 random(9);
  for (int k = 0; k < 500; ++k) {
    std::string bytes;
    for (auto n = random(200); n > 0; --n) bytes += static_cast<char>(random(256));
    for (const auto form : {tr::ByteaForm::Hex, tr::ByteaForm::Escape}) {
      const std::string text = tr::writeBytea(form, bytes);
      EXPECT_EQ(text.size(), tr::byteaLength(form, bytes));
      EXPECT_EQ(tr::readBytea(text), bytes);
    }
  }
}
TEST(Parameters, AreReplacedByLiteralsOutsideStringsAndComments) {
  const std::string s = "SELECT $1, '$1', \"$1\", $2::int /* $1 */ -- $1\n, $$ $1 $$, $1";
  EXPECT_EQ(tr::countParameters(s, false), 2u);
  const std::string long_(600, 'x');
  std::string why;
  EXPECT_EQ(tr::substitute(s, false, {{"x"sv, 0, false}, {"\xff\xff\xff\xfb"sv, tr::kInt4, true}}, 1000, why),
            "SELECT 'x', '$1', \"$1\", (-5)::int /* $1 */ -- $1\n, $$ $1 $$, 'x'");
  EXPECT_EQ(tr::substitute(s, false, {{std::string_view(long_), 0, false}, {"1"sv, 0, false}}, 1000, why),
            std::nullopt);
  EXPECT_EQ(why, "a statement that is too long with its parameters");
  // In the request comment a parameter is replaced by its unquoted value, if that cannot alter the
  // comment.
  const std::string run = "SELECT /* $1 */ $1 /* id=$2,c=read,k=$1 */";
  EXPECT_EQ(tr::countParameters(run, false), 2u);
  EXPECT_EQ(tr::substitute(run, false, {{"5"sv, 0, false}, {"a-1"sv, 0, false}}, 1000, why),
            "SELECT /* $1 */ '5' /* id=a-1,c=read,k=5 */");
  for (const std::string_view bad : {"a,c=write", "*/ DROP", "", "a b"})
    EXPECT_EQ(tr::substitute(run, false, {{"5"sv, 0, false}, {bad, 0, false}}, 1000, why), std::nullopt)
        << bad;
  EXPECT_EQ(tr::countParameters("SELECT $70000", false), std::nullopt);
  EXPECT_EQ(tr::countParameters("SELECT $0", false), std::nullopt);
  const auto literal = [&](std::optional<std::string_view> v, std::uint32_t type, bool binary) {
    return tr::literalOf({v, type, binary}, why).value_or("none");
  };
  EXPECT_EQ(literal(std::nullopt, 0, false), "NULL");
  EXPECT_EQ(literal("it's", 0, false), "'it''s'");
  EXPECT_EQ(literal("\xff\xff\xff\xfb"sv, tr::kInt4, true), "(-5)");
  EXPECT_EQ(literal("\0\5"sv, tr::kInt2, true), "5");
  EXPECT_EQ(literal("\x80\0\0\0\0\0\0\0"sv, tr::kInt8, true), "(-9223372036854775808)");
  EXPECT_EQ(literal("\xff\xff\xff\xff"sv, tr::kOid, true), "4294967295");
  EXPECT_EQ(literal("\1"sv, tr::kBool, true), "true");
  EXPECT_EQ(literal("\0\xff"sv, tr::kBytea, true), "E'\\\\x00ff'::bytea");
  EXPECT_EQ(literal("\x3f\xf8\0\0\0\0\0\0"sv, tr::kFloat8, true), "1.5");
  EXPECT_EQ(literal("\x12\x34\x56\x78\x9a\xbc\xde\xf0\x12\x34\x56\x78\x9a\xbc\xde\xf0"sv, tr::kUuid, true),
            "'12345678-9abc-def0-1234-56789abcdef0'::uuid");
  EXPECT_EQ(literal("\0\0\0"sv, tr::kInt4, true), "none");
  EXPECT_EQ(literal("x", 0, true), "none");
  EXPECT_EQ(why, "a binary parameter whose type was not said");
  EXPECT_EQ(literal("x", 1700, true), "none");
}

// ---- protocol 2.0 -------------------------------------------------------------------------------------
TEST(Protocol2, StartupAndCancelRequestHaveFixedLayouts) {
  postgres2::Startup s;
  s.database = "ledger";
  s.user = std::string(40, 'u');  // truncated to the field's size
  s.options = "-o x";
  const std::string packet = postgres2::startup(s);
  ASSERT_EQ(packet.size(), postgres2::kStartupLength);
  const auto back = postgres2::parseStartup(packet);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->database, "ledger");
  EXPECT_EQ(back->user, std::string(31, 'u'));
  EXPECT_EQ(back->options, "-o x");
  EXPECT_FALSE(postgres2::parseStartup(packet.substr(1)));
  std::string version3 = packet;
  version3[5] = 3;
  EXPECT_FALSE(postgres2::parseStartup(version3));
  const auto c = postgres2::parseCancel(postgres2::cancel({7, 0xdeadbeef}));
  ASSERT_TRUE(c);
  EXPECT_EQ(c->process, 7u);
  EXPECT_EQ(c->key, 0xdeadbeefu);
  EXPECT_FALSE(postgres2::parseCancel(postgres2::cancel({7, 1}) + "x"));
}
TEST(Protocol2, ClientMessagesEndAtTheirNul) {
  bool bad = false;
  const std::string q = postgres2::query("SELECT 1");
  for (std::size_t n = 0; n < q.size(); ++n)
    EXPECT_FALSE(postgres2::parseClientMessage(q.substr(0, n), bad)) << n;
  const std::string two = q + "X";
  const auto sent = postgres2::parseClientMessage(two, bad);
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->text, "SELECT 1");
  EXPECT_EQ(sent->size, q.size());
  EXPECT_FALSE(postgres2::parseClientMessage("P\0\0\0\5", bad));  // Parse exists only in protocol 3.0
  EXPECT_TRUE(bad);
  EXPECT_FALSE(postgres2::parseClientMessage("Q" + std::string(postgres2::kMaxQuery + 1, 'x'), bad));
  EXPECT_TRUE(bad);
  std::size_t size = 0;
  EXPECT_EQ(postgres2::parsePassword(postgres2::password("geheim"), size, bad), "geheim");
  EXPECT_EQ(size, 11u);
  EXPECT_FALSE(postgres2::parsePassword("\xff\xff\xff\xff", size, bad));
  EXPECT_TRUE(bad);
}
TEST(Protocol2, RowsHaveANullBitmap) {
  std::vector<postgres2::Column> columns;
  std::vector<postgres2::Value> values;
  for (int k = 0; k < 9; ++k) {
    columns.push_back({"c" + std::to_string(k), 25, -1, -1});
    values.push_back(k % 3 == 1 ? postgres2::Value() : postgres2::Value("v"));
  }
  values[8] = "";
  EXPECT_EQ(postgres2::row(values, false).substr(0, 3), "D\xb6\x80");
  for (const bool binary : {false, true}) {
    const std::string stream =
        postgres2::cursor() + postgres2::rowDescription(columns) + postgres2::row(values, binary) +
        postgres2::completed("SELECT") + postgres2::notice("n") + postgres2::error("ERROR:  e\n") +
        postgres2::keyData({1, 2}) + postgres2::authenticationMd5Password("salt") + postgres2::ready();
    // The stream is split at every byte.
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
      postgres2::Reader reader;
      std::string in = stream.substr(0, cut), types;
      std::vector<std::optional<std::string>> row;
      for (int half = 0; half < 2; ++half) {
        std::size_t size = 0;
        bool bad = false;
        while (const auto m = reader.take(in, size, bad)) {
          types += m->type;
          if (m->type == 'D' || m->type == 'B') row = m->row;
          in.erase(0, size);
        }
        ASSERT_FALSE(bad);
        in += half == 0 ? stream.substr(cut) : "";
      }
      ASSERT_EQ(types, binary ? "PTBCNEKRZ" : "PTDCNEKRZ") << cut;
      ASSERT_EQ(row.size(), 9u);
      for (std::size_t k = 0; k < 9; ++k) ASSERT_EQ(row[k].has_value(), values[k].has_value()) << k;
      ASSERT_EQ(row[8], "");
    }
  }
}

// ---- the extended query protocol ----------------------------------------------------------------------
TEST(ExtendedQuery, MessagesRoundTripAndFalseCountsAreRejected) {
  const std::string p = postgres::parseMessage("s1", "SELECT $1", {23, 0});
  const auto parse = postgres::parseParse(std::string_view(p).substr(postgres::kHeaderSize));
  ASSERT_TRUE(parse);
  EXPECT_EQ(parse->statement, "SELECT $1");
  EXPECT_EQ(parse->types, (std::vector<std::uint32_t>{23, 0}));
  postgres::Bind b;
  b.statement = "s1";
  b.formats = {0, 1, 1};
  b.values = {"text"sv, "\0\1"sv, std::nullopt};
  b.resultFormats = {1};
  const std::string m = postgres::bindMessage(b);
  const std::string_view body = std::string_view(m).substr(postgres::kHeaderSize);
  const auto back = postgres::parseBind(body);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->values[0], "text");
  EXPECT_EQ(back->values[1], "\0\1"sv);
  EXPECT_FALSE(back->values[2]);
  EXPECT_TRUE(back->binary(1) && !back->binary(0));
  for (std::size_t n = 0; n < body.size(); ++n) EXPECT_FALSE(postgres::parseBind(body.substr(0, n))) << n;
  b.formats = {0, 1};  // for three values: invalid, as it must have 0, 1 or 3 entries
  const std::string wrongCount = postgres::bindMessage(b);
  EXPECT_FALSE(postgres::parseBind(std::string_view(wrongCount).substr(postgres::kHeaderSize)));
  EXPECT_FALSE(postgres::parseBind("\0\0\xff\xff\0\0"sv));
  const std::string d = postgres::describeMessage({true, "p"}), e = postgres::executeMessage({"p", 5});
  EXPECT_TRUE(postgres::parseDescribeTarget(std::string_view(d).substr(postgres::kHeaderSize))->portal);
  EXPECT_EQ(postgres::parseExecute(std::string_view(e).substr(postgres::kHeaderSize))->maxRows, 5);
  EXPECT_FALSE(postgres::parseDescribeTarget("Xp\0"sv));
}

// ---- conversion of answers ----------------------------------------------------------------------------
using Row = std::vector<std::optional<std::string>>;
// Returns an answer as a data server encodes it in protocol 3.
std::string serverAnswer(const std::vector<std::uint32_t>& types, const std::vector<Row>& rows,
                         const std::string& tag) {
  const postgres::Codec server(2);
  std::vector<tr::Column> columns;
  static const std::string names[] = {"a", "b", "c", "d"};
  for (std::size_t k = 0; k < types.size(); ++k) columns.push_back({names[k], types[k], -1, -1, false});
  std::string all = types.empty() ? "" : server.columns(columns);
  for (const Row& r : rows) {
    std::vector<tr::Value> values;
    for (const auto& v : r) values.push_back(v ? tr::Value(*v) : tr::Value());
    all += server.row(values, false);
  }
  return all + server.commandComplete(tag);
}
TEST(Answers, AreEncodedForProtocol2) {
  const postgres2::Codec version2;
  tr::AnswerConverter c(version2, {tr::ByteaForm::Escape, {}}, true, 1 << 20);
  ASSERT_TRUE(postgres::readAnswer(
      serverAnswer({tr::kInt4, tr::kBytea}, {{"7", "\\x41ff"}, {std::nullopt, "A\\000"}}, "SELECT 2"), c));
  const std::string out = c.take();
  postgres2::Reader reader;
  std::string types;
  std::vector<Row> rows;
  std::size_t size = 0;
  bool bad = false;
  for (std::string_view in = out; const auto m = reader.take(in, size, bad); in.remove_prefix(size)) {
    types += m->type;
    if (m->type == 'D') rows.push_back(m->row);
    if (m->type == 'C') {
      EXPECT_EQ(m->text, "SELECT");
    }
  }
  EXPECT_EQ(types, "PTDDC");
  EXPECT_EQ(rows, (std::vector<Row>{{"7", "A\\377"}, {std::nullopt, "A\\000"}}));
}
TEST(Answers, AreConvertedToBinaryWhereRequested) {
  const postgres::Codec version3(0);
  tr::AnswerConverter c(version3, {std::nullopt, {1, 0}}, false, 1 << 20);
  ASSERT_TRUE(postgres::readAnswer(
      serverAnswer({tr::kInt4, tr::kText}, {{"-5", "-5"}, {std::nullopt, ""}}, "SELECT 2"), c));
  EXPECT_EQ(c.take(), postgres::message('D', "\0\2\0\0\0\4\xff\xff\xff\xfb\0\0\0\2-5"sv) +
                          postgres::message('D', "\0\2\xff\xff\xff\xff\0\0\0\0"sv) +
                          postgres::message('C', "SELECT 2\0"sv));
  EXPECT_EQ(tr::toBinary(tr::kBool, "t"), "\1");
  EXPECT_EQ(tr::toBinary(tr::kFloat8, "1.5"), "\x3f\xf8\0\0\0\0\0\0"sv);
  EXPECT_EQ(tr::toBinary(tr::kUuid, "12345678-9abc-def0-1234-56789abcdef0"),
            "\x12\x34\x56\x78\x9a\xbc\xde\xf0\x12\x34\x56\x78\x9a\xbc\xde\xf0"sv);
  EXPECT_EQ(tr::toBinary(tr::kInt2, "70000"), std::nullopt);
  EXPECT_EQ(tr::toBinary(1700, "1.5"), std::nullopt);
}
// literalOf is the inverse of toBinary.
TEST(Answers, BinaryIntegersRoundTrip) {
  pcg32 random(3);
  for (int k = 0; k < 2000; ++k) {
    const auto v = static_cast<std::int32_t>(random());
    const auto bytes = tr::toBinary(tr::kInt4, std::to_string(v));
    std::string why;
    ASSERT_TRUE(bytes);
    const std::string digits = std::to_string(v);
    EXPECT_EQ(tr::literalOf({*bytes, tr::kInt4, true}, why), v < 0 ? "(" + digits + ")" : digits);
  }
}
// After an invalid value, or one that exceeds the bound once converted, the output must be empty: a
// partial answer would otherwise reach the client.
TEST(Answers, AFailureLeavesNoPartialOutput) {
  const postgres::Codec version3(0);
  const auto failureOf = [&](const std::string& answer, tr::ResultFormat format, std::size_t maxBytes) {
    tr::AnswerConverter c(version3, std::move(format), true, maxBytes);
    EXPECT_FALSE(postgres::readAnswer(answer, c));
    EXPECT_EQ(c.take(), "");
    return c.failure();
  };
  EXPECT_EQ(failureOf(serverAnswer({tr::kBytea}, {{"\\x41"}, {"\\x4"}}, "SELECT 2"),
                      {tr::ByteaForm::Escape, {}}, 1 << 20),
            "a bytea that is in neither of its forms");
  EXPECT_EQ(failureOf(serverAnswer({1700}, {{"1.5"}}, "SELECT 1"), {std::nullopt, {1}}, 1 << 20),
            "a value of type 1700 that cannot be told in binary");
  const std::string big = tr::writeBytea(tr::ByteaForm::Hex, std::string(32 << 10, '\1'));  // 64 KiB of text
  EXPECT_EQ(
      failureOf(serverAnswer({tr::kBytea}, {{big}}, "SELECT 1"), {tr::ByteaForm::Escape, {}}, 128 << 10),
      "an answer that is too long in the form that was asked for");
  EXPECT_EQ(failureOf(serverAnswer({tr::kInt4}, {{"1"}}, "SELECT 1"), {std::nullopt, {1, 0}}, 1 << 20),
            "formats for 2 columns where there are 1");
  // A row that exceeds the bound is rejected before it is encoded.
  tr::AnswerConverter tooSmall(version3, {}, false, 100);
  EXPECT_TRUE(tooSmall.columns({{"a", tr::kText, -1, -1, false}}));
  EXPECT_FALSE(tooSmall.row({std::string_view(big)}));
  tr::AnswerConverter largeEnough(version3, {tr::ByteaForm::Escape, {}}, true, 129 << 10);
  EXPECT_TRUE(postgres::readAnswer(serverAnswer({tr::kBytea}, {{big}}, "SELECT 1"), largeEnough));
}
TEST(Answers, AreSuspendedAtTheRowLimit) {
  const postgres::Codec version3(0);
  tr::AnswerConverter c(version3, {}, false, 1 << 20, 2);
  ASSERT_TRUE(postgres::readAnswer(serverAnswer({tr::kText}, {{"1"}, {"2"}, {"3"}}, "SELECT 3"), c));
  EXPECT_TRUE(c.suspended());
  EXPECT_EQ(c.take(),
            postgres::message('D', "\0\1\0\0\0\0011"sv) + postgres::message('D', "\0\1\0\0\0\0012"sv));
}
TEST(Answers, TruncatedOrRepeatedOnesAreRejected) {
  const postgres::Codec version3(0);
  const std::string good = serverAnswer({tr::kText}, {{"1"}}, "SELECT 1");
  for (std::size_t n = 0; n < good.size(); ++n) {
    tr::AnswerConverter c(version3, {}, true, 1 << 20);
    EXPECT_FALSE(postgres::readAnswer(std::string_view(good).substr(0, n), c)) << n;
  }
  tr::AnswerConverter repeated(version3, {}, true, 1 << 20);
  EXPECT_FALSE(postgres::readAnswer(good + good, repeated));
}
TEST(ErrorReports, HaveTheFieldsThatEachVersionSupports) {
  tr::ErrorReport p;
  p.code = "53300";
  p.text = "no room";
  p.retryAfterMs = 250;
  EXPECT_EQ(postgres::Codec(0).errorResponse(p),
            postgres::message('E', "SERROR\0VERROR\0C53300\0Mno room\0D250\0\0"sv));
  EXPECT_EQ(postgres2::Codec().errorResponse(p), "EERROR:  no room\nRETRY:  250 ms\n\0"sv);
  // Fields of a newer server: clients of 3.0 get the fields defined then, clients of 3.2 get all,
  // and unknown fields are dropped.
  const auto q =
      postgres::parseErrorReport("SFEHLER\0VERROR\0C23505\0Mtwice\0Dof it\0ttable\0nunique\0Zodd\0\0"sv);
  EXPECT_EQ(q.severity, "ERROR");
  EXPECT_EQ(postgres::Codec(0).errorResponse(q),
            postgres::message('E', "SERROR\0VERROR\0C23505\0Mtwice\0Dof it\0\0"sv));
  EXPECT_EQ(postgres::Codec(2).errorResponse(q),
            postgres::message('E', "SERROR\0VERROR\0C23505\0Mtwice\0Dof it\0ttable\0nunique\0\0"sv));
  EXPECT_EQ(postgres2::Codec().errorResponse(q), "EERROR:  twice\nDETAIL:  of it\n\0"sv);
  EXPECT_EQ(postgres::parseErrorReport("SERROR\0C2350\0Mtwice\0\0"sv).code, "");
  EXPECT_EQ(postgres::parseErrorReport("SERROR\0C23505\0Mtwice"sv).code, "");
}

// ---- prepared statements and portals ------------------------------------------------------------------
std::string_view bodyOf(const std::string& message) {
  return std::string_view(message).substr(postgres::kHeaderSize);
}
PreparedStatements::Reply bindTo(PreparedStatements& p, std::string_view statement, std::string_view portal,
                                 std::vector<std::optional<std::string_view>> values) {
  postgres::Bind b;
  b.statement = statement;
  b.portal = portal;
  b.values = std::move(values);
  return p.bind(bodyOf(postgres::bindMessage(b)), false, 1 << 16);
}
// Each helper keeps its message alive during the call.
PreparedStatements::Reply parseIn(PreparedStatements& p, std::string_view name, std::string_view text,
                                  const std::vector<std::uint32_t>& types = {}) {
  const std::string m = postgres::parseMessage(name, text, types);
  return p.parse(bodyOf(m), false);
}
PreparedStatements::Reply executeIn(PreparedStatements& p, std::string_view portal, int maxRows,
                                    std::optional<PreparedStatements::Execution>& asked) {
  const std::string m = postgres::executeMessage({portal, maxRows});
  return p.execute(bodyOf(m), asked);
}
PreparedStatements::Reply describeIn(PreparedStatements& p, bool portal, std::string_view name) {
  const std::string m = postgres::describeMessage({portal, name});
  return p.describe(bodyOf(m));
}
TEST(PreparedStatements, CanBeBoundAndExecutedRepeatedly) {
  PreparedStatements p;
  EXPECT_EQ(parseIn(p, "s", "SELECT $1", {tr::kInt4}).messages, postgres::parseComplete());
  EXPECT_STREQ(parseIn(p, "s", "SELECT 2").errorCode, "42P05");
  std::optional<PreparedStatements::Execution> asked;
  for (const std::string value : {"5", "6"}) {
    EXPECT_EQ(bindTo(p, "s", "", {value}).messages, postgres::bindComplete());
    EXPECT_EQ(describeIn(p, true, "").messages, "");  // described with the rows
    EXPECT_FALSE(executeIn(p, "", 0, asked).errorCode);
    ASSERT_TRUE(asked);
    EXPECT_EQ(asked->statement, "SELECT '" + value + "'");
    EXPECT_TRUE(asked->sendRowDescription);
    p.onExecuted(std::string("\0\0", 2), false);
    EXPECT_FALSE(p.sync().errorCode);
  }
  // The result's columns are known once the statement has been executed.
  EXPECT_EQ(describeIn(p, false, "s").messages,
            postgres::parameterDescription({tr::kInt4}) + postgres::message('T', std::string("\0\0", 2)));
  EXPECT_STREQ(executeIn(p, "", 0, asked).errorCode, "34000");  // Sync ended the portal
  const std::string close = postgres::closeMessage({false, "s"});
  EXPECT_EQ(p.close(bodyOf(close)).messages, postgres::closeComplete());
  EXPECT_STREQ(bindTo(p, "s", "", {"5"}).errorCode, "26000");
  EXPECT_EQ(p.bytes(), 0u);
}
TEST(PreparedStatements, ReportErrorsByCode) {
  PreparedStatements p;
  std::optional<PreparedStatements::Execution> asked;
  parseIn(p, "", "SELECT $1, $2");
  const auto few = bindTo(p, "", "", {"5"});
  EXPECT_STREQ(few.errorCode, "08P01");
  EXPECT_EQ(few.errorText, "bind message supplies 1 parameters, but prepared statement \"\" requires 2");
  EXPECT_FALSE(bindTo(p, "", "p", {"5", "6"}).errorCode);
  EXPECT_STREQ(bindTo(p, "", "p", {"5", "6"}).errorCode, "42P03");
  describeIn(p, true, "p");
  EXPECT_STREQ(p.flush().errorCode, "0A000");  // a Flush before Execute
  EXPECT_FALSE(executeIn(p, "p", 1, asked).errorCode);
  EXPECT_EQ(asked->maxRows, 1u);
  p.onExecuted({}, true);
  EXPECT_EQ(executeIn(p, "p", 1, asked).errorText,
            "Execute that goes on where a row limit stopped is not supported");
  EXPECT_STREQ(p.parse("no", false).errorCode, "08P01");
  EXPECT_STREQ(p.describe("Xno").errorCode, "08P01");
  EXPECT_STREQ(parseIn(p, "big", "SELECT $65536").errorCode, "42P02");
}
TEST(PreparedStatements, AreLimitedInNumber) {
  PreparedStatements p;
  int accepted = 0;
  for (int k = 0; k < 1000; ++k) accepted += !parseIn(p, "s" + std::to_string(k), "SELECT 1").errorCode;
  EXPECT_EQ(accepted, 256);
  EXPECT_EQ(p.bytes(), 256u * 8);
}

// ---- session settings ---------------------------------------------------------------------------------
TEST(SessionSettings, AreReadFromSetStatementsAndStartupOptions) {
  tr::SessionSettings settings;
  EXPECT_EQ(tr::parseSet("SET Bytea_Output TO 'escape';"), std::make_pair("bytea_output"s, "escape"s));
  EXPECT_EQ(tr::parseSet("set session DateStyle='ISO, MDY'"), std::make_pair("datestyle"s, "ISO, MDY"s));
  for (const char* other :
       {"SELECT 1", "SET", "SET a", "SET a = 'b'; DROP TABLE c", "SETa = b", "SET a = b /* c */"})
    EXPECT_FALSE(tr::parseSet(other)) << other;
  EXPECT_FALSE(tr::apply(settings, "standard_conforming_strings", "off"));
  EXPECT_TRUE(settings.backslashes);
  EXPECT_EQ(tr::apply(settings, "standard_conforming_strings", "maybe"),
            "invalid value for parameter \"standard_conforming_strings\": \"maybe\"");
  EXPECT_TRUE(tr::apply(settings, "client_encoding", "LATIN1"));
  EXPECT_FALSE(tr::apply(settings, "client_encoding", "UTF8"));
  EXPECT_TRUE(tr::apply(settings, "role", "admin"));
  EXPECT_FALSE(tr::applyOptions(settings, "-c standard_conforming_strings=on --bytea-output=hex -o old"));
  EXPECT_FALSE(settings.backslashes);
  EXPECT_EQ(settings.bytea, tr::ByteaForm::Hex);
  EXPECT_TRUE(tr::applyOptions(settings, "-c geqo"));
}

// ---- startup and keys ---------------------------------------------------------------------------------
TEST(Startup, Version3RoundTrips) {
  postgres::Startup s;
  s.minor = 2;
  s.user = "desk";
  s.settings = {{"options", "-c a=b"}};
  s.extensions = {"_pq_.odd"};
  const std::string packet = postgres::startup(s);
  const auto back = postgres::parseStartup(packet);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->minor, 2);
  EXPECT_EQ(back->settings, s.settings);
  EXPECT_EQ(back->extensions, s.extensions);
  for (std::size_t n = 0; n < packet.size(); ++n)
    EXPECT_FALSE(postgres::parseStartup(packet.substr(0, n))) << n;
  EXPECT_EQ(postgres::agreedMinor(0), 0);
  EXPECT_EQ(postgres::agreedMinor(1), 0);
  EXPECT_EQ(postgres::agreedMinor(9), 2);
  const std::string negotiation = postgres::negotiate(0, {"_pq_.odd"});
  EXPECT_EQ(postgres::parseNegotiate(bodyOf(negotiation)), 0);
  EXPECT_EQ(postgres::parseNegotiate("\0\0\0\2\0\0\0\0"sv), 2);
  EXPECT_FALSE(postgres::parseNegotiate("\0\0\0\2\0\0\0\1"sv));
}
TEST(CancelKeys, MayHaveFourTo256Bytes) {
  for (const std::size_t n : {4u, 32u, 256u}) {
    const postgres::Key k{7, std::string(n, 'k')};
    EXPECT_EQ(postgres::parseCancel(postgres::cancel(k))->secret, k.secret);
    const std::string data = postgres::keyData(k);
    EXPECT_EQ(postgres::parseKeyData(bodyOf(data))->secret, k.secret);
  }
  EXPECT_FALSE(postgres::parseCancel(postgres::cancel({7, "abc"})));
  EXPECT_FALSE(postgres::parseCancel(postgres::cancel({7, std::string(257, 'k')})));
  EXPECT_TRUE(sameSecret("abcd", "abcd"));
  EXPECT_FALSE(sameSecret("abcd", "abcc"));
  EXPECT_FALSE(sameSecret("abcd", "abc"));
  EXPECT_NE(randomBytes(32), randomBytes(32));
}

// ---- logins -------------------------------------------------------------------------------------------
constexpr const char* kClientNonce = "rOprNGfwEbeRWgbNEkqO";
const std::string kServerFirst =
    "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096";
TEST(Scram, MatchesTheExampleOfRfc7677) {
  auth::ScramClient c("user", kClientNonce);
  EXPECT_EQ(c.first(), "n,,n=user,r=rOprNGfwEbeRWgbNEkqO");
  std::string why;
  const auto challenge = c.readChallenge(kServerFirst, why);
  ASSERT_TRUE(challenge) << why;
  EXPECT_EQ(c.final(auth::saltPassword("pencil", challenge->salt, challenge->iterations)),
            "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,p=dHzbZapWIk4jUhN+"
            "Ute9ytag9zjfMHgsqmmiz7AndVQ=");
  EXPECT_TRUE(c.verify("v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=", why));
  EXPECT_FALSE(c.verify("v=7rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=", why));  // tampered
  EXPECT_FALSE(c.verify("v=", why));
  EXPECT_FALSE(c.verify("e=other-error", why));
  EXPECT_FALSE(c.verify("", why));
}
TEST(Scram, ClientsRejectInvalidServerChallenges) {
  const auto fault = [](const std::string& m) {
    auth::ScramClient c("user", kClientNonce);
    std::string why;
    EXPECT_FALSE(c.readChallenge(m, why)) << m;
    return why;
  };
  EXPECT_EQ(fault("r=another,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096"), "a nonce that is not ours");
  EXPECT_EQ(fault("r=" + std::string(30, 'x') + ",s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096"),
            "a nonce that is not ours");
  EXPECT_EQ(fault("r="s + kClientNonce + ",s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096"), "a nonce that is not ours");
  EXPECT_EQ(fault("r="s + kClientNonce + "x,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=2000000000"),
            "an iteration count out of range");
  EXPECT_EQ(fault("r="s + kClientNonce + "x,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=0"),
            "an iteration count out of range");
  for (const std::string bad : {"", "r=", "m=ext,r=x,s=y,i=1", "s=W22ZaJ0SNY7soEsUEjb6gQ==,r=x,i=1"})
    fault(bad);
  fault("r="s + kClientNonce + "x,s=,i=4096");
  fault("r="s + kClientNonce + "x,s=*,i=4096");
  fault("r="s + kClientNonce + "x,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=-1");
  fault("r="s + kClientNonce + "x,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096x");
}
TEST(Scram, LoginSucceedsOnlyWithUnmodifiedMessagesAndTheRightPassword) {
  const auth::Verifier v = auth::makeVerifier("pencil", "0123456789abcdef", 4096);
  const auto stored = auth::parseVerifier(v.text());
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored->text(), v.text());
  for (const std::string bad : {"", "SCRAM-SHA-256$", "SCRAM-SHA-256$4096:x$y:z", "md5abc"})
    EXPECT_FALSE(auth::parseVerifier(bad));
  const auto login = [&](const std::string& password, auto modify) {
    auth::ScramServer s(*stored, "servernonce");
    auth::ScramClient c("a=b,c", "clientnonce");
    std::string why;
    const auto first = s.first(c.first(), why);
    if (!first) return "first: " + why;
    const auto challenge = c.readChallenge(*first, why);
    if (!challenge) return "challenge: " + why;
    std::string final = c.final(auth::saltPassword(password, challenge->salt, challenge->iterations));
    modify(final);
    const auto last = s.final(final, why);
    if (!last) return "final: " + why;
    return c.verify(*last, why) ? "in"s : "verify: " + why;
  };
  const auto unmodified = [](std::string&) {};
  EXPECT_EQ(login("pencil", unmodified), "in");
  EXPECT_EQ(login("pencils", unmodified), "final: a wrong password");
  EXPECT_EQ(login("pencil", [](std::string& m) { m.replace(m.find("servernonce"), 11, "othersnonce"); }),
            "final: the nonce differs from the first message");
  EXPECT_EQ(login("pencil", [](std::string& m) { m.replace(m.find("biws"), 4, "eSws"); }),
            "final: the channel binding differs from the first message");
  EXPECT_EQ(login("pencil", [](std::string& m) { m[m.size() - 5] = m[m.size() - 5] == 'A' ? 'B' : 'A'; }),
            "final: a wrong password");
  EXPECT_EQ(login("pencil", [](std::string& m) { m.resize(m.rfind(",p=")); }),
            "final: a malformed final message");
}
TEST(Md5, MatchesPostgres) {
  EXPECT_EQ(auth::md5Stored("user", "pencil"), "md520c46e3762c864548e296b33c3406aa9");
  EXPECT_EQ(auth::md5Answer(auth::md5Stored("user", "pencil"), "salt"),
            "md5d3d9bcccbaa2fb5234570d4d0f22b055");
  EXPECT_EQ(auth::md5Stored("u", "").size(), 35u);
  // PostgreSQL stores 'md5' || md5(password || user).
  EXPECT_EQ(auth::md5Stored("", ""), "md5d41d8cd98f00b204e9800998ecf8427e");
  EXPECT_NE(auth::md5Answer(auth::md5Stored("u", "p"), "salt"),
            auth::md5Answer(auth::md5Stored("u", "p"), "tlas"));
}

}  // namespace
}  // namespace sablespur
