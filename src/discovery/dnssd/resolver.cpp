#include "discovery/dnssd/resolver.hpp"

#include <utility>

#include "discovery/dnssd/lookup.hpp"

namespace sablespur {

Resolver::Resolver(event_base* base, const Clock& clock, const DnsSdSettings& settings, Callback done)
    : base_(base),
      clock_(clock),
      settings_(settings),
      callback_(std::move(done)),
      servers_(settings.servers.size()),
      withoutEdns_(settings.servers.size()) {}
Resolver::~Resolver() = default;

void Resolver::query(const dns::Question& question, bool overTcp) {
  auto lookup = std::make_unique<Lookup>(*this, question, overTcp);
  Lookup* const key = lookup.get();
  lookups_.emplace(key, std::move(lookup));
}

void Resolver::finish(const Lookup& lookup, const Reply& reply) {
  const auto it = lookups_.find(&lookup);
  // Kept until this function returns, because the lookup itself calls it.
  const std::unique_ptr<Lookup> ended = std::move(it->second);
  lookups_.erase(it);
  const dns::Question question = ended->question();
  callback_(question, reply);
}

}  // namespace sablespur
