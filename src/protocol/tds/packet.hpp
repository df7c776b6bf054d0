// TDS packets and the messages that they carry ([MS-TDS] 2.2.3.1). Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::tds {

constexpr std::size_t kHeaderSize = 8;
constexpr std::size_t kMinPacketSize = 512;
constexpr std::size_t kMaxPacketSize = 32767;
constexpr std::size_t kInitialPacketSize = 4096;  // until the login has agreed on another

enum class Type : std::uint8_t {
  SqlBatch = 1,
  Rpc = 3,
  Tabular = 4,  // what a server answers
  Attention = 6,
  BulkLoad = 7,
  TransactionManager = 14,
  Login7 = 16,
  Sspi = 17,
  PreLogin = 18
};

// Bits of a packet's status.
constexpr std::uint8_t kLast = 0x01;                     // the message ends with this packet
constexpr std::uint8_t kIgnore = 0x02;                   // the sender takes the message back
constexpr std::uint8_t kReset = 0x08;                    // reset the connection before this request
constexpr std::uint8_t kResetKeepingTransaction = 0x10;  // the same, but for the transaction

struct Header {
  Type type = Type::SqlBatch;
  std::uint8_t status = 0;
  std::size_t length = 0;  // of the packet, header included
  std::uint16_t session = 0;
};
// std::nullopt: the type is unknown or the length out of bounds. Packet numbers and windows are not checked,
// as the specification asks.
std::optional<Header> parseHeader(const char (&bytes)[kHeaderSize]);

// A message in packets of at most this size; an empty message is one packet.
std::string formatPackets(Type type, std::string_view message, std::size_t packetSize,
                          std::uint16_t session = 0);

// Assembles messages from bytes that arrive in pieces of any size.
class MessageAssembler {
 public:
  enum class Result { Incomplete, Message, Fault };

  // A packet longer than `packetSize` or a message longer than `maxMessage` is a fault.
  MessageAssembler(std::size_t packetSize, std::size_t maxMessage)
      : packetSize_(packetSize), maxMessage_(maxMessage) {}

  // Changes the packet size, once the login has agreed on another.
  void packetSize(std::size_t size) { packetSize_ = size; }

  // Takes bytes off the front of `in`, up to the end of a message. After Message, type(), status() and
  // message() are valid until the next call. A message that its sender takes back is skipped. A fault is
  // final.
  Result consume(std::string_view& in);

  Type type() const { return type_; }
  // Of the first packet, which says whether to reset the connection.
  std::uint8_t status() const { return status_; }
  const std::string& message() const { return message_; }
  // Why consume() gave Fault; nullptr: it has not.
  const char* fault() const { return fault_; }
  // Whether part of a message has arrived.
  bool inMessage() const { return state_ == State::InMessage || !header_.empty(); }

 private:
  enum class State { Idle, InMessage, Complete };

  // True once a header is whole and accepted; otherwise it is incomplete, or fault_ is set.
  bool takeHeader(std::string_view& in);
  // Why the packet can't follow what has arrived before; nullptr: it can.
  const char* faultOf(const Header& header) const;
  void takePayload(std::string_view& in);
  // After a whole packet: whether a message is complete.
  bool completeMessage();

  std::size_t packetSize_;
  const std::size_t maxMessage_;
  State state_ = State::Idle;
  std::string header_;  // what has arrived of the next packet's
  Header packet_;       // the packet being read
  std::size_t bytesLeft_ = 0;
  Type type_ = Type::SqlBatch;
  std::uint8_t status_ = 0;
  std::string message_;
  const char* fault_ = nullptr;
};

}  // namespace sablespur::tds
