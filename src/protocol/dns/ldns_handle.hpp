// RAII handles for objects allocated by ldns, and conversion of names. Private to src/protocol/dns.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <memory>

#include "protocol/dns/name.hpp"

// Included last, with the bool macros that it defines for C compilers removed: standard library
// headers do not compile with them.
#include <ldns/ldns.h>
#undef bool
#undef true
#undef false

namespace sablespur::dns {

struct LdnsDeleter {
  void operator()(ldns_pkt* packet) const { ldns_pkt_free(packet); }
  void operator()(ldns_rdf* data) const { ldns_rdf_deep_free(data); }
  void operator()(ldns_rr* record) const { ldns_rr_free(record); }
  // ldns allocates texts and wire formats with malloc and leaves freeing them to the caller.
  void operator()(char* text) const { std::free(text); }            // NOLINT(cppcoreguidelines-no-malloc)
  void operator()(std::uint8_t* bytes) const { std::free(bytes); }  // NOLINT(cppcoreguidelines-no-malloc)
};
template <typename T>
using LdnsHandle = std::unique_ptr<T, LdnsDeleter>;

// Returns the name in a record data field; empty if the field does not hold a name.
Name toName(const ldns_rdf* data);
// Returns nullptr if the text is not a valid name.
LdnsHandle<ldns_rdf> toRdf(const Name& name);

}  // namespace sablespur::dns
