// Whole-program scenarios of clients and data servers with different protocol versions.
// scenario.hpp documents the steps.
#include "scenario.hpp"

namespace sablespur::test {
namespace {

Setting iniSetting(const std::string& dataServers = "", const std::string& clients = "") {
  Setting s;
  s.ini = true;
  s.dataServers = dataServers;
  s.clients = clients;
  return s;
}

TEST(ProtocolVersions, Version2ClientReadsAndWrites) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 2.0
    o1 gets seen RKZ
    o1 asks SELECT a /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query SELECT a /* id=1,c=read,d=6
    s2 send cells 23=7 25=NULL 17=\x41ff
    o1 gets row 7 | NULL | A\377
    o1 asks SELECT a /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    s2 send cells 25=x
    o1 gets seen PTDCZ
    o1 asks INSERT INTO t /* id=3,c=write,d=7000,cluster=3,k=9 */
    s1 expect query id=3
    s1 send done INSERT 0 1
    o1 gets tag INSERT 0 1
    o1 asks
    o1 gets seen IZ
  )");
}
TEST(ProtocolVersions, Version2ErrorsAreASingleString) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 2.0
    o1 gets in
    o1 asks SELECT a /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send problem 42P01 missing
    o1 gets error ERROR:  missing
    o1 asks SELECT a /* id=2,c=odd,d=7000,cluster=3 */
    o1 gets error ERROR:  unknown class
    o1 asks SELECT a /* id=3,c=read,d=7000,cluster=9 */
    o1 gets error ERROR:
  )");
}
// Protocol 2.0 has no Parse message, and messages of 2.0 have no length to skip it by: the client
// gets an error and its connection is closed.
TEST(ProtocolVersions, Version2ClientThatSendsAVersion3MessageGetsAnError) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 2.0
    o1 gets in
    o1 sends 500000000a0000
    o1 gets error a message that protocol 2.0 does not have here: 'P'
    o1 gets closed
    o2 speaks 2.0
    o2 gets in
    o2 sends 46
    o2 gets error function calls are not supported here
    o2 gets closed
  )");
}
TEST(ProtocolVersions, Version2IsRejectedIfDisabled) {
  Scenario t(iniSetting("", "version_2 = no\n"));
  t.run(R"(
    c1 send bytes 00 00 01 28 00 02 00 00
    c1 send bytes )" +
        [] {
          std::string zeros;
          for (int k = 0; k < 288; ++k) zeros += "00 ";
          return zeros;
        }() +
        R"(
    c1 expect error 0A000
    c1 expect closed
  )");
}
TEST(ProtocolVersions, MinorVersionsAreNegotiated) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 3.0
    o1 gets seen RSSSSSSKZ
    o2 speaks 3.2
    o2 gets seen RSSSSSSKZ
    o3 speaks 3.2 _pq_.odd=1
    o3 gets seen vRSSSSSSKZ
    o3 asks SELECT a /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    o3 gets row v
  )");
}
// Error fields added after PostgreSQL 7.4 are sent to 3.2 clients only. The stand-in for a 3.0
// client reads the error in either case.
TEST(ProtocolVersions, ServerErrorsAreTranslatedForTheClient) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 asks SELECT a /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send problem 42P01 missing
    o1 gets error 42P01 missing
  )");
  Scenario hidden(iniSetting("", "statement_errors = hidden\n"));
  hidden.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 asks SELECT a /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send problem 42P01 missing
    o1 gets error 40003
  )");
}

// ---- extended queries ---------------------------------------------------------------------------------
TEST(ProtocolVersions, ExtendedQueriesBecomeSimpleOnes) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 runs SELECT a FROM t WHERE b = $1 AND c = $2 AND e = $3 /* id=$4,c=read,d=7000,cluster=3 */ | it's | 23:fffffffb | NULL | run-1
    s2 expect query SELECT a FROM t WHERE b = 'it''s' AND c = (-5) AND e = NULL /* id=run-1,c=read,d=6
    s2 send cells 23=7 25=x
    o1 gets seen 12TDCZ
    o1 binary SELECT a /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    s2 send cells 23=65 17=\x4142
    o1 gets row )" +
        std::string("\x00\x00\x00", 3) + R"(A | AB
    o1 runs INSERT INTO t VALUES ($1) /* id=3,c=write,d=7000,cluster=3,k=1 */ | a\b
    s1 expect query INSERT INTO t VALUES (E'a\\b') /* id=3
    s1 send done INSERT 0 1
    o1 gets seen 12nCZ
    o1 runs
    o1 gets seen 12nIZ
  )");
}
TEST(ProtocolVersions, MessagesAfterAnErrorAreSkippedUntilSync) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 3.2
    o1 gets in
    o1 runs SELECT $1, $2 /* id=1,c=read,d=7000,cluster=3 */ | only
    o1 gets seen 1EZ
    o1 runs SELECT $1 /* id=2,c=read,d=7000,cluster=3 */ | 1700:0001
    o1 gets error 0A000 a binary parameter of type 1700
    o1 runs SELECT $1 /* id=3,c=read,d=7000,cluster=3 */ | only
    s2 expect query SELECT 'only' /* id=3
    s2 send problem 22012 zero
    o1 gets error 22012 zero
    o1 binary SELECT 1 /* id=4,c=read,d=7000,cluster=3 */
    s2 expect query id=4
    s2 send cells 1700=1.5
    o1 gets error 22P03 the answer cannot be told: a value of type 1700 that cannot be told in binary
    o1 asks SELECT 1 /* id=5,c=read,d=7000,cluster=3 */
    s2 expect query id=5
    s2 send row v
    o1 gets row v
  )");
}
TEST(ProtocolVersions, PipelinedExtendedQueriesAreAnsweredInOrder) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 runs SELECT $1 /* id=1,c=read,d=7000,cluster=3 */ | a
    o1 runs SELECT $1 /* id=2,c=odd,d=7000,cluster=3 */ | b
    o1 runs SELECT $1 /* id=3,c=read,d=7000,cluster=3 */ | c
    o1 asks SELECT 4 /* id=4,c=read,d=7000,cluster=3 */
    s2 expect query SELECT 'a'
    s2 send row one
    s2 expect query SELECT 'c'
    s2 send row three
    s2 expect query SELECT 4
    s2 send row four
    o1 gets row one
    o1 gets error 42704 unknown class
    o1 gets row three
    o1 gets row four
  )");
}
TEST(ProtocolVersions, UnsupportedMessagesGetErrorsAndTheConnectionStaysInSync) {
  Scenario t(iniSetting());
  // Parse of "s" with one parameter, Describe of it, Sync; then Close of it and Sync.
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 sends 50 00000012 7300 53454c45435420243100 0000 44 00000007 53 7300 53 00000004
    o1 gets error 0A000 Describe of a statement that has not run here
    o1 sends 43 00000007 53 7300 53 00000004
    o1 gets seen 3Z
    o1 asks SET search_path = x
    o1 gets error 22023 setting "search_path" is not supported here
    o1 asks SET bytea_output TO 'escape'
    o1 gets tag SET
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send cells 17=\x41ff
    o1 gets row A\377
  )");
}

// ---- values and literals ------------------------------------------------------------------------------
TEST(ProtocolVersions, LiteralsAreRewrittenForTheServersStringSyntax) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 2.0
    o1 gets in
    o1 asks SELECT 'a\'b', 'c' /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query SELECT E'a\'b', 'c' /* id=1,c=read,d=6
    s2 send row v
    o1 gets row v
    o2 speaks 3.0 options=standard_conforming_strings=off
    o2 gets in
    o2 asks SELECT 'a\\b' /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query SELECT E'a\\b' /* id=2
    s2 send row v
    o2 gets row v
    o2 asks SET standard_conforming_strings = on
    o2 gets seen CSZ
    o2 asks SELECT 'a\b' /* id=3,c=read,d=7000,cluster=3 */
    s2 expect query SELECT 'a\b' /* id=3
    s2 send row v
    o2 gets row v
    s2 says standard_conforming_strings=off
    s2 close idle
    s2 wait idle 2
    o1 asks SELECT 'a\'b' /* id=4,c=read,d=7000,cluster=3 */
    s2 expect query SELECT 'a\'b' /* id=4
    s2 send row v
    o1 gets row v
  )");
}
// The reverse: a client with standard_conforming_strings=on in front of a server with it off.
TEST(ProtocolVersions, BackslashesAreDoubledWithoutStandardConformingStrings) {
  Scenario t(iniSetting());
  t.run(R"(
    s2 says standard_conforming_strings=off
    s2 close idle
    s2 wait idle 2
    o1 speaks 3.0
    o1 gets in
    o1 asks SELECT 'a\b' /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query SELECT E'a\\b' /* id=1
    s2 send row v
    o1 gets row v
  )");
}
// 64 KiB in hex form become 128 KiB in escape form.
TEST(ProtocolVersions, LongValueGrowsInEscapeForm) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 2.0
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send cells 17=\x)" +
        std::string(65000, '0') + R"(
    o1 gets row )" +
        [] {
          std::string zeros;
          for (int k = 0; k < 32500; ++k) zeros += "\\000";
          return zeros;
        }());
}
// No part of the result with a malformed value is sent; the only answer is an error.
TEST(ProtocolVersions, FailedTranslationOfAResultIsASingleError) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 2.0
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send cells 23=1 17=\x4142zz
    o1 gets seen EZ
    o1 asks SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    s2 send row v
    o1 gets row v
  )");
}
TEST(ProtocolVersions, StatementWithoutADeadlineIsForwardedUnchanged) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,cluster=3 */
    s2 expect query SELECT 1 /* id=1,c=read,cluster=3 */
    s2 send row v
    o1 gets row v
  )");
}
// With answers = value, a result with more than one value counts as malformed, and the request is
// retried.
TEST(ProtocolVersions, MultiValueResultIsRetriedIfASingleValueIsExpected) {
  Scenario t(iniSetting("answers = value\n"));
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send cells 23=1 23=2
    s1 expect query id=1
    s1 send row v
    o1 gets row v
  )");
}

// ---- servers of another minor version -----------------------------------------------------------------
TEST(ProtocolVersions, FallsBackFromVersion32To30WithAnOlderServer) {
  for (const std::string serverProtocol : {"3.2", "old", "fatal"}) {
    SCOPED_TRACE(serverProtocol);
    Setting s = iniSetting("protocol = 3.2\n");
    s.serverProtocol = serverProtocol;
    Scenario t(s);
    t.run(R"(
      s2 wait idle 2
      o1 speaks 2.0
      o1 gets in
      o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
      s2 expect query id=1
      s2 send row v
      o1 gets row v
      s2 close idle
      s2 wait idle 2
      s2 expect minor )" +
          std::string(serverProtocol == "3.2" ? "2" : "0"));  // a rejected version is not requested again
  }
}

// ---- cancels ------------------------------------------------------------------------------------------
TEST(ProtocolVersions, CancelEndsTheRequestWithASingleError) {
  for (const std::string version : {"2.0", "3.0", "3.2"}) {
    SCOPED_TRACE(version);
    Scenario t(iniSetting());
    t.run("o1 speaks " + version + R"(
      o1 gets in
      o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
      s2 expect query id=1
      o1 cancels wrong
      o1 cancels long
      s2 send row untouched
      o1 gets row untouched
      o1 cancels
      o1 asks SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
      s2 expect query id=2
      o1 cancels
      s2 expect closed
      o1 gets error canceling statement due to user request
      o1 cancels
      o1 asks SELECT 1 /* id=3,c=read,d=7000,cluster=3 */
      s2 expect query id=3
      s2 send row v
      o1 gets row v
    )");
  }
}
// A cancel key of the length used in 3.0 is invalid in 3.2.
TEST(ProtocolVersions, CancelWithAKeyOfAnotherVersionsLengthIsIgnored) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 3.2
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    o1 cancels short
    s2 send row v
    o1 gets row v
  )");
}
TEST(ProtocolVersions, CancelEndsARequestThatIsBeingRetried) {
  Scenario t(iniSetting());
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 runs SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send error 53300
    s1 expect query id=1
    s1 send error 53300
    o1 cancels
    o1 gets seen 12EZ
  )");
}

}  // namespace
}  // namespace sablespur::test
