#include "discovery/dnssd/tcp_exchange.hpp"

#include <array>
#include <cstddef>
#include <utility>

namespace sablespur {
namespace {

constexpr std::size_t kLengthSize = 2;

}  // namespace

TcpExchange::TcpExchange(event_base* base, SentQuery query, ExchangeHandler& handler)
    : base_(base), query_(std::move(query)), handler_(handler) {}

std::optional<SocketFailure> TcpExchange::start(const Address& server, const std::string& bytes) {
  const StartedConnect started = startConnect(server);
  if (started.fd < 0) return SocketFailure{classify(SocketCall::Connect, started.error), started.error};
  connection_.reset(bufferevent_socket_new(base_, started.fd, BEV_OPT_CLOSE_ON_FREE));
  evbuffer* const output = bufferevent_get_output(connection_.get());
  const std::array<char, kLengthSize> length{static_cast<char>(bytes.size() >> 8),
                                             static_cast<char>(bytes.size())};
  append(output, {length.data(), length.size()});
  append(output, bytes);
  bufferevent_setcb(
      connection_.get(), [](bufferevent*, void* self) { static_cast<TcpExchange*>(self)->readMessage(); },
      nullptr,
      [](bufferevent*, short what, void* self) { static_cast<TcpExchange*>(self)->connectionEnded(what); },
      this);
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  // The socket is already connecting; this waits for the result.
  bufferevent_socket_connect(connection_.get(), nullptr, 0);
  return std::nullopt;
}

void TcpExchange::readMessage() {
  evbuffer* const input = bufferevent_get_input(connection_.get());
  std::array<unsigned char, kLengthSize> length{};
  if (evbuffer_copyout(input, length.data(), kLengthSize) < static_cast<ev_ssize_t>(kLengthSize)) return;
  const std::size_t size = std::size_t{length[0]} << 8 | length[1];
  if (evbuffer_get_length(input) < kLengthSize + size) return;
  const auto* const bytes =
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(kLengthSize + size)));
  auto message = dns::parse({bytes + kLengthSize, size});
  if (message && query_.isAnsweredBy(*message)) return handler_.answered(std::move(*message));
  handler_.messageDiscarded();
  handler_.serverFailed("the TCP response is malformed or does not match the query");
}

void TcpExchange::connectionEnded(short what) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    handler_.serverFailed("the TCP connection was closed or could not be established");
}

}  // namespace sablespur
