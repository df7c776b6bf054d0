#include "cluster/udp/datagrams.hpp"

#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace sablespur {
namespace {

constexpr int kReceivesPerTurn = 64;  // per pass of the event loop, so that requests are not delayed
constexpr int kErrorsPerTurn = 16;    // transient errors skipped in one pass
// Pause after any other error, or after more transient errors: a socket that stays readable would
// otherwise make the event loop spin.
constexpr std::chrono::milliseconds kErrorPause(100);

// Returns true for errors caused by an earlier datagram or a signal; the next call may succeed.
bool isTransient(int error) {
  return error == EINTR || error == ECONNREFUSED || error == EHOSTUNREACH || error == ENETUNREACH ||
         error == EHOSTDOWN || error == ENETDOWN || error == EMSGSIZE || error == EPERM;
}

}  // namespace

SenderTable::Key SenderTable::keyOf(const sockaddr* address) {
  Key key;
  if (address->sa_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(address);
    key.low = v4->sin_addr.s_addr;
    key.portAndFamily = std::uint32_t{v4->sin_port} << 16 | AF_INET;
  } else if (address->sa_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(address);
    std::memcpy(&key.high, v6->sin6_addr.s6_addr, sizeof key.high);
    std::memcpy(&key.low, v6->sin6_addr.s6_addr + sizeof key.high, sizeof key.low);
    key.portAndFamily = std::uint32_t{v6->sin6_port} << 16 | AF_INET6;
  }
  return key;
}
std::size_t SenderTable::Hash::operator()(const Key& key) const {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ull;  // 2^64 over the golden ratio
  std::uint64_t hash = (key.high ^ key.portAndFamily) * kMultiplier;
  hash = (hash ^ hash >> 32 ^ key.low) * kMultiplier;
  return static_cast<std::size_t>(hash ^ hash >> 29);
}
bool SenderTable::add(const Address& address, std::size_t index) {
  return indices_.emplace(keyOf(address.data()), index).second;
}
std::size_t SenderTable::find(const sockaddr* address) const {
  const auto it = indices_.find(keyOf(address));
  return it == indices_.end() ? kUnknown : it->second;
}

DatagramSocket::DatagramSocket(event_base* base, const Address& listen, std::size_t maxBytes,
                               Receiver receiver)
    : receiver_(std::move(receiver)),
      buffer_(maxBytes + 1) {  // one more byte, to detect datagrams that are too long
  fd_ = socket(listen.v6() ? AF_INET6 : AF_INET, SOCK_DGRAM, 0);
  if (fd_ < 0 || evutil_make_socket_nonblocking(fd_) != 0 || evutil_make_socket_closeonexec(fd_) != 0 ||
      bind(fd_, listen.data(), listen.size()) != 0) {
    error_ = errno;
    return;
  }
  readable_.reset(event_new(
      base, fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<DatagramSocket*>(self)->read(); }, this));
  resume_.reset(event_new(
      base, -1, 0,
      [](evutil_socket_t, short, void* self) {
        event_add(static_cast<DatagramSocket*>(self)->readable_.get(), nullptr);
      },
      this));
  event_add(readable_.get(), nullptr);
}
DatagramSocket::~DatagramSocket() {
  readable_.reset();
  resume_.reset();
  if (fd_ >= 0) close(fd_);
}

bool DatagramSocket::send(const Address& to, std::string_view datagram) const {
  if (!ready()) return false;
  const auto attempt = [&] {
    return datagramCalls().send(fd_, datagram.data(), datagram.size(), MSG_DONTWAIT, to.data(), to.size());
  };
  if (attempt() >= 0) return true;
  // A signal interrupted the call, or it returned the pending error of an earlier datagram. In both
  // cases it sent nothing, so it is repeated once.
  if ((errno == EINTR || errno == ECONNREFUSED) && attempt() >= 0) return true;
  return isTransient(errno);
}

void DatagramSocket::read() {
  int errors = 0;
  for (int calls = 0; calls < kReceivesPerTurn; ++calls) {
    sockaddr_storage from{};
    socklen_t length = sizeof from;
    const ssize_t received = datagramCalls().receive(fd_, buffer_.data(), buffer_.size(), MSG_DONTWAIT,
                                                     reinterpret_cast<sockaddr*>(&from), &length);
    if (received < 0) {
      if (isTransient(errno) && ++errors <= kErrorsPerTurn) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      event_del(readable_.get());
      startTimer(resume_.get(), kErrorPause);
      return;
    }
    const std::size_t sender = senders_.find(reinterpret_cast<const sockaddr*>(&from));
    if (sender == SenderTable::kUnknown || received == 0) continue;
    receiver_(sender, std::string_view(buffer_.data(), static_cast<std::size_t>(received)));
  }
}

}  // namespace sablespur
