#include <gtest/gtest.h>
#include <unistd.h>

#include <cstring>
#include <string>

#include "simulator/protocol.hpp"

namespace sablespur::simulator {
namespace {

using Bytes = std::vector<std::uint8_t>;

template <typename T>
void put(Bytes& b, T v) {
  const auto* p = reinterpret_cast<const std::uint8_t*>(&v);
  for (std::size_t k = 0; k < sizeof v; ++k) b.push_back(p[k]);
}
Bytes hex(const std::string& s) {
  Bytes b;
  std::string digits;
  for (const char c : s)
    if (c != ' ' && c != '\n') digits += c;
  for (std::size_t k = 0; k + 1 < digits.size(); k += 2)
    b.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(k, 2), nullptr, 16)));
  return b;
}
void record(Bytes& to, std::uint8_t code, const Bytes& fields) {
  put(to, code);
  put(to, static_cast<std::uint32_t>(fields.size()));
  to.insert(to.end(), fields.begin(), fields.end());
}
Bytes batch(std::uint64_t clock = 8412250) {
  Bytes b;
  put(b, clock);
  return b;
}

const char* const kSettings =
    "allowed.attemptsCap=8\nallowed.cancel=true\nallowed.maxRetryAfterUs=1000000\nallowed.parallelTries="
    "false\n"
    "allowed.probing=true\nallowed.retryAfter=true\nbalancers=3\nclasses.count=2\n"
    "classes.0.deadlineUs=500000\nclasses.0.effect=safe\nclasses.0.lateWorth=0.2\nclasses.0.promiseUs="
    "200000\n"
    "classes.0.worth=2.0\nclasses.1.deadlineUs=3000000\nclasses.1.effect=unsafe\nclasses.1.lateWorth=0.7\n"
    "classes.1.promiseUs=1000000\nclasses.1.worth=4.0\ndiscovery=automatic\nobligations.coldUs=18000000\n"
    "obligations.drainGraceUs=2000000\nobligations.fallMultiple=3.0\nobligations.fallUs=2000000\n"
    "obligations.startCapacity=0.26\ngoal.whole=0.5\ngoal.worstClass=0.2\n"
    "report.how=pull\nreport.names=x0,x1\nspecifics.checks=silent\nspecifics.classBoundUs=800000,0\n"
    "specifics.consistency=any,write\nspecifics.holdsForUs=0\nspecifics.roleListed=silent\n"
    "specifics.sessionMarks=remembered\nspecifics.stamps=false\nspecifics.synchronous=true\n"
    "specifics.zeroUs=1000\nstepUs=5000\na.key.nobody.knows=1\n";

Bytes provision(const std::string& settings, std::uint16_t instance = 3) {
  Bytes f;
  put(f, instance);
  put(f, std::uint64_t{42});
  put(f, static_cast<std::uint32_t>(settings.size()));
  f.insert(f.end(), settings.begin(), settings.end());
  return f;
}
// A batch that starts instance 3 with one listed endpoint.
Bytes started(const std::string& settings = kSettings) {
  Bytes b = batch();
  record(b, 3, provision(settings));
  record(b, 5, hex("00000000 01000000 0a124a07 431f 0000 0000 0b00 01 0000803f 0000803f 0000000000000000"));
  record(b, 10, hex("0300 02 2900000000000000 00000000"));
  return b;
}
// Returns the record codes of a reply, after checking its record count and length.
std::vector<int> codes(const Bytes& reply) {
  std::vector<int> all;
  std::uint32_t count = 0, length = 0;
  std::memcpy(&count, reply.data(), 4);
  std::memcpy(&length, reply.data() + 4, 4);
  EXPECT_EQ(length, reply.size() - 8);
  for (std::size_t at = 8; at < reply.size();) {
    all.push_back(reply[at]);
    std::uint32_t n = 0;
    std::memcpy(&n, &reply[at + 1], 4);
    at += 5 + n;
  }
  EXPECT_EQ(count, all.size());
  return all;
}
bool has(const std::vector<int>& v, int c) { return std::find(v.begin(), v.end(), c) != v.end(); }

TEST(SimulatorProtocol, AnEmptyBatchGivesAnEmptyReply) {
  Host h;
  const Bytes b = hex("5a5c800000000000");
  EXPECT_EQ(h.handle(b.data(), b.size(), 4), Bytes(8, 0));
}

TEST(SimulatorProtocol, ARequestBecomesADispatchInTheDocumentedLayout) {
  Host h;
  Bytes b = started();
  const Bytes order =
      hex("0300 c4913a5d 01 00000000 640ad2557c3bf091 0040ce43 da05940000000000 00003041 0000 e02e0000");
  record(b, 7, order);
  const Bytes reply = h.handle(b.data(), b.size(), 4);
  const Bytes dispatch = hex("41 14000000 0300 c4913a5d da05940000000000 0a124a07 431f");
  EXPECT_NE(std::search(reply.begin(), reply.end(), dispatch.begin(), dispatch.end()), reply.end());
  codes(reply);
  Bytes next = batch(8500000);
  record(next, 1, hex("0300 c4913a5d 00 0a124a07 431f 0000 44480000 01 8e630000 00"));
  record(next, 2, hex("0300 c4913a5d 00 0a124a07 431f 22240000"));
  record(next, 4, hex("0300 02000000 0400 68692037"));
  record(next, 6, hex("0300 0a124a07 431f 78050000 0000 02 2b87c640 00000000"));
  record(next, 8, hex("0300 192b6f0e"));
  record(next, 9, hex("0300 4d00000000000000"));
  record(next, 200, hex("0102"));  // a record of a later protocol version
  record(next, 11, hex("0300"));
  record(next, 9, hex("0300 4d00000000000000"));  // for an instance that has been stopped
  codes(h.handle(next.data(), next.size(), 4));
}

TEST(SimulatorProtocol, ATruncatedRecordIsMalformed) {
  const std::vector<std::pair<int, Bytes>> records{
      {3, provision(kSettings)},
      {5, hex("00000000 01000000 0a124a07 431f 0000 0000 0b00 01 0000803f 0000803f 0000000000000000")},
      {10, hex("0300 02 2900000000000000 00000000")},
      {7, hex("0300 c4913a5d 01 00000000 640ad2557c3bf091 0040ce43 da05940000000000 00003041 0000 e02e0000")},
      {1, hex("0300 c4913a5d 00 0a124a07 431f 0000 44480000 01 8e630000 01 00000000")},
      {6, hex("0300 0a124a07 431f 78050000 0000 02 2b87c640 00000000")},
      {8, hex("0300 192b6f0e")},
      {9, hex("0300 4d00000000000000")},
      {11, hex("0300")}};
  for (const auto& [code, fields] : records) {
    for (std::size_t n = 0; n < fields.size(); ++n) {
      Host h;
      const Bytes ready = started();
      h.handle(ready.data(), ready.size(), 4);
      Bytes b = batch();
      record(b, static_cast<std::uint8_t>(code),
             Bytes(fields.begin(), fields.begin() + static_cast<long>(n)));
      EXPECT_THROW(h.handle(b.data(), b.size(), 4), Malformed) << code << " cut at " << n;
    }
  }
  Bytes whole = started();
  for (std::size_t n = 0; n < whole.size(); ++n) {  // the batch as a whole
    Host h;
    const Bytes part(whole.begin(), whole.begin() + static_cast<long>(n));
    try {
      h.handle(part.data(), part.size(), 4);
    } catch (const Malformed& e) {
      EXPECT_NE(std::string(e.what()).find("at byte"), std::string::npos);
    }
  }
}

TEST(SimulatorProtocol, InvalidSettingsAreReportedByKeyAndValue) {
  const auto errorFor = [](std::string settings, const std::string& from, const std::string& to) {
    settings.replace(settings.find(from), from.size(), to);
    Host h;
    const Bytes b = started(settings);
    const Bytes reply = h.handle(b.data(), b.size(), 4);
    EXPECT_EQ(codes(reply), std::vector<int>{74});
    return std::string(reply.begin() + 17, reply.end());
  };
  EXPECT_NE(errorFor(kSettings, "balancers=3\n", "").find("balancers is missing"), std::string::npos);
  EXPECT_NE(errorFor(kSettings, "balancers=3", "balancers=few").find("'few'"), std::string::npos);
  EXPECT_NE(errorFor(kSettings, "checks=silent", "checks=maybe").find("specifics.checks"), std::string::npos);
  EXPECT_NE(errorFor(kSettings, "any,write", "any").find("specifics.consistency"), std::string::npos);
  EXPECT_NE(errorFor(kSettings, "attemptsCap=8", "attemptsCap=0").find("'0'"), std::string::npos);
  EXPECT_NE(errorFor(kSettings, "startCapacity=0.26", "startCapacity=nan").find("'nan'"), std::string::npos);
}

int runOn(const Bytes& input, Bytes* output = nullptr) {
  int in[2], out[2];
  EXPECT_EQ(pipe(in), 0);
  EXPECT_EQ(pipe(out), 0);
  EXPECT_EQ(write(in[1], input.data(), input.size()), static_cast<ssize_t>(input.size()));
  close(in[1]);
  const int status = run(in[0], out[1]);
  close(in[0]);
  close(out[1]);
  std::uint8_t buffer[4096];
  for (ssize_t n; (n = read(out[0], buffer, sizeof buffer)) > 0;)
    if (output) output->insert(output->end(), buffer, buffer + n);
  close(out[0]);
  return status;
}
TEST(SimulatorProtocol, TheInputMayEndBetweenFramesOnly) {
  const Bytes frame = hex("08000000 5a5c800000000000");
  EXPECT_EQ(runOn({}), 0);
  Bytes reply;
  EXPECT_EQ(runOn(frame, &reply), 0);
  EXPECT_EQ(reply, Bytes(8, 0));
  for (std::size_t n = 1; n < frame.size(); ++n)
    EXPECT_EQ(runOn(Bytes(frame.begin(), frame.begin() + static_cast<long>(n))), 1);
  EXPECT_EQ(runOn(hex("03000000 000000")), 1);
  EXPECT_EQ(runOn(hex("ffffffff 000000")), 1);
}

TEST(SimulatorProtocol, UnknownClassesAreRejectedAndNaNTokensMalformed) {
  Host h;
  Bytes b = started();
  record(b, 7,
         hex("0300 c4913a5d 01 00000000 0000000000000000 00000000 da05940000000000 00003041 6300 00000000"));
  EXPECT_TRUE(has(codes(h.handle(b.data(), b.size(), 4)), 66));
  Bytes c = batch();
  record(c, 7,
         hex("0300 c5913a5d 01 00000000 0000000000000000 00000000 da05940000000000 0000c07f 0000 00000000"));
  EXPECT_THROW(h.handle(c.data(), c.size(), 4), Malformed);
}

}  // namespace
}  // namespace sablespur::simulator
