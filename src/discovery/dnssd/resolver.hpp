// Queries to name servers over UDP and, after truncation or on request, TCP (RFC 1035, 5452, 6891, 7766).
// Each query has a random id and a socket of its own, hence a random port; a message from elsewhere, or with
// another id or question, is counted and discarded, and the wait for the answer goes on.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "config/config.hpp"
#include "discovery/dnssd/name_servers.hpp"
#include "engine/clock.hpp"
#include "engine/event.hpp"
#include "protocol/dns/message.hpp"

namespace sablespur {

class Resolver {
 public:
  // Some server gave an answer that is usable (classifyAnswer).
  struct Answer {
    dns::Message message;
    bool overTcp = false;
  };
  struct Failure {
    std::string reason;  // how the last server failed
  };
  using Reply = std::variant<Answer, Failure>;
  using Callback = std::function<void(const dns::Question&, const Reply&)>;

  // The clock has to outlive it. The settings are copied.
  Resolver(event_base*, const Clock&, const DnsSdSettings&, Callback);
  ~Resolver();
  Resolver(const Resolver&) = delete;
  Resolver& operator=(const Resolver&) = delete;

  // Ends in one call of the callback, from the loop and never within this call. With the Resolver all queries
  // end without one.
  void query(const dns::Question&, bool overTcp);

  struct Counts {
    std::uint64_t udp = 0;        // queries sent over UDP
    std::uint64_t tcp = 0;        // queries sent over TCP
    std::uint64_t discarded = 0;  // messages that answer no query
    std::uint64_t failovers = 0;  // from one server to the next
    std::uint64_t failed = 0;     // queries that no server has answered
  };
  const Counts& counts() const { return counts_; }

 private:
  class Lookup;
  void finish(const Lookup&, const Reply&);

  event_base* const base_;
  const Clock& clock_;
  const DnsSdSettings settings_;
  const Callback callback_;
  NameServers servers_;
  std::vector<bool> withoutEdns_;  // servers that rejected EDNS0
  std::random_device random_;
  Counts counts_;
  std::unordered_map<const Lookup*, std::unique_ptr<Lookup>> lookups_;
};

}  // namespace sablespur
