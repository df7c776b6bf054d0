// Parses DNS messages from untrusted senders, encodes them again and parses the result.
#include <cstdlib>
#include <string>

#include "fuzz/target.hpp"
#include "protocol/dns/message.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto m = dns::parse({reinterpret_cast<const char*>(data), size});
  if (!m) return 0;
  for (const auto* section : {&m->answers, &m->authorities, &m->additionals})
    for (const dns::Record& r : *section) {
      if (r.name.empty() || r.ttl > 0x7fffffff) std::abort();
      dns::firstLabel(r.name);
      dns::isWithin(r.name, "example.org.");
      if (const auto* name = std::get_if<dns::Name>(&r.data);
          name && !name->empty() && !dns::parseName(*name))
        std::abort();  // every parsed name must be valid
    }
  const std::string encoded = dns::encode(*m);
  if (encoded.empty()) return 0;
  const auto reparsed = dns::parse(encoded);
  if (!reparsed || reparsed->id != m->id || reparsed->answers.size() > m->answers.size()) std::abort();
  return 0;
}
