// Sends one query to a name server over its own TCP connection. Each message is preceded by its
// length in two bytes (RFC 1035 section 4.2.2, RFC 7766).
#pragma once

#include <optional>
#include <string>

#include "discovery/dnssd/exchange.hpp"
#include "engine/event.hpp"
#include "support/address.hpp"

namespace sablespur {

class TcpExchange {
 public:
  // The handler must outlive the exchange. It is called only from the event loop.
  TcpExchange(event_base*, SentQuery, ExchangeHandler&);
  TcpExchange(const TcpExchange&) = delete;
  TcpExchange& operator=(const TcpExchange&) = delete;

  // Connects, and sends `bytes`, the encoded query, once connected. An immediate failure is
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
