// One query of the resolver. Tries one name server after another until one gives a usable answer.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "discovery/dnssd/exchange.hpp"
#include "discovery/dnssd/resolver.hpp"
#include "discovery/dnssd/tcp_exchange.hpp"
#include "discovery/dnssd/udp_exchange.hpp"
#include "engine/event.hpp"

namespace sablespur {

class Resolver::Lookup final : public ExchangeHandler {
 public:
  // Starts asynchronously: the first server is queried from the event loop. Ends with
  // Resolver::finish, which destroys the lookup.
  Lookup(Resolver&, dns::Question, bool startsWithTcp);

  const dns::Question& question() const { return question_; }

 private:
  void timerFired();
  void queryNextServer();
  void sendOverUdp();
  void sendOverTcp();
  void deferFailure(const SocketFailure&);
  void failOver(const std::string& reason);
  void closeExchange();

  // ExchangeHandler
  void answered(dns::Message) override;
  void socketFailed(const SocketFailure&) override;
  void serverFailed(const std::string& reason) override;
  void messageDiscarded() override;

  const Address& server() const { return resolver_.settings_.servers[serverIndex_]; }
  SentQuery newQuery() const;
  std::string encode(const SentQuery&) const;

  Resolver& resolver_;
  const dns::Question question_;
  const bool startsWithTcp_;
  std::vector<bool> tried_;  // by server index
  bool started_ = false;
  std::size_t serverIndex_ = 0;  // the server being queried
  std::string lastError_ = "no name server";
  std::optional<SocketFailure> deferredFailure_;
  Event timer_;
  std::optional<UdpExchange> udp_;
  std::optional<TcpExchange> tcp_;
};

}  // namespace sablespur
