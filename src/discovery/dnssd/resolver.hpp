// Sends queries to name servers over UDP and, after truncation or on request, TCP (RFC 1035, 5452,
// 6891, 7766). Each query has a random id and its own socket, hence a random port. Over UDP, a
// message with another id or question is counted and discarded, and the query keeps waiting for its
// answer.
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
  // The first usable answer (see classifyAnswer).
  struct Answer {
    dns::Message message;
    bool overTcp = false;
  };
  struct Failure {
    std::string reason;  // the failure of the last server tried
  };
  using Reply = std::variant<Answer, Failure>;
  using Callback = std::function<void(const dns::Question&, const Reply&)>;

  // The clock must outlive the resolver. The settings are copied.
  Resolver(event_base*, const Clock&, const DnsSdSettings&, Callback);
  ~Resolver();
  Resolver(const Resolver&) = delete;
  Resolver& operator=(const Resolver&) = delete;

  // Starts a query. Its outcome is passed to the callback once, from the event loop and never
  // within this call. Destroying the resolver cancels all queries without calling the callback.
  void query(const dns::Question&, bool overTcp);

  struct Counts {
    std::uint64_t udp = 0;        // queries sent over UDP
    std::uint64_t tcp = 0;        // queries sent over TCP
    std::uint64_t discarded = 0;  // malformed messages, and those that match no query
    std::uint64_t failovers = 0;  // changes to another server during a query
    std::uint64_t failed = 0;     // queries without a usable answer from any server
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
