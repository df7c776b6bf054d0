#include "protocol/dns/name.hpp"

#include <cstddef>
#include <cstdio>
#include <cstring>

#include "protocol/dns/ldns_handle.hpp"

namespace sablespur::dns {
namespace {

constexpr std::size_t kMaxLabelLength = 63;
constexpr std::size_t kMaxNameLength = 255;
constexpr std::size_t kMaxEscapeLength = 4;  // "\ddd" for one byte
constexpr const char* kSpecialCharacters = ".\\();@$\"";

bool needsEscape(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte <= ' ' || byte >= 0x7f || std::strchr(kSpecialCharacters, c) != nullptr;
}

std::string escaped(char c) {
  char text[kMaxEscapeLength + 1];
  std::snprintf(text, sizeof text, "\\%03u", static_cast<unsigned char>(c));
  return text;
}

}  // namespace

Name toName(const ldns_rdf* data) {
  if (!data || ldns_rdf_get_type(data) != LDNS_RDF_TYPE_DNAME) return {};
  const LdnsHandle<ldns_rdf> copy(ldns_rdf_clone(data));
  if (!copy) return {};
  ldns_dname2canonical(copy.get());
  const LdnsHandle<char> text(ldns_rdf2str(copy.get()));
  return text ? Name(text.get()) : Name();
}

LdnsHandle<ldns_rdf> toRdf(const Name& name) {
  return LdnsHandle<ldns_rdf>(ldns_dname_new_frm_str(name.c_str()));
}

std::optional<Name> parseName(std::string_view text) {
  if (text.empty() || text.size() > kMaxEscapeLength * kMaxNameLength) return std::nullopt;
  if (text.find('\0') != std::string_view::npos) return std::nullopt;
  const LdnsHandle<ldns_rdf> rdf = toRdf(std::string(text));
  if (!rdf || ldns_rdf_size(rdf.get()) > kMaxNameLength) return std::nullopt;
  return toName(rdf.get());
}

std::optional<Name> instanceName(std::string_view label, const Name& service) {
  if (label.empty() || label.size() > kMaxLabelLength) return std::nullopt;
  std::string text;
  for (const char c : label) {
    if (needsEscape(c))
      text += escaped(c);
    else
      text += c;
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
  const std::size_t start = name.size() - domain.size();
  if (name.compare(start, domain.size(), domain) != 0) return false;
  const std::size_t dot = start - 1;
  if (name[dot] != '.') return false;
  // A dot after an odd number of backslashes is part of a label, not a separator.
  std::size_t backslashes = 0;
  while (dot > backslashes && name[dot - backslashes - 1] == '\\') ++backslashes;
  return backslashes % 2 == 0;
}

}  // namespace sablespur::dns
