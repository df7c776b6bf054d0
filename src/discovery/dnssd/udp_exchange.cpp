#include "discovery/dnssd/udp_exchange.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace sablespur {
namespace {

constexpr std::size_t kMaxDatagramSize = 65535;
// Bounds the time that a flood of forged answers can block the event loop.
constexpr int kMaxDatagramsPerRead = 64;

SocketFailure failureOf(SocketCall call, int error) { return {classify(call, error), error}; }

ssize_t sendDatagram(int socket, const std::string& bytes) {
  ssize_t sent = 0;
  do {
    sent = send(socket, bytes.data(), bytes.size(), 0);
  } while (sent < 0 && errno == EINTR);
  return sent;
}

}  // namespace

UdpExchange::UdpExchange(event_base* base, SentQuery query, ExchangeHandler& handler)
    : base_(base), query_(std::move(query)), handler_(handler) {}

std::optional<SocketFailure> UdpExchange::start(const Address& server, const std::string& bytes) {
  socket_.reset(::socket(server.data()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_) return failureOf(SocketCall::Open, errno);
  // Connected, so that the kernel delivers only datagrams from this server's address and port.
  if (connect(socket_.get(), server.data(), server.size()) != 0) return failureOf(SocketCall::Connect, errno);
  if (sendDatagram(socket_.get(), bytes) < 0) return failureOf(SocketCall::Transfer, errno);
  readable_.reset(event_new(
      base_, socket_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<UdpExchange*>(self)->readMessages(); }, this));
  event_add(readable_.get(), nullptr);
  return std::nullopt;
}

void UdpExchange::readMessages() {
  static std::array<char, kMaxDatagramSize> bytes;  // static: there is a single event-loop thread
  for (int count = 0; count < kMaxDatagramsPerRead; ++count) {
    const ssize_t size = recv(socket_.get(), bytes.data(), bytes.size(), 0);
    if (size < 0) {
      const SocketFailure failure = failureOf(SocketCall::Transfer, errno);
      if (failure.fault == SocketFault::None || failure.fault == SocketFault::Transient) return;
      return handler_.socketFailed(failure);  // such as ECONNREFUSED: no listener on the port
    }
    auto message = dns::parse({bytes.data(), static_cast<std::size_t>(size)});
    if (message && query_.isAnsweredBy(*message)) return handler_.answered(std::move(*message));
    handler_.messageDiscarded();
  }
}

}  // namespace sablespur
