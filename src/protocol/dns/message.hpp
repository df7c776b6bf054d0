// DNS messages as DNS-SD needs them, on ldns: questions out, answers in, and answers out for stand-ins. Pure:
// no sockets, no clock. RFC 1035 (messages), 2782 (SRV), 6763 (DNS-SD), 6891 (EDNS0), 2308 (negative
// answers).
//
// A Name is the presentation form of RFC 1035 section 5.1 as ldns writes it: lower case, escaped, with the
// dot at the end; two names are the same when their texts are. The label of a service instance may hold any
// bytes (RFC 6763 section 4.1.1); firstLabel gives them back unescaped.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sablespur::dns {

using Name = std::string;

enum class Type : std::uint16_t { A = 1, Soa = 6, Ptr = 12, Txt = 16, Aaaa = 28, Srv = 33 };
enum class Rcode : std::uint8_t {
  NoError = 0,
  FormErr = 1,
  ServFail = 2,
  NxDomain = 3,
  NotImp = 4,
  Refused = 5
};

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

struct Srv {
  std::uint16_t priority = 0, weight = 0, port = 0;
  Name target;
};
struct Soa {  // of a negative answer
  std::uint32_t serial = 0, minimum = 0;
};
struct AddressBytes {  // A, AAAA: 4 or 16 bytes, network order
  std::string bytes;
};
using TxtStrings = std::vector<std::string>;  // TXT
using Data = std::variant<Name, Srv, TxtStrings, AddressBytes, Soa>;

struct Record {
  Name name;
  Type type = Type::Ptr;
  std::uint32_t ttl = 0;  // seconds; at most 2^31 - 1, above that 0 (RFC 2181 section 8)
  Data data;
};

struct Message {
  std::uint16_t id = 0;
  bool response = false, authoritative = false, truncated = false;
  Rcode rcode = Rcode::NoError;
  std::optional<Question> question;                       // nothing: none, several, or one of another class
  std::vector<Record> answers, authorities, additionals;  // those of the types above and of class IN
  std::uint16_t udpPayload = 0;                           // EDNS0: what the sender takes; 0: it speaks none
};

constexpr std::size_t kMaxMessageSize = 65535;

// The same name, in the form that a Name has; nothing where the text is no name (a label over 63 bytes, a
// whole over 255, an empty label).
std::optional<Name> parseName(std::string_view text);
// A service instance's name from its label, whatever bytes that holds, and the service's name.
std::optional<Name> instanceName(std::string_view label, const Name& service);
std::string firstLabel(const Name&);                  // unescaped
bool isWithin(const Name& name, const Name& domain);  // below it, or the same

// A query with RD set. udpPayload 0: without EDNS0.
std::string encodeQuery(std::uint16_t id, const Question&, std::uint16_t udpPayload);
// The whole message; what does not fit into `most` bytes is left out: additionals first, without a word;
// where answers or authorities do not fit either, all records go and TC is set (RFC 2181 section 9).
std::string encode(const Message&, std::size_t most = kMaxMessageSize);
// Nothing where the bytes are no message (compression loops, counts that lie, lengths past the end); `why`
// then says what was wrong.
std::optional<Message> parse(std::string_view bytes, std::string* why = nullptr);

}  // namespace sablespur::dns
