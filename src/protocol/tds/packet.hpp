// TDS packets and PRELOGIN ([MS-TDS] 2.2.3.1, 2.2.6.5). Pure: no sockets, no clock; what is read stays where
// it is but for a message in several packets, which is put together up to a bound.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::tds {

constexpr std::size_t kHeaderSize = 8, kMinPacketSize = 512, kMaxPacketSize = 32767,
                      kInitialPacketSize = 4096;

enum class Type : std::uint8_t {
  SqlBatch = 1,
  Rpc = 3,
  Tabular = 4,  // of a server
  Attention = 6,
  BulkLoad = 7,
  TransactionManager = 14,
  Login7 = 16,
  Sspi = 17,
  PreLogin = 18
};
enum Status : std::uint8_t { kLast = 0x01, kIgnore = 0x02, kReset = 0x08, kResetKeepingTransaction = 0x10 };

struct Header {
  Type type = Type::SqlBatch;
  std::uint8_t status = 0;
  std::size_t length = 0;  // the header included
  std::uint16_t session = 0;
};
// Nothing: no packet of this protocol begins like this. Numbers of packets and windows are not looked at, as
// the specification has it.
std::optional<Header> parseHeader(const char (&bytes)[kHeaderSize]);

// A message in packets of that size at most; an empty one is one packet.
std::string formatPackets(Type, std::string_view message, std::size_t packetSize, std::uint16_t session = 0);

// Puts messages together from bytes that come in pieces of any size.
class MessageAssembler {
 public:
  // A packet longer than the one agreed on, or a message longer than `most`, is a fault.
  MessageAssembler(std::size_t packetSize, std::size_t most) : packetSize_(packetSize), maxMessage_(most) {}
  void packetSize(std::size_t n) { packetSize_ = n; }  // once the login has agreed on another

  enum class Result { Incomplete, Message, Fault };
  // Takes what it can off the front of `in`. After Message: type(), message() until the next call. A message
  // that its sender took back (the ignore bit on its last packet) is passed over.
  Result consume(std::string_view& in);
  Type type() const { return type_; }
  std::uint8_t status() const {
    return status_;
  }  // of the first packet: whether the connection is to be reset
  const std::string& message() const { return message_; }
  const char* fault() const { return fault_; }
  bool inMessage() const { return inMessage_ || !head_.empty(); }  // part of one has come

 private:
  Result fail(const char* why);
  std::size_t packetSize_;
  const std::size_t maxMessage_;
  std::string head_, message_;
  std::size_t bytesLeft_ = 0;  // of the packet under way
  Header packet_;
  Type type_ = Type::SqlBatch;
  std::uint8_t status_ = 0;
  bool inMessage_ = false, done_ = false;
  const char* fault_ = nullptr;
};

enum class Encryption : std::uint8_t { Off = 0, On = 1, NotSupported = 2, Required = 3 };
struct PreLogin {
  std::uint32_t version = 0;  // major, minor, build
  Encryption encryption = Encryption::NotSupported;
  bool mars = false;
};
std::optional<PreLogin> parsePreLogin(std::string_view message);  // nothing: its offsets or lengths lie
std::string formatPreLogin(const PreLogin&);

}  // namespace sablespur::tds
