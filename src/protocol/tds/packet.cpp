#include "protocol/tds/packet.hpp"

#include <algorithm>

namespace sablespur::tds {
namespace {

enum Option : std::uint8_t { kVersion = 0, kEncryption = 1, kMars = 4, kTerminator = 0xff };
constexpr std::size_t kOption = 5, kVersionBytes = 6;

std::uint8_t byte(std::string_view s, std::size_t at) { return static_cast<std::uint8_t>(s[at]); }
std::size_t big16(std::string_view s, std::size_t at) {
  return static_cast<std::size_t>(byte(s, at)) << 8 | byte(s, at + 1);
}
void putBig16(std::string& to, std::size_t n) {
  to.push_back(static_cast<char>(n >> 8));
  to.push_back(static_cast<char>(n));
}
bool known(std::uint8_t type) {
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

}  // namespace

std::optional<Header> parseHeader(const char (&bytes)[kHeaderSize]) {
  const std::string_view s(bytes, kHeaderSize);
  Header h;
  h.length = big16(s, 2);
  if (!known(byte(s, 0)) || h.length < kHeaderSize || h.length > kMaxPacketSize) return std::nullopt;
  h.type = static_cast<Type>(byte(s, 0));
  h.status = byte(s, 1);
  h.session = static_cast<std::uint16_t>(big16(s, 4));
  return h;
}

std::string formatPackets(Type type, std::string_view message, std::size_t packetSize,
                          std::uint16_t session) {
  const std::size_t room = std::clamp(packetSize, kMinPacketSize, kMaxPacketSize) - kHeaderSize;
  std::string out;
  std::uint8_t number = 1;
  do {
    const std::string_view part = message.substr(0, room);
    message.remove_prefix(part.size());
    out.push_back(static_cast<char>(type));
    out.push_back(static_cast<char>(message.empty() ? kLast : 0));
    putBig16(out, kHeaderSize + part.size());
    putBig16(out, session);
    out.push_back(static_cast<char>(number++));
    out.push_back('\0');
    out += part;
  } while (!message.empty());
  return out;
}

MessageAssembler::Result MessageAssembler::fail(const char* why) {
  fault_ = why;
  return Result::Fault;
}

MessageAssembler::Result MessageAssembler::consume(std::string_view& in) {
  if (fault_) return Result::Fault;
  if (done_) {
    message_.clear();
    done_ = false;
  }
  while (true) {
    if (bytesLeft_ == 0) {
      const std::size_t n = std::min(kHeaderSize - head_.size(), in.size());
      head_ += in.substr(0, n);
      in.remove_prefix(n);
      if (head_.size() < kHeaderSize) return Result::Incomplete;
      char bytes[kHeaderSize];
      std::copy(head_.begin(), head_.end(), bytes);
      head_.clear();
      const auto h = parseHeader(bytes);
      if (!h) return fail("no packet of this protocol");
      if (h->length > packetSize_) return fail("a packet longer than agreed on");
      if (inMessage_ && h->type != type_) return fail("another message amid one");
      if (message_.size() + h->length - kHeaderSize > maxMessage_) return fail("a message too long");
      if (!inMessage_) {
        type_ = h->type;
        status_ = h->status;
      }
      inMessage_ = true;
      packet_ = *h;
      bytesLeft_ = h->length - kHeaderSize;
    }
    const std::size_t n = std::min(bytesLeft_, in.size());
    message_ += in.substr(0, n);
    in.remove_prefix(n);
    bytesLeft_ -= n;
    if (bytesLeft_ > 0) return Result::Incomplete;
    if ((packet_.status & kLast) == 0) {
      if (in.empty()) return Result::Incomplete;
      continue;
    }
    inMessage_ = false;
    if ((packet_.status & kIgnore) != 0) {
      message_.clear();
      if (in.empty()) return Result::Incomplete;
      continue;
    }
    done_ = true;
    return Result::Message;
  }
}

std::optional<PreLogin> parsePreLogin(std::string_view m) {
  PreLogin p;
  bool version = false;
  for (std::size_t at = 0;; at += kOption) {
    if (at >= m.size()) return std::nullopt;
    const std::uint8_t option = byte(m, at);
    if (option == kTerminator) break;
    if (m.size() - at < kOption) return std::nullopt;
    const std::size_t offset = big16(m, at + 1), length = big16(m, at + 3);
    if (offset > m.size() || length > m.size() - offset) return std::nullopt;
    const std::string_view value = m.substr(offset, length);
    if (option == kVersion) {
      if (at != 0 || value.size() != kVersionBytes) return std::nullopt;  // it comes first
      p.version = static_cast<std::uint32_t>(big16(value, 0) << 16 | big16(value, 2));
      version = true;
    } else if (option == kEncryption) {
      if (value.size() != 1 || byte(value, 0) > 3) return std::nullopt;
      p.encryption = static_cast<Encryption>(byte(value, 0));
    } else if (option == kMars) {
      if (value.size() != 1) return std::nullopt;
      p.mars = value[0] != 0;
    }
  }
  if (!version) return std::nullopt;
  return p;
}

std::string formatPreLogin(const PreLogin& p) {
  std::string head, values;
  constexpr std::size_t kOptions = 3;
  const auto option = [&](std::uint8_t name, const std::string& value) {
    head.push_back(static_cast<char>(name));
    putBig16(head, kOptions * kOption + 1 + values.size());
    putBig16(head, value.size());
    values += value;
  };
  std::string version;
  putBig16(version, p.version >> 16);
  putBig16(version, p.version & 0xffff);
  option(kVersion, version + std::string(2, '\0'));
  option(kEncryption, std::string(1, static_cast<char>(p.encryption)));
  option(kMars, std::string(1, p.mars ? '\1' : '\0'));
  return head + static_cast<char>(kTerminator) + values;
}

}  // namespace sablespur::tds
