#include "engine/acceptor.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "engine/listening_socket.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr int kBacklog = 1024;
// Connections accepted per event loop iteration: bounded so that requests in flight are not
// delayed.
constexpr int kMaxAcceptsPerIteration = 32;
// The same bound for connections that are rejected on the reserved descriptor.
constexpr int kMaxRejectsPerIteration = 16;
// Time without a failure after which accept(2) counts as recovered.
constexpr Clock::Time kRecoveredAfter = std::chrono::seconds(1);
constexpr std::chrono::microseconds kMinPause = std::chrono::milliseconds(20);
constexpr std::chrono::microseconds kMaxPause = std::chrono::seconds(1);

}  // namespace

Acceptor::Acceptor(event_base* base, const Clock& clock, const Address& address, ResourceBudget& budget,
                   ReservedDescriptor& reserved, ConnectionHandler handler, bool share)
    : clock_(clock),
      budget_(budget),
      reservedDescriptor_(reserved),
      handler_(std::move(handler)),
      socket_(openListeningSocket(address, kBacklog, share ? PortSharing::Shared : PortSharing::Exclusive,
                                  "listen")),
      readable_(event_new(
          base, socket_.get(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<Acceptor*>(self)->acceptBurst(); }, this)),
      resumeTimer_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Acceptor*>(self)->resume(); },
          this)) {
  event_add(readable_.get(), nullptr);
}
Acceptor::~Acceptor() = default;

int Acceptor::port() const {
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  getsockname(socket_.get(), reinterpret_cast<sockaddr*>(&address), &length);
  return Address::fromSocket(reinterpret_cast<const sockaddr*>(&address)).port();
}

// Attaches a filter (SO_ATTACH_REUSEPORT_CBPF, socket(7)) that selects the second socket of the
// reuseport group, which belongs to the process that started later. If the group has no second
// socket, the kernel selects by hash.
void Acceptor::handOverListener() const {
  sock_filter second{BPF_RET | BPF_K, 0, 0, 1};
  const sock_fprog program{1, &second};
  if (setsockopt(socket_.get(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) != 0)
    logEvent(LogLevel::Warning, "listener_handover_failed", {{"why", std::strerror(errno)}});
}

void Acceptor::drainBacklog() {
  for (int count = 0; count < kBacklog && handler_.hasRoom(); ++count) {
    if (const auto connection = acceptOne()) {
      handler_.accepted(connection->fd, connection->peerAddress());
      continue;
    }
    const SocketFault fault = classify(SocketCall::Accept, errno);
    if (fault == SocketFault::Transient) continue;  // error of one connection only
    if (fault == SocketFault::OwnResource) rejectConnections();
    return;
  }
}

void Acceptor::resume() {
  event_del(resumeTimer_.get());
  event_add(readable_.get(), nullptr);
}

void Acceptor::pause(std::chrono::microseconds span) {
  event_del(readable_.get());
  startTimer(resumeTimer_.get(), span);
}

void Acceptor::acceptBurst() {
  bool accepted = false;
  for (int count = 0; count < kMaxAcceptsPerIteration; ++count) {
    if (!handler_.hasRoom()) return pause(kMinPause);
    const auto connection = acceptOne();
    if (!connection) {
      if (!handleAcceptError(errno)) return;
      continue;
    }
    accepted = true;
    recordSuccess();
    handler_.accepted(connection->fd, connection->peerAddress());
  }
  // A persistent error leaves the backlog as it is, so the listener stays readable: without a pause
  // the loop would spin.
  if (accepted) return;
  backoff_ = kMinPause;
  pause(backoff_);
}

std::optional<Acceptor::AcceptedConnection> Acceptor::acceptOne() {
  AcceptedConnection connection;
  socklen_t length = sizeof connection.peer;
  connection.fd = systemCalls().accept(socket_.get(), reinterpret_cast<sockaddr*>(&connection.peer), &length);
  return connection.fd < 0 ? std::nullopt : std::make_optional(connection);
}

void Acceptor::recordSuccess() {
  backoff_ = {};
  if (!exhausted_ || clock_.now() - lastFailureAt_ < kRecoveredAfter) return;
  logEvent(LogLevel::Info, "accept_recovered");
  exhausted_ = false;
}

bool Acceptor::handleAcceptError(int error) {
  const SocketFault fault = classify(SocketCall::Accept, error);
  if (fault == SocketFault::BadDescriptor) pause(kMaxPause);
  if (fault != SocketFault::OwnResource) return fault == SocketFault::Transient;
  const ResourceExhaustion resource = resourceExhaustionOf(error);
  recordExhaustion(resource, error);
  if (resource == ResourceExhaustion::Memory) {
    backoff_ = std::clamp(backoff_ * 2, kMinPause, kMaxPause);
  } else {
    handler_.onExhaustion();
    rejectConnections();
    backoff_ = kMinPause;
  }
  pause(backoff_);
  return false;
}

void Acceptor::recordExhaustion(ResourceExhaustion resource, int error) {
  budget_.recordExhaustion(resource);
  if (!exhausted_)
    logEvent(LogLevel::Warning, "accept_failed",
             {{"why", std::strerror(error)}, {"of", resourceExhaustionName(resource)}});
  exhausted_ = true;
  lastFailureAt_ = clock_.now();
}

// Accepts and rejects pending connections on the reserved descriptor. Otherwise these clients would
// wait in the backlog until their deadline.
void Acceptor::rejectConnections() {
  for (int count = 0; count < kMaxRejectsPerIteration; ++count) {
    bool rejected = false;
    reservedDescriptor_.callWhileReleased([&] {
      const FileDescriptor connection(systemCalls().accept(socket_.get(), nullptr, nullptr));
      if (!connection) return;
      rejected = true;
      handler_.reject(connection.get());
    });
    reservedDescriptor_.reacquire();
    if (!rejected) return;
  }
}

}  // namespace sablespur
