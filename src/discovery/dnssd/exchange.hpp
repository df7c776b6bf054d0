// One query to one name server over one transport: what UdpExchange and TcpExchange share.
#pragma once

#include <cstdint>
#include <string>

#include "engine/system_calls.hpp"
#include "protocol/dns/message.hpp"

namespace sablespur {

// A query as it was sent.
struct SentQuery {
  std::uint16_t id = 0;
  dns::Question question;

  // Whether a message is an answer to it by id and question (RFC 5452 section 9.1). Addresses and ports are
  // left to the connected socket.
  bool isAnsweredBy(const dns::Message&) const;
};

// A system call that failed on the way to the server.
struct SocketFailure {
  SocketFault fault = SocketFault::None;
  int error = 0;  // errno
};

// Receives the outcome of an exchange: one of answered(), socketFailed() and serverFailed(), after any number
// of messageDiscarded(). It may destroy the exchange in each of the three.
class ExchangeHandler {
 public:
  virtual ~ExchangeHandler() = default;
  virtual void answered(dns::Message) = 0;
  virtual void socketFailed(const SocketFailure&) = 0;
  // The server is at fault, whatever the system calls said.
  virtual void serverFailed(const std::string& why) = 0;
  // A message that is malformed, or no answer to this query.
  virtual void messageDiscarded() = 0;
};

}  // namespace sablespur
