// DNS messages for DNS-SD, based on ldns: encodes and parses queries and responses. Pure.
//
// RFC 1035 (messages), 2782 (SRV), 6763 (DNS-SD), 6891 (EDNS0), 2308 (negative answers).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/dns/name.hpp"  // IWYU pragma: export

namespace sablespur::dns {

enum class Type : std::uint16_t { A = 1, Soa = 6, Ptr = 12, Txt = 16, Aaaa = 28, Srv = 33 };

enum class Rcode : std::uint8_t {
  NoError = 0,
  FormErr = 1,
  ServFail = 2,
  NxDomain = 3,
  NotImp = 4,
  Refused = 5
};

// A question of class IN.
struct Question {
  Name name;
  Type type = Type::Ptr;

  friend bool operator==(const Question& a, const Question& b) {
    return a.type == b.type && a.name == b.name;
  }
  friend bool operator!=(const Question& a, const Question& b) { return !(a == b); }
  friend bool operator<(const Question& a, const Question& b) {
    return a.name != b.name ? a.name < b.name : a.type < b.type;
  }
};

// Data of an SRV record.
struct Srv {
  std::uint16_t priority = 0;
  std::uint16_t weight = 0;
  std::uint16_t port = 0;
  Name target;
};

// Data of an SOA record: the fields that determine the lifetime of a negative answer, and the
// serial.
struct Soa {
  std::uint32_t serial = 0;
  std::uint32_t minimum = 0;  // seconds
};

// Data of an A or AAAA record: 4 or 16 bytes in network order.
struct AddressBytes {
  std::string bytes;
};

// Data of a TXT record.
using TxtStrings = std::vector<std::string>;

// A Name is the data of a PTR record.
using Data = std::variant<Name, Srv, TxtStrings, AddressBytes, Soa>;

// A record of class IN.
struct Record {
  Name name;
  Type type = Type::Ptr;
  std::uint32_t ttl = 0;  // seconds; above 2^31 - 1 it is read as 0 (RFC 2181 section 8)
  Data data;
};

struct Message {
  std::uint16_t id = 0;
  bool response = false;       // QR
  bool authoritative = false;  // AA
  bool truncated = false;      // TC
  Rcode rcode = Rcode::NoError;
  std::optional<Question> question;  // std::nullopt if none, several, or not of class IN
  // Records of types other than those of Type and of classes other than IN are ignored.
  std::vector<Record> answers;
  std::vector<Record> authorities;
  std::vector<Record> additionals;
  std::uint16_t udpPayload = 0;  // EDNS0: largest datagram the sender accepts; 0: no EDNS0
};

constexpr std::size_t kMaxMessageSize = 65535;

// Encodes a query with the RD flag set. `udpPayload` as in Message. Returns an empty string on
// failure.
std::string encodeQuery(std::uint16_t id, const Question& question, std::uint16_t udpPayload);
// Encodes a message in at most `maxSize` bytes. If it does not fit, the additionals are omitted; if
// it still does not fit, all records are omitted and TC is set (RFC 2181 section 9).
std::string encode(const Message& message, std::size_t maxSize = kMaxMessageSize);
// Parses a message. Returns std::nullopt if it is malformed (compression loops, wrong counts,
// lengths past the end) and stores the reason in `why` if it is not null.
std::optional<Message> parse(std::string_view bytes, std::string* why = nullptr);

}  // namespace sablespur::dns
