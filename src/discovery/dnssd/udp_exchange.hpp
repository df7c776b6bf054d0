// Sends one query to a name server over UDP, from its own socket and thus a random port.
#pragma once

#include <optional>
#include <string>

#include "discovery/dnssd/exchange.hpp"
#include "engine/event.hpp"
#include "engine/file_descriptor.hpp"
#include "support/address.hpp"

namespace sablespur {

class UdpExchange {
 public:
  // The handler must outlive the exchange. It is called only from the event loop.
  UdpExchange(event_base*, SentQuery, ExchangeHandler&);
  UdpExchange(const UdpExchange&) = delete;
  UdpExchange& operator=(const UdpExchange&) = delete;

  // Sends `bytes`, the encoded query. A failure is returned and not passed to the handler.
  std::optional<SocketFailure> start(const Address& server, const std::string& bytes);

 private:
  void readMessages();

  event_base* const base_;
  const SentQuery query_;
  ExchangeHandler& handler_;
  FileDescriptor socket_;
  Event readable_;
};

}  // namespace sablespur
