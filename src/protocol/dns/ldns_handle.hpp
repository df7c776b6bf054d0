// Ownership of what ldns allocates, and conversion of names; for the files of this folder alone.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <memory>

#include "protocol/dns/name.hpp"

// Last, and without its macros for C compilers that lack bool: the standard library does not compile with
// them.
#include <ldns/ldns.h>
#undef bool
#undef true
#undef false

namespace sablespur::dns {

struct LdnsDeleter {
  void operator()(ldns_pkt* packet) const { ldns_pkt_free(packet); }
  void operator()(ldns_rdf* data) const { ldns_rdf_deep_free(data); }
  void operator()(ldns_rr* record) const { ldns_rr_free(record); }
  // ldns hands out texts and wire formats that it has taken from malloc.
  void operator()(char* text) const { std::free(text); }            // NOLINT(cppcoreguidelines-no-malloc)
  void operator()(std::uint8_t* bytes) const { std::free(bytes); }  // NOLINT(cppcoreguidelines-no-malloc)
};
template <typename T>
using LdnsHandle = std::unique_ptr<T, LdnsDeleter>;

// The name that a record data field holds; empty where it holds none.
Name toName(const ldns_rdf* data);
// nullptr where the text is not a name.
LdnsHandle<ldns_rdf> toRdf(const Name& name);

}  // namespace sablespur::dns
