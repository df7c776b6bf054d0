// Types shared by UdpExchange and TcpExchange, which each send one query to one name server.
#pragma once

#include <cstdint>
#include <string>

#include "engine/system_calls.hpp"
#include "protocol/dns/message.hpp"

namespace sablespur {

// The id and question of a query that was sent.
struct SentQuery {
  std::uint16_t id = 0;
  dns::Question question;

  // Whether the id and question of a message match this query (RFC 5452 section 9.1). The connected
  // socket checks the addresses and ports.
  bool isAnsweredBy(const dns::Message&) const;
};

// A failed system call of an exchange.
struct SocketFailure {
  SocketFault fault = SocketFault::None;
  int error = 0;  // errno
};

// Receives the outcome of an exchange: exactly one call of answered(), socketFailed() or
// serverFailed(), after any number of calls of messageDiscarded(). The handler may destroy the
// exchange in the first three.
class ExchangeHandler {
 public:
  virtual ~ExchangeHandler() = default;
  virtual void answered(dns::Message) = 0;
  virtual void socketFailed(const SocketFailure&) = 0;
  // A failure that is always counted against the server.
  virtual void serverFailed(const std::string& reason) = 0;
  // A received message was malformed or did not match the query.
  virtual void messageDiscarded() = 0;
};

}  // namespace sablespur
