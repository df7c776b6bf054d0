#include "protocol/dns/message.hpp"

#include <ldns/ldns.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <memory>

namespace sablespur::dns {
namespace {

struct Free {
  void operator()(ldns_pkt* p) const { ldns_pkt_free(p); }
  void operator()(ldns_rdf* p) const { ldns_rdf_deep_free(p); }
  void operator()(ldns_rr* p) const { ldns_rr_free(p); }
  void operator()(char* p) const { std::free(p); }
  void operator()(std::uint8_t* p) const { std::free(p); }
};
template <typename T>
using Owned = std::unique_ptr<T, Free>;

constexpr std::size_t kHead = 12;  // of a message
constexpr std::size_t kLongestLabel = 63, kLongestName = 255;
constexpr std::uint32_t kMostTtl = 0x7fffffff;

Name nameOf(const ldns_rdf* rdf) {
  if (!rdf || ldns_rdf_get_type(rdf) != LDNS_RDF_TYPE_DNAME) return {};
  const Owned<ldns_rdf> copy(ldns_rdf_clone(rdf));
  if (!copy) return {};
  ldns_dname2canonical(copy.get());
  const Owned<char> text(ldns_rdf2str(copy.get()));
  return text ? Name(text.get()) : Name();
}
Owned<ldns_rdf> toRdf(const Name& name) { return Owned<ldns_rdf>(ldns_dname_new_frm_str(name.c_str())); }

bool known(ldns_rr_type t) {
  switch (t) {
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

std::uint16_t number16(const ldns_rr* rr, std::size_t k) {
  const ldns_rdf* const f = ldns_rr_rdf(rr, k);
  return f && ldns_rdf_size(f) == 2 ? ldns_rdf2native_int16(f) : 0;
}
std::uint32_t number32(const ldns_rr* rr, std::size_t k) {
  const ldns_rdf* const f = ldns_rr_rdf(rr, k);
  return f && ldns_rdf_size(f) == 4 ? ldns_rdf2native_int32(f) : 0;
}
std::string bytesOf(const ldns_rdf* f) {
  return f ? std::string(reinterpret_cast<const char*>(ldns_rdf_data(f)), ldns_rdf_size(f)) : std::string();
}

std::optional<Record> toRecord(const ldns_rr* rr) {
  if (!known(ldns_rr_get_type(rr)) || ldns_rr_get_class(rr) != LDNS_RR_CLASS_IN) return std::nullopt;
  Record r;
  r.name = nameOf(ldns_rr_owner(rr));
  r.type = static_cast<Type>(ldns_rr_get_type(rr));
  r.ttl = ldns_rr_ttl(rr) > kMostTtl ? 0 : ldns_rr_ttl(rr);
  switch (r.type) {
    case Type::Ptr:
      r.data = nameOf(ldns_rr_rdf(rr, 0));
      break;
    case Type::Srv:
      r.data = Srv{number16(rr, 0), number16(rr, 1), number16(rr, 2), nameOf(ldns_rr_rdf(rr, 3))};
      break;
    case Type::Txt: {
      TxtStrings all;
      for (std::size_t k = 0; k < ldns_rr_rd_count(rr); ++k) {
        const std::string one = bytesOf(ldns_rr_rdf(rr, k));  // its length, then its bytes
        if (!one.empty()) all.push_back(one.substr(1));
      }
      r.data = std::move(all);
      break;
    }
    case Type::A:
    case Type::Aaaa: {
      std::string bytes = bytesOf(ldns_rr_rdf(rr, 0));
      if (bytes.size() != (r.type == Type::A ? 4u : 16u)) return std::nullopt;
      r.data = AddressBytes{std::move(bytes)};
      break;
    }
    case Type::Soa:
      r.data = Soa{number32(rr, 2), number32(rr, 6)};
      break;
  }
  return r.name.empty() ? std::nullopt : std::make_optional(std::move(r));
}

void collect(const ldns_rr_list* from, std::vector<Record>& to) {
  for (std::size_t k = 0; from && k < ldns_rr_list_rr_count(from); ++k)
    if (auto r = toRecord(ldns_rr_list_rr(from, k))) to.push_back(std::move(*r));
}

ldns_rdf* rdf16(std::uint16_t v) { return ldns_native2rdf_int16(LDNS_RDF_TYPE_INT16, v); }
ldns_rdf* rdf32(std::uint32_t v) { return ldns_native2rdf_int32(LDNS_RDF_TYPE_INT32, v); }

struct Push {  // a record's data
  ldns_rr* rr;
  bool name(const Name& n) const {
    ldns_rdf* const f = toRdf(n).release();
    return f && ldns_rr_push_rdf(rr, f);
  }
  bool operator()(const Name& n) const { return name(n); }
  bool operator()(const Srv& s) const {
    return ldns_rr_push_rdf(rr, rdf16(s.priority)) && ldns_rr_push_rdf(rr, rdf16(s.weight)) &&
           ldns_rr_push_rdf(rr, rdf16(s.port)) && name(s.target);
  }
  bool operator()(const TxtStrings& all) const {
    for (const std::string& one : all) {
      const std::string cut = one.substr(0, 255);
      std::string bytes(1, static_cast<char>(cut.size()));
      bytes += cut;
      if (!ldns_rr_push_rdf(rr, ldns_rdf_new_frm_data(LDNS_RDF_TYPE_STR, bytes.size(), bytes.data())))
        return false;
    }
    return true;
  }
  bool operator()(const AddressBytes& b) const {
    const auto type = b.bytes.size() == 4 ? LDNS_RDF_TYPE_A : LDNS_RDF_TYPE_AAAA;
    return ldns_rr_push_rdf(rr, ldns_rdf_new_frm_data(type, b.bytes.size(), b.bytes.data()));
  }
  bool operator()(const Soa& s) const {
    return name("ns.invalid.") && name("admin.invalid.") && ldns_rr_push_rdf(rr, rdf32(s.serial)) &&
           ldns_rr_push_rdf(rr, rdf32(3600)) && ldns_rr_push_rdf(rr, rdf32(600)) &&
           ldns_rr_push_rdf(rr, rdf32(86400)) && ldns_rr_push_rdf(rr, rdf32(s.minimum));
  }
};

void add(ldns_pkt* to, ldns_pkt_section section, const std::vector<Record>& all) {
  for (const Record& r : all) {
    Owned<ldns_rr> rr(ldns_rr_new());
    ldns_rdf* const owner = toRdf(r.name).release();
    if (!rr || !owner) continue;
    ldns_rr_set_owner(rr.get(), owner);
    ldns_rr_set_type(rr.get(), static_cast<ldns_rr_type>(r.type));
    ldns_rr_set_class(rr.get(), LDNS_RR_CLASS_IN);
    ldns_rr_set_ttl(rr.get(), r.ttl);
    if (std::visit(Push{rr.get()}, r.data) && ldns_pkt_push_rr(to, section, rr.get())) rr.release();
  }
}

std::string wire(const Message& m, bool records, bool additionals) {
  const Owned<ldns_pkt> p(ldns_pkt_new());
  if (!p) return {};
  ldns_pkt_set_id(p.get(), m.id);
  ldns_pkt_set_qr(p.get(), m.response);
  ldns_pkt_set_aa(p.get(), m.authoritative);
  ldns_pkt_set_tc(p.get(), m.truncated || !records);
  ldns_pkt_set_rd(p.get(), true);
  ldns_pkt_set_rcode(p.get(), static_cast<std::uint8_t>(m.rcode));
  if (m.question) {
    ldns_rr* const q = ldns_rr_new();
    ldns_rr_set_question(q, true);
    ldns_rr_set_owner(q, toRdf(m.question->name).release());
    ldns_rr_set_type(q, static_cast<ldns_rr_type>(m.question->type));
    ldns_rr_set_class(q, LDNS_RR_CLASS_IN);
    ldns_pkt_push_rr(p.get(), LDNS_SECTION_QUESTION, q);
  }
  if (m.udpPayload > 0) ldns_pkt_set_edns_udp_size(p.get(), m.udpPayload);
  if (records) add(p.get(), LDNS_SECTION_ANSWER, m.answers);
  if (records) add(p.get(), LDNS_SECTION_AUTHORITY, m.authorities);
  if (records && additionals) add(p.get(), LDNS_SECTION_ADDITIONAL, m.additionals);
  std::uint8_t* bytes = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&bytes, p.get(), &size) != LDNS_STATUS_OK) return {};
  const Owned<std::uint8_t> owned(bytes);
  return {reinterpret_cast<const char*>(bytes), size};
}

bool fits(const std::string& bytes, std::size_t most) { return !bytes.empty() && bytes.size() <= most; }

}  // namespace

std::optional<Name> parseName(std::string_view text) {
  if (text.empty() || text.size() > 4 * kLongestName || text.find('\0') != std::string_view::npos)
    return std::nullopt;
  const Owned<ldns_rdf> rdf = toRdf(std::string(text));
  if (!rdf || ldns_rdf_size(rdf.get()) > kLongestName) return std::nullopt;
  return nameOf(rdf.get());
}

std::optional<Name> instanceName(std::string_view label, const Name& service) {
  if (label.empty() || label.size() > kLongestLabel) return std::nullopt;
  std::string text;
  for (const char c : label) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte > ' ' && byte < 0x7f && std::strchr(".\\();@$\"", c) == nullptr) {
      text += c;
      continue;
    }
    char escaped[5];
    std::snprintf(escaped, sizeof escaped, "\\%03u", byte);
    text += escaped;
  }
  return parseName(text + "." + service);
}

std::string firstLabel(const Name& name) {
  std::string label;
  for (std::size_t k = 0; k < name.size() && name[k] != '.'; ++k) {
    if (name[k] != '\\') {
      label += name[k];
      continue;
    }
    const bool decimal = k + 3 < name.size() && name[k + 1] >= '0' && name[k + 1] <= '9';
    if (decimal)
      label += static_cast<char>((name[k + 1] - '0') * 100 + (name[k + 2] - '0') * 10 + (name[k + 3] - '0'));
    else if (k + 1 < name.size())
      label += name[k + 1];
    k += decimal ? 3 : 1;
  }
  return label;
}

bool isWithin(const Name& name, const Name& domain) {
  if (name == domain || domain == ".") return true;
  if (name.size() <= domain.size() + 1) return false;
  std::size_t at = name.size() - domain.size();
  if (name.compare(at, domain.size(), domain) != 0 || name[--at] != '.') return false;
  std::size_t escapes = 0;  // a dot behind an odd number of backslashes belongs to a label
  while (at > escapes && name[at - escapes - 1] == '\\') ++escapes;
  return escapes % 2 == 0;
}

std::string encodeQuery(std::uint16_t id, const Question& q, std::uint16_t udpPayload) {
  Message m;
  m.id = id;
  m.question = q;
  m.udpPayload = udpPayload;
  return wire(m, true, true);
}

std::string encode(const Message& m, std::size_t most) {
  std::string bytes = wire(m, true, true);
  if (!fits(bytes, most)) bytes = wire(m, true, false);
  if (!fits(bytes, most)) bytes = wire(m, false, false);
  return bytes;
}

std::optional<Message> parse(std::string_view bytes, std::string* why) {
  const auto none = [&](const char* reason) {
    if (why) *why = reason;
    return std::nullopt;
  };
  if (bytes.size() < kHead) return none("shorter than a head");
  if (bytes.size() > kMaxMessageSize) return none("longer than a message may be");
  ldns_pkt* raw = nullptr;
  const ldns_status status =
      ldns_wire2pkt(&raw, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  const Owned<ldns_pkt> p(status == LDNS_STATUS_OK ? raw : nullptr);
  if (!p) return none(ldns_get_errorstr_by_id(status));
  Message m;
  m.id = ldns_pkt_id(p.get());
  m.response = ldns_pkt_qr(p.get());
  m.authoritative = ldns_pkt_aa(p.get());
  m.truncated = ldns_pkt_tc(p.get());
  m.rcode = static_cast<Rcode>(ldns_pkt_get_rcode(p.get()));
  if (ldns_pkt_edns(p.get())) m.udpPayload = std::max<std::uint16_t>(ldns_pkt_edns_udp_size(p.get()), 512);
  const ldns_rr_list* const questions = ldns_pkt_question(p.get());
  if (questions && ldns_rr_list_rr_count(questions) == 1) {
    const ldns_rr* const q = ldns_rr_list_rr(questions, 0);
    if (ldns_rr_get_class(q) == LDNS_RR_CLASS_IN)
      m.question = Question{nameOf(ldns_rr_owner(q)), static_cast<Type>(ldns_rr_get_type(q))};
  }
  collect(ldns_pkt_answer(p.get()), m.answers);
  collect(ldns_pkt_authority(p.get()), m.authorities);
  collect(ldns_pkt_additional(p.get()), m.additionals);
  return m;
}

}  // namespace sablespur::dns
