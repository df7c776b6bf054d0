// Questions to name servers over UDP and, after truncation or on demand, TCP (RFC 1035, 5452, 6891, 7766).
// Each question has a random id and a socket of its own, hence a port of the system's choice; what comes from
// elsewhere, or with another id or question, is counted and passed over, and the wait for the answer goes on.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "discovery/dnssd/name_servers.hpp"
#include "engine/clock.hpp"
#include "engine/event.hpp"
#include "protocol/dns/message.hpp"

namespace sablespur {

class Resolver {
 public:
  struct Reply {
    bool ok = false;  // some server gave an answer that is one (Directory's judge)
    dns::Message message;
    bool tcp = false;
    std::string error;  // not ok: what the last server did
  };
  using Callback = std::function<void(const dns::Question&, const Reply&)>;

  Resolver(event_base*, const Clock&, const DnsSdSettings&, Callback);
  ~Resolver();
  Resolver(const Resolver&) = delete;
  Resolver& operator=(const Resolver&) = delete;

  // Ends in one call of `done`, from the loop and never within this call. All end silently with the Resolver.
  void query(const dns::Question&, bool tcp);

  struct Counts {
    std::uint64_t udp = 0, tcp = 0, discarded = 0, failovers = 0, failed = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  class Lookup;
  void finish(Lookup&, Reply);

  event_base* const base_;
  const Clock& clock_;
  const DnsSdSettings settings_;
  const Callback callback_;
  NameServers servers_;
  std::vector<bool> withoutEdns_;  // servers that turned EDNS0 down
  std::random_device random_;
  Counts counts_;
  std::unordered_map<Lookup*, std::unique_ptr<Lookup>> lookups_;
};

}  // namespace sablespur
