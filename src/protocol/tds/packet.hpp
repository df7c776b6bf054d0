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
constexpr std::size_t kInitialPacketSize = 4096;  // until the login negotiates another

enum class Type : std::uint8_t {
  SqlBatch = 1,
  Rpc = 3,
  Tabular = 4,  // a server's response
  Attention = 6,
  BulkLoad = 7,
  TransactionManager = 14,
  Login7 = 16,
  Sspi = 17,
  PreLogin = 18
};

// Bits of a packet's status field.
constexpr std::uint8_t kLast = 0x01;                     // last packet of the message
constexpr std::uint8_t kIgnore = 0x02;                   // the sender cancels the message
constexpr std::uint8_t kReset = 0x08;                    // reset the connection before this request
constexpr std::uint8_t kResetKeepingTransaction = 0x10;  // the same, but keep the transaction

struct Header {
  Type type = Type::SqlBatch;
  std::uint8_t status = 0;
  std::size_t length = 0;  // of the packet, header included
  std::uint16_t session = 0;
};
// Returns std::nullopt when the type is unknown or the length is out of bounds. Packet numbers and
// windows are not checked, as the specification requires.
std::optional<Header> parseHeader(const char (&bytes)[kHeaderSize]);

// Splits a message into packets of at most `packetSize` bytes; an empty message becomes one packet.
std::string formatPackets(Type type, std::string_view message, std::size_t packetSize,
                          std::uint16_t session = 0);

// Assembles messages from a byte stream that arrives in pieces of any size.
class MessageAssembler {
 public:
  enum class Result { Incomplete, Message, Fault };

  // Packets longer than `packetSize` and messages longer than `maxMessage` bytes are faults.
  MessageAssembler(std::size_t packetSize, std::size_t maxMessage)
      : packetSize_(packetSize), maxMessage_(maxMessage) {}

  // Sets the packet size that the login negotiated.
  void packetSize(std::size_t size) { packetSize_ = size; }

  // Removes bytes from the front of `in`, up to the end of a message. After Result::Message,
  // type(), status() and message() are valid until the next call. Cancelled messages (kIgnore) are
  // skipped. After a fault every call returns Result::Fault.
  Result consume(std::string_view& in);

  Type type() const { return type_; }
  // The status of the message's first packet, which has the reset bits.
  std::uint8_t status() const { return status_; }
  const std::string& message() const { return message_; }
  // Why consume() returned Result::Fault; nullptr when it has not.
  const char* fault() const { return fault_; }
  // Whether an incomplete message has arrived.
  bool inMessage() const { return state_ == State::InMessage || !header_.empty(); }

 private:
  enum class State { Idle, InMessage, Complete };

  // True once a header is complete and valid; otherwise it is incomplete, or fault_ is set.
  bool takeHeader(std::string_view& in);
  // Why the packet can't follow the previous ones; nullptr when it can.
  const char* faultOf(const Header& header) const;
  void takePayload(std::string_view& in);
  // Called after each complete packet; true when it completes a message.
  bool completeMessage();

  std::size_t packetSize_;
  const std::size_t maxMessage_;
  State state_ = State::Idle;
  std::string header_;  // the received part of the next header
  Header packet_;       // the packet being read
  std::size_t bytesLeft_ = 0;
  Type type_ = Type::SqlBatch;
  std::uint8_t status_ = 0;
  std::string message_;
  const char* fault_ = nullptr;
};

}  // namespace sablespur::tds
