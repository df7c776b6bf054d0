// Tests of TDS packets and PRELOGIN messages.
#include <gtest/gtest.h>

#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "protocol/tds/packet.hpp"
#include "protocol/tds/prelogin.hpp"

namespace sablespur::tds {
namespace {

constexpr std::size_t kMaxMessage = 1 << 20;
using Result = MessageAssembler::Result;

std::string text(std::size_t n) {
  std::string s;
  for (std::size_t k = 0; k < n; ++k) s.push_back(static_cast<char>('a' + k * 7 % 26));
  return s;
}

TEST(TdsPackets, RoundTripsMessagesOfAnyLengthAndPacketSize) {
  for (const std::size_t size : {512u, 513u, 4096u, 32767u})
    for (const std::size_t n : {0u, 1u, 503u, 504u, 505u, 1008u, 65536u}) {
      const std::string bytes = formatPackets(Type::SqlBatch, text(n), size, 7);
      MessageAssembler a(size, kMaxMessage);
      std::string_view in = bytes;
      ASSERT_EQ(a.consume(in), Result::Message) << size << " " << n;
      EXPECT_EQ(a.message(), text(n));
      EXPECT_EQ(a.type(), Type::SqlBatch);
      EXPECT_TRUE(in.empty());
      EXPECT_EQ(bytes.size(), n + kHeaderSize * std::max<std::size_t>(
                                                    1, (n + size - kHeaderSize - 1) / (size - kHeaderSize)));
    }
}
TEST(TdsPackets, AssemblesMessagesSplitAtEveryByte) {
  const std::string bytes =
      formatPackets(Type::Rpc, text(1500), 512) + formatPackets(Type::Attention, "", 512);
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    MessageAssembler a(512, kMaxMessage);
    std::vector<std::string> messages;
    for (std::string_view in :
         {std::string_view(bytes).substr(0, cut), std::string_view(bytes).substr(cut)}) {
      Result result = Result::Incomplete;
      while ((result = a.consume(in)) == Result::Message) messages.push_back(a.message());
      ASSERT_EQ(result, Result::Incomplete) << cut;
    }
    ASSERT_EQ(messages.size(), 2u) << cut;
    EXPECT_EQ(messages[0], text(1500));
    EXPECT_EQ(messages[1], "");
    EXPECT_FALSE(a.inMessage());
  }
}
TEST(TdsPackets, InvalidPacketsAreFaultsThatPersist) {
  const auto fault = [](std::string bytes, std::size_t size, std::size_t maxMessage) {
    MessageAssembler a(size, maxMessage);
    std::string_view in = bytes;
    if (a.consume(in) != Result::Fault) return std::string("none");
    std::string_view empty = "";
    EXPECT_EQ(a.consume(empty), Result::Fault);
    return std::string(a.fault());
  };
  EXPECT_EQ(fault(formatPackets(Type::SqlBatch, text(600), 4096), 512, kMaxMessage),
            "a packet longer than the negotiated packet size");
  EXPECT_EQ(fault(formatPackets(Type::SqlBatch, text(5000), 512), 512, 4000),
            "a message longer than the limit");
  std::string mixed = formatPackets(Type::SqlBatch, text(600), 512);
  mixed[512] = static_cast<char>(Type::Rpc);
  EXPECT_EQ(fault(mixed, 512, kMaxMessage), "a packet of another type within a message");
  EXPECT_EQ(fault(std::string("\x01\x01\x00\x07\0\0\0\0", 8), 512, kMaxMessage), "not a TDS packet");
  EXPECT_EQ(fault(std::string("\0\0\0\x08\x04\xd2\x16\x2f", 8), 512, kMaxMessage), "not a TDS packet")
      << "a PostgreSQL SSLRequest";
}
TEST(TdsPackets, SkipsCancelledMessages) {
  std::string bytes = formatPackets(Type::SqlBatch, text(600), 512);
  bytes[512 + 1] = kLast | kIgnore;
  bytes += formatPackets(Type::SqlBatch, "next", 512);
  MessageAssembler a(512, kMaxMessage);
  std::string_view in = bytes;
  ASSERT_EQ(a.consume(in), Result::Message);
  EXPECT_EQ(a.message(), "next");
}
TEST(TdsPreLogin, RoundTripsAndRejectsTruncatedMessages) {
  PreLogin p;
  p.version = 0x0f000fa0;
  p.encryption = Encryption::Off;
  p.mars = true;
  const std::string m = formatPreLogin(p);
  const auto back = parsePreLogin(m);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->version, p.version);
  EXPECT_EQ(back->encryption, p.encryption);
  EXPECT_TRUE(back->mars);
  for (std::size_t n = 0; n < m.size(); ++n) EXPECT_FALSE(parsePreLogin(m.substr(0, n))) << n;
  std::string outOfBounds = m;
  outOfBounds[1] = '\x7f';
  EXPECT_FALSE(parsePreLogin(outOfBounds));
}
TEST(TdsPackets, SurvivesCorruptedPacketsWithinTheMessageLimit) {
  pcg64 random(1);
  for (int round = 0; round < 2000; ++round) {
    std::string bytes = formatPackets(Type::Rpc, text(random() % 1200), 512);
    for (int k = 0; k < 3; ++k) bytes[random() % bytes.size()] = static_cast<char>(random());
    MessageAssembler a(512, 4096);
    std::string_view in = bytes;
    while (a.consume(in) == Result::Message) parsePreLogin(a.message());
    EXPECT_LE(a.message().size(), 4096u);
  }
}

}  // namespace
}  // namespace sablespur::tds
