// A query to a name server over a TCP connection of its own; messages have a length of two bytes before them
// (RFC 1035 section 4.2.2, RFC 7766).
#pragma once

#include <optional>
#include <string>

#include "discovery/dnssd/exchange.hpp"
#include "engine/event.hpp"
#include "support/address.hpp"

namespace sablespur {

class TcpExchange {
 public:
  // The handler has to outlive it, and is called from the loop alone.
  TcpExchange(event_base*, SentQuery, ExchangeHandler&);
  TcpExchange(const TcpExchange&) = delete;
  TcpExchange& operator=(const TcpExchange&) = delete;

  // Connects, and sends `bytes`, the encoded query, once connected. A failure that is known at once is
  // returned and not passed to the handler.
  std::optional<SocketFailure> start(const Address& server, const std::string& bytes);

 private:
  void readMessage();
  void connectionEnded(short what);

  event_base* const base_;
  const SentQuery query_;
  ExchangeHandler& handler_;
  BufferEvent connection_;
};

}  // namespace sablespur
