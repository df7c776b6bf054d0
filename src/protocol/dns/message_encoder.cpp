// Encoding of DNS messages.
#include <utility>

#include "protocol/dns/ldns_handle.hpp"
#include "protocol/dns/message.hpp"

namespace sablespur::dns {
namespace {

constexpr std::size_t kMaxTxtString = 255;
constexpr std::size_t kIpv4Size = 4;

// Placeholders for the fields of an SOA record that Soa does not have.
constexpr const char* kSoaNameServer = "ns.invalid.";
constexpr const char* kSoaMailbox = "admin.invalid.";
constexpr std::uint32_t kSoaRefreshSeconds = 3600;
constexpr std::uint32_t kSoaRetrySeconds = 600;
constexpr std::uint32_t kSoaExpireSeconds = 86400;

// The sections of a message that are written.
enum class Sections { All, WithoutAdditionals, WithoutRecords };

// Appends data fields to a record. Each operator returns false if the data cannot be encoded.
class DataWriter {
 public:
  explicit DataWriter(ldns_rr* record) : record_(record) {}

  bool operator()(const Name& name) const { return push(toRdf(name).release()); }

  bool operator()(const Srv& srv) const {
    return push16(srv.priority) && push16(srv.weight) && push16(srv.port) && (*this)(srv.target);
  }

  bool operator()(const TxtStrings& strings) const {
    for (const std::string& string : strings)
      if (!pushString(string)) return false;
    return true;
  }

  bool operator()(const AddressBytes& address) const {
    const auto type = address.bytes.size() == kIpv4Size ? LDNS_RDF_TYPE_A : LDNS_RDF_TYPE_AAAA;
    return push(ldns_rdf_new_frm_data(type, address.bytes.size(), address.bytes.data()));
  }

  bool operator()(const Soa& soa) const {
    return (*this)(Name(kSoaNameServer)) && (*this)(Name(kSoaMailbox)) && push32(soa.serial) &&
           push32(kSoaRefreshSeconds) && push32(kSoaRetrySeconds) && push32(kSoaExpireSeconds) &&
           push32(soa.minimum);
  }

 private:
  // The record takes ownership of the field.
  bool push(ldns_rdf* field) const { return field && ldns_rr_push_rdf(record_, field); }
  bool push16(std::uint16_t value) const { return push(ldns_native2rdf_int16(LDNS_RDF_TYPE_INT16, value)); }
  bool push32(std::uint32_t value) const { return push(ldns_native2rdf_int32(LDNS_RDF_TYPE_INT32, value)); }

  bool pushString(const std::string& string) const {
    const std::string text = string.substr(0, kMaxTxtString);
    const std::string bytes = static_cast<char>(text.size()) + text;
    return push(ldns_rdf_new_frm_data(LDNS_RDF_TYPE_STR, bytes.size(), bytes.data()));
  }

  ldns_rr* const record_;
};

// The packet takes ownership of the record if it accepts it.
void push(ldns_pkt* packet, ldns_pkt_section section, LdnsHandle<ldns_rr> record) {
  if (ldns_pkt_push_rr(packet, section, record.get())) static_cast<void>(record.release());
}

void addQuestion(ldns_pkt* packet, const Question& question) {
  LdnsHandle<ldns_rr> record(ldns_rr_new());
  if (!record) return;
  ldns_rr_set_question(record.get(), true);
  ldns_rr_set_owner(record.get(), toRdf(question.name).release());
  ldns_rr_set_type(record.get(), static_cast<ldns_rr_type>(question.type));
  ldns_rr_set_class(record.get(), LDNS_RR_CLASS_IN);
  push(packet, LDNS_SECTION_QUESTION, std::move(record));
}

void addRecords(ldns_pkt* packet, ldns_pkt_section section, const std::vector<Record>& records) {
  for (const Record& record : records) {
    LdnsHandle<ldns_rr> written(ldns_rr_new());
    LdnsHandle<ldns_rdf> owner = toRdf(record.name);
    if (!written || !owner) continue;
    ldns_rr_set_owner(written.get(), owner.release());
    ldns_rr_set_type(written.get(), static_cast<ldns_rr_type>(record.type));
    ldns_rr_set_class(written.get(), LDNS_RR_CLASS_IN);
    ldns_rr_set_ttl(written.get(), record.ttl);
    if (std::visit(DataWriter(written.get()), record.data)) push(packet, section, std::move(written));
  }
}

std::string toWire(const ldns_pkt* packet) {
  std::uint8_t* written = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&written, packet, &size) != LDNS_STATUS_OK) return {};
  const LdnsHandle<std::uint8_t> bytes(written);
  return {reinterpret_cast<const char*>(bytes.get()), size};
}

// Returns an empty string if the message cannot be encoded.
std::string write(const Message& message, Sections sections) {
  const LdnsHandle<ldns_pkt> packet(ldns_pkt_new());
  if (!packet) return {};
  ldns_pkt_set_id(packet.get(), message.id);
  ldns_pkt_set_qr(packet.get(), message.response);
  ldns_pkt_set_aa(packet.get(), message.authoritative);
  ldns_pkt_set_tc(packet.get(), message.truncated || sections == Sections::WithoutRecords);
  ldns_pkt_set_rd(packet.get(), true);
  ldns_pkt_set_rcode(packet.get(), static_cast<std::uint8_t>(message.rcode));
  if (message.question) addQuestion(packet.get(), *message.question);
  if (message.udpPayload > 0) ldns_pkt_set_edns_udp_size(packet.get(), message.udpPayload);
  if (sections != Sections::WithoutRecords) {
    addRecords(packet.get(), LDNS_SECTION_ANSWER, message.answers);
    addRecords(packet.get(), LDNS_SECTION_AUTHORITY, message.authorities);
  }
  if (sections == Sections::All) addRecords(packet.get(), LDNS_SECTION_ADDITIONAL, message.additionals);
  return toWire(packet.get());
}

bool fits(const std::string& bytes, std::size_t maxSize) { return !bytes.empty() && bytes.size() <= maxSize; }

}  // namespace

std::string encodeQuery(std::uint16_t id, const Question& question, std::uint16_t udpPayload) {
  Message message;
  message.id = id;
  message.question = question;
  message.udpPayload = udpPayload;
  return write(message, Sections::All);
}

std::string encode(const Message& message, std::size_t maxSize) {
  std::string bytes = write(message, Sections::All);
  if (!fits(bytes, maxSize)) bytes = write(message, Sections::WithoutAdditionals);
  if (!fits(bytes, maxSize)) bytes = write(message, Sections::WithoutRecords);
  return bytes;
}

}  // namespace sablespur::dns
