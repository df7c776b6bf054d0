// Parsing of DNS messages.
#include <algorithm>
#include <utility>

#include "protocol/dns/ldns_handle.hpp"
#include "protocol/dns/message.hpp"

namespace sablespur::dns {
namespace {

constexpr std::size_t kHeaderSize = 12;
constexpr std::uint32_t kMaxTtl = 0x7fffffff;  // RFC 2181 section 8
constexpr std::uint16_t kMinUdpPayload = 512;  // RFC 6891 section 6.2.3
constexpr std::size_t kIpv4Size = 4;
constexpr std::size_t kIpv6Size = 16;

// Indices of the data fields of an SOA record.
constexpr std::size_t kSoaSerial = 2;
constexpr std::size_t kSoaMinimum = 6;

bool isSupported(ldns_rr_type type) {
  switch (type) {
    case LDNS_RR_TYPE_A:
    case LDNS_RR_TYPE_SOA:
    case LDNS_RR_TYPE_PTR:
    case LDNS_RR_TYPE_TXT:
    case LDNS_RR_TYPE_AAAA:
    case LDNS_RR_TYPE_SRV:
      return true;
    default:
      return false;
  }
}

// Returns the data field at this index as a number; 0 if the field is missing or has another size.
std::uint16_t number16(const ldns_rr* record, std::size_t index) {
  const ldns_rdf* const field = ldns_rr_rdf(record, index);
  return field && ldns_rdf_size(field) == 2 ? ldns_rdf2native_int16(field) : 0;
}

std::uint32_t number32(const ldns_rr* record, std::size_t index) {
  const ldns_rdf* const field = ldns_rr_rdf(record, index);
  return field && ldns_rdf_size(field) == 4 ? ldns_rdf2native_int32(field) : 0;
}

std::string bytesOf(const ldns_rdf* field) {
  if (!field) return {};
  return {reinterpret_cast<const char*>(ldns_rdf_data(field)), ldns_rdf_size(field)};
}

TxtStrings toTxtStrings(const ldns_rr* record) {
  TxtStrings strings;
  for (std::size_t k = 0; k < ldns_rr_rd_count(record); ++k) {
    const std::string field = bytesOf(ldns_rr_rdf(record, k));  // a length byte, then the text
    if (!field.empty()) strings.push_back(field.substr(1));
  }
  return strings;
}

std::optional<Data> toAddress(const ldns_rr* record, std::size_t size) {
  std::string bytes = bytesOf(ldns_rr_rdf(record, 0));
  if (bytes.size() != size) return std::nullopt;
  return AddressBytes{std::move(bytes)};
}

std::optional<Data> toData(const ldns_rr* record, Type type) {
  switch (type) {
    case Type::Ptr:
      return toName(ldns_rr_rdf(record, 0));
    case Type::Srv:
      return Srv{number16(record, 0), number16(record, 1), number16(record, 2),
                 toName(ldns_rr_rdf(record, 3))};
    case Type::Txt:
      return toTxtStrings(record);
    case Type::A:
      return toAddress(record, kIpv4Size);
    case Type::Aaaa:
      return toAddress(record, kIpv6Size);
    case Type::Soa:
      return Soa{number32(record, kSoaSerial), number32(record, kSoaMinimum)};
  }
  return std::nullopt;
}

std::optional<Record> toRecord(const ldns_rr* from) {
  if (!isSupported(ldns_rr_get_type(from)) || ldns_rr_get_class(from) != LDNS_RR_CLASS_IN)
    return std::nullopt;
  Record record;
  record.name = toName(ldns_rr_owner(from));
  record.type = static_cast<Type>(ldns_rr_get_type(from));
  record.ttl = ldns_rr_ttl(from) > kMaxTtl ? 0 : ldns_rr_ttl(from);
  std::optional<Data> data = toData(from, record.type);
  if (!data || record.name.empty()) return std::nullopt;
  record.data = std::move(*data);
  return record;
}

std::vector<Record> toRecords(const ldns_rr_list* list) {
  std::vector<Record> records;
  for (std::size_t k = 0; list && k < ldns_rr_list_rr_count(list); ++k)
    if (auto record = toRecord(ldns_rr_list_rr(list, k))) records.push_back(std::move(*record));
  return records;
}

std::optional<Question> toQuestion(const ldns_rr_list* questions) {
  if (!questions || ldns_rr_list_rr_count(questions) != 1) return std::nullopt;
  const ldns_rr* const question = ldns_rr_list_rr(questions, 0);
  if (ldns_rr_get_class(question) != LDNS_RR_CLASS_IN) return std::nullopt;
  return Question{toName(ldns_rr_owner(question)), static_cast<Type>(ldns_rr_get_type(question))};
}

Message toMessage(const ldns_pkt* packet) {
  Message message;
  message.id = ldns_pkt_id(packet);
  message.response = ldns_pkt_qr(packet);
  message.authoritative = ldns_pkt_aa(packet);
  message.truncated = ldns_pkt_tc(packet);
  message.rcode = static_cast<Rcode>(ldns_pkt_get_rcode(packet));
  if (ldns_pkt_edns(packet))
    message.udpPayload = std::max<std::uint16_t>(ldns_pkt_edns_udp_size(packet), kMinUdpPayload);
  message.question = toQuestion(ldns_pkt_question(packet));
  message.answers = toRecords(ldns_pkt_answer(packet));
  message.authorities = toRecords(ldns_pkt_authority(packet));
  message.additionals = toRecords(ldns_pkt_additional(packet));
  return message;
}

}  // namespace

std::optional<Message> parse(std::string_view bytes, std::string* why) {
  const auto fail = [why](const char* reason) {
    if (why) *why = reason;
    return std::nullopt;
  };
  if (bytes.size() < kHeaderSize) return fail("shorter than a DNS header");
  if (bytes.size() > kMaxMessageSize) return fail("longer than 65535 bytes");
  ldns_pkt* parsed = nullptr;
  const ldns_status status =
      ldns_wire2pkt(&parsed, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  const LdnsHandle<ldns_pkt> packet(status == LDNS_STATUS_OK ? parsed : nullptr);
  if (!packet) return fail(ldns_get_errorstr_by_id(status));
  return toMessage(packet.get());
}

}  // namespace sablespur::dns
