#include "peers/udp/link.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "log/log.hpp"

namespace sablespur {
namespace {

constexpr int kBurst = 128;  // datagrams in one pass of the loop: requests come between

std::int64_t tightestBoundMs(const knotstack::Settings& s) {
  std::int64_t t = 1000;
  for (const auto& c : s.classes)
    if (c.need == knotstack::Need::Bounded) t = std::min(t, std::int64_t{c.bound.count() / 1000});
  return t;
}

}  // namespace

PeerLink::PeerLink(event_base* base, Engine& engine, const Config& config)
    : engine_(engine), config_(config), gossip_({config.peers.size(), tightestBoundMs(config.settings)}) {
  for (const Address& a : config.peers)
    if (a != config.peerListen && from_.emplace(a.text(), others_.size()).second) others_.push_back(a);
  fd_ = socket(config.peerListen.v6() ? AF_INET6 : AF_INET, SOCK_DGRAM, 0);
  if (fd_ < 0 || evutil_make_socket_nonblocking(fd_) != 0 || evutil_make_socket_closeonexec(fd_) != 0 ||
      bind(fd_, config.peerListen.data(), config.peerListen.size()) != 0) {
    logEvent(LogLevel::Warning, "peers_unheard", {{"why", std::strerror(errno)}});
    return;
  }
  readable_.reset(event_new(
      base, fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<PeerLink*>(self)->read(); }, this));
  event_add(readable_.get(), nullptr);
}
PeerLink::~PeerLink() {
  readable_.reset();
  if (fd_ >= 0) close(fd_);
}

void PeerLink::send(std::size_t peer, const std::string& datagram) {
  if (!readable_ || peer >= others_.size() || datagram.size() > peers::kLongestDatagram) return;
  const Address& to = others_[peer];
  sendto(fd_, datagram.data(), datagram.size(), MSG_DONTWAIT, to.data(), to.size());
}

void PeerLink::learned(const peers::Hint& h) {
  if (config_.hints && gossip_.learned(h, nowMs())) pending_.push_back(h);
}

void PeerLink::flush() {
  std::vector<peers::Hint> hints;
  hints.swap(pending_);
  if (!readable_) return;
  if (tracing() && !hints.empty()) logEvent(LogLevel::Trace, "told", {{"hints", hints.size()}});
  for (std::size_t at = 0; at < hints.size(); at += peers::kHintsPerDatagram) {
    const std::string datagram = peers::encode(hints, at);
    const auto tell = [&](const Address& to) {
      sendto(fd_, datagram.data(), datagram.size(), MSG_DONTWAIT, to.data(), to.size());  // lost is lost
    };
    if (!config_.peersAll.none())
      tell(config_.peersAll);
    else
      for (const Address& to : others_) tell(to);
  }
}

void PeerLink::read() {
  std::vector<peers::Hint> all;
  for (int n = 0; n < kBurst; ++n) {
    char bytes[peers::kLongestDatagram + 1];
    sockaddr_storage from{};
    socklen_t length = sizeof from;
    const ssize_t got =
        recvfrom(fd_, bytes, sizeof bytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &length);
    if (got < 0) break;
    const auto who = from_.find(Address::fromSocket(reinterpret_cast<const sockaddr*>(&from)).text());
    if (who == from_.end() || got == 0) continue;
    const std::string_view datagram(bytes, static_cast<std::size_t>(got));
    if (heads_ && !peers::holdsHints(datagram)) {
      heads_(who->second, datagram);
      continue;
    }
    if (!config_.hints) continue;
    for (const peers::Hint& h : peers::decode(datagram, nowMs())) {
      gossip_.heard(h, nowMs());
      all.push_back(h);
    }
  }
  if (!all.empty()) engine_.heard(std::move(all));
}

}  // namespace sablespur
