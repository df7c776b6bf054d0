#include "protocol/tds/packet.hpp"

#include <algorithm>

#include "protocol/tds/bytes.hpp"

namespace sablespur::tds {
namespace {

bool isKnown(std::uint8_t type) {
  switch (static_cast<Type>(type)) {
    case Type::SqlBatch:
    case Type::Rpc:
    case Type::Tabular:
    case Type::Attention:
    case Type::BulkLoad:
    case Type::TransactionManager:
    case Type::Login7:
    case Type::Sspi:
    case Type::PreLogin:
      return true;
  }
  return false;
}

// Removes and returns at most `count` bytes from the front of `in`.
std::string_view takeUpTo(std::string_view& in, std::size_t count) {
  const std::string_view taken = in.substr(0, count);
  in.remove_prefix(taken.size());
  return taken;
}

}  // namespace

std::optional<Header> parseHeader(const char (&bytes)[kHeaderSize]) {
  const std::string_view text(bytes, kHeaderSize);
  const std::uint8_t type = read8(text, 0);
  Header header;
  header.length = read16(text, 2);
  if (!isKnown(type) || header.length < kHeaderSize || header.length > kMaxPacketSize) return std::nullopt;
  header.type = static_cast<Type>(type);
  header.status = read8(text, 1);
  header.session = static_cast<std::uint16_t>(read16(text, 4));
  return header;
}

std::string formatPackets(Type type, std::string_view message, std::size_t packetSize,
                          std::uint16_t session) {
  const std::size_t payloadSize = std::clamp(packetSize, kMinPacketSize, kMaxPacketSize) - kHeaderSize;
  std::string packets;
  std::uint8_t number = 1;
  do {
    const std::string_view payload = takeUpTo(message, payloadSize);
    put8(packets, static_cast<std::uint8_t>(type));
    put8(packets, message.empty() ? kLast : 0);
    put16(packets, kHeaderSize + payload.size());
    put16(packets, session);
    put8(packets, number);
    put8(packets, 0);  // window, unused
    packets += payload;
    ++number;
  } while (!message.empty());
  return packets;
}

MessageAssembler::Result MessageAssembler::consume(std::string_view& in) {
  if (fault_) return Result::Fault;
  if (state_ == State::Complete) {
    message_.clear();
    state_ = State::Idle;
  }
  do {
    if (bytesLeft_ == 0 && !takeHeader(in)) return fault_ ? Result::Fault : Result::Incomplete;
    takePayload(in);
    if (bytesLeft_ > 0) return Result::Incomplete;
    if (completeMessage()) return Result::Message;
  } while (!in.empty());
  return Result::Incomplete;
}

bool MessageAssembler::takeHeader(std::string_view& in) {
  header_ += takeUpTo(in, kHeaderSize - header_.size());
  if (header_.size() < kHeaderSize) return false;
  char bytes[kHeaderSize];
  std::copy(header_.begin(), header_.end(), bytes);
  header_.clear();
  const std::optional<Header> header = parseHeader(bytes);
  fault_ = header ? faultOf(*header) : "not a TDS packet";
  if (fault_) return false;
  if (state_ != State::InMessage) {
    type_ = header->type;
    status_ = header->status;
  }
  state_ = State::InMessage;
  packet_ = *header;
  bytesLeft_ = header->length - kHeaderSize;
  return true;
}

const char* MessageAssembler::faultOf(const Header& header) const {
  if (header.length > packetSize_) return "a packet longer than the negotiated packet size";
  if (state_ == State::InMessage && header.type != type_) return "a packet of another type within a message";
  if (message_.size() + header.length - kHeaderSize > maxMessage_) return "a message longer than the limit";
  return nullptr;
}

void MessageAssembler::takePayload(std::string_view& in) {
  const std::string_view payload = takeUpTo(in, bytesLeft_);
  message_ += payload;
  bytesLeft_ -= payload.size();
}

bool MessageAssembler::completeMessage() {
  if ((packet_.status & kLast) == 0) return false;
  const bool ignored = (packet_.status & kIgnore) != 0;
  if (ignored) message_.clear();
  state_ = ignored ? State::Idle : State::Complete;
  return !ignored;
}

}  // namespace sablespur::tds
