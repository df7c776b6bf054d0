#include "engine/acceptor.hpp"

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>

#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr int kBacklog = 1024;
constexpr int kBurst = 32;        // in one pass of the loop, so that requests in flight are not held up
constexpr int kRejectBurst = 16;  // the same, on the reserved descriptor
constexpr Clock::Time kRecoveredAfter = std::chrono::seconds(1);  // without a failure
constexpr std::chrono::microseconds kMinPause = std::chrono::milliseconds(20);
constexpr std::chrono::microseconds kMaxPause = std::chrono::seconds(1);

}  // namespace

Acceptor::Acceptor(event_base* base, const Clock& clock, const Address& at, ResourceBudget& account,
                   ReservedDescriptor& spare, ConnectionHandler taker, bool share)
    : clock_(clock), budget_(account), reservedDescriptor_(spare), handler_(std::move(taker)) {
  const auto fail = [&] {
    const std::string why = std::strerror(errno);
    if (fd_ >= 0) close(fd_);
    throw std::runtime_error("key listen: " + why);
  };
  fd_ = systemCalls().socket(at.v6() ? AF_INET6 : AF_INET);
  const int on = 1;
  if (fd_ < 0 || setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      (share && setsockopt(fd_, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0) ||
      bind(fd_, at.data(), at.size()) != 0 || listen(fd_, kBacklog) != 0)
    fail();
  readable_.reset(event_new(
      base, fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Acceptor*>(self)->acceptBurst(); }, this));
  resumeTimer_.reset(event_new(
      base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Acceptor*>(self)->resume(); }, this));
  event_add(readable_.get(), nullptr);
}
Acceptor::~Acceptor() {
  readable_.reset();
  close(fd_);
}

int Acceptor::port() const {
  sockaddr_storage a{};
  socklen_t length = sizeof a;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &length);
  return Address::fromSocket(reinterpret_cast<const sockaddr*>(&a)).port();
}

// Attaches a filter that selects the second socket of the reuseport group, that of the process that started
// later (SO_ATTACH_REUSEPORT_CBPF, socket(7)). Without a second one the system selects by its hash.
void Acceptor::handOverListener() {
  sock_filter second{BPF_RET | BPF_K, 0, 0, 1};
  const sock_fprog program{1, &second};
  if (setsockopt(fd_, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) != 0)
    logEvent(LogLevel::Warning, "listener_handover_failed", {{"why", std::strerror(errno)}});
}

void Acceptor::drainBacklog() {
  for (int n = 0; n < kBacklog && handler_.hasRoom(); ++n) {
    sockaddr_storage from{};
    socklen_t length = sizeof from;
    const int fd = systemCalls().accept(fd_, reinterpret_cast<sockaddr*>(&from), &length);
    if (fd < 0) {
      const SocketFault fault = classify(SocketCall::Accept, errno);
      if (fault == SocketFault::Transient) continue;  // an error of one connection; others may wait behind it
      if (fault == SocketFault::OwnResource) rejectConnections();
      return;
    }
    handler_.accepted(fd, reinterpret_cast<const sockaddr*>(&from));
  }
}

void Acceptor::resume() {
  event_del(resumeTimer_.get());
  event_add(readable_.get(), nullptr);
}
void Acceptor::pause(std::chrono::microseconds t) {
  event_del(readable_.get());
  startTimer(resumeTimer_.get(), t);
}

void Acceptor::acceptBurst() {
  bool accepted = false;
  for (int n = 0; n < kBurst; ++n) {
    if (!handler_.hasRoom()) return pause(kMinPause);
    sockaddr_storage from{};
    socklen_t length = sizeof from;
    const int fd = systemCalls().accept(fd_, reinterpret_cast<sockaddr*>(&from), &length);
    if (fd < 0) {
      if (!handleAcceptError(errno)) return;
      continue;
    }
    accepted = true;
    backoff_ = {};
    if (exhausted_ && clock_.now() - lastFailureAt_ >= kRecoveredAfter) {
      logEvent(LogLevel::Info, "accept_recovered");
      exhausted_ = false;
    }
    handler_.accepted(fd, reinterpret_cast<const sockaddr*>(&from));
  }
  // An error that persists takes no connection off the queue, so the listener stays readable: without a pause
  // the loop would spin.
  if (accepted) return;
  backoff_ = kMinPause;
  pause(backoff_);
}

bool Acceptor::handleAcceptError(int error) {
  const SocketFault fault = classify(SocketCall::Accept, error);
  if (fault == SocketFault::BadDescriptor) pause(kMaxPause);
  if (fault != SocketFault::OwnResource) return fault == SocketFault::Transient;
  const ResourceExhaustion what = resourceExhaustionOf(error);
  budget_.recordExhaustion(what);
  if (!exhausted_)
    logEvent(LogLevel::Warning, "accept_failed",
             {{"why", std::strerror(error)}, {"of", resourceExhaustionName(what)}});
  exhausted_ = true;
  lastFailureAt_ = clock_.now();
  if (what == ResourceExhaustion::Memory) {
    backoff_ = std::clamp(backoff_ * 2, kMinPause, kMaxPause);
    pause(backoff_);
    return false;
  }
  handler_.onExhaustion();
  rejectConnections();
  backoff_ = kMinPause;
  pause(kMinPause);
  return false;
}

// Without this, clients would wait in the backlog with no answer until their deadline.
void Acceptor::rejectConnections() {
  for (int n = 0; n < kRejectBurst; ++n) {
    bool took = false;
    reservedDescriptor_.lend([&] {
      const int fd = systemCalls().accept(fd_, nullptr, nullptr);
      if (fd < 0) return;
      took = true;
      handler_.reject(fd);
      close(fd);
    });
    reservedDescriptor_.reacquire();
    if (!took) return;
  }
}

}  // namespace sablespur
