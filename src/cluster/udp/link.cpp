#include "cluster/udp/link.hpp"

#include <algorithm>
#include <cstring>
#include <functional>

#include "logging/log.hpp"

namespace sablespur {
namespace {

std::int64_t tightestBoundMs(const balancer::Settings& s) {
  std::int64_t tightest = 1000;
  for (const auto& c : s.classes)
    if (c.requirement == balancer::Requirement::BoundedStaleness)
      tightest = std::min(tightest, std::int64_t{c.maxStaleness.count() / 1000});
  return tightest;
}

std::vector<Address> othersOf(const Config& config, SenderTable& senders) {
  std::vector<Address> others;
  for (const Address& peer : config.peers)
    if (peer != config.peerListen && senders.add(peer, others.size())) others.push_back(peer);
  return others;
}

// The same update with its position on a clock that is ahead by `byMs`.
cluster::GossipUpdate moved(cluster::GossipUpdate update, std::int64_t byMs) {
  update.positionMs += byMs;
  return update;
}

cluster::GossipScheduler::Policy policyOf(const Config& config, std::size_t others) {
  // The proxies of a fleet may be given one seed; their addresses differ.
  const std::uint64_t seed = config.seed ^ cluster::endpointTag(config.peerListen.text());
  return {others, tightestBoundMs(config.settings), !config.peersAll.none(), seed};
}

}  // namespace

PeerLink::PeerLink(event_base* base, Engine& engine, const Config& config)
    : engine_(engine),
      config_(config),
      socket_(base, config.peerListen, cluster::kMaxDatagramBytes,
              [this](std::size_t peer, std::string_view datagram) { receive(peer, datagram); }),
      others_(othersOf(config, socket_.senders())),
      scheduler_(std::in_place, policyOf(config, others_.size())),
      urgent_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<PeerLink*>(self)->flush(); },
          this)) {
  if (!socket_.ready())
    logEvent(LogLevel::Warning, "gossip_listen_failed", {{"why", std::strerror(socket_.error())}});
}

void PeerLink::send(std::size_t peer, const std::string& datagram) {
  if (peer >= others_.size() || datagram.size() > cluster::kMaxDatagramBytes) return;
  socket_.send(others_[peer], datagram);
}

void PeerLink::statusObserved(const cluster::GossipUpdate& hint) {
  if (!config_.hints) return;
  followReference();
  scheduler_->observedLocally(moved(hint, -offsetMs_), nowMs());
}

void PeerLink::flush() {
  followReference();
  while (scheduler_->takeDatagram(nowMs(), due_)) transmit();
  armTimer();
}

// Updates sent under another reference say nothing about what peers still need.
void PeerLink::followReference() {
  const std::int64_t offsetMs = engine_.clockOffset().count() / 1000;
  if (offsetMs == offsetMs_) return;
  offsetMs_ = offsetMs;
  scheduler_.emplace(policyOf(config_, others_.size()));
}

void PeerLink::transmit() {
  if (tracing()) logEvent(LogLevel::Trace, "gossip_sent", {{"hints", due_.size()}});
  for (cluster::GossipUpdate& hint : due_) hint = moved(hint, offsetMs_);
  const std::string datagram = cluster::encode(due_);
  if (!config_.peersAll.none()) {
    socket_.send(config_.peersAll, datagram);
    return;
  }
  for (const std::size_t peer : scheduler_->drawReceivers())
    if (!socket_.send(others_[peer], datagram)) return;
}

void PeerLink::armTimer() {
  const auto at = scheduler_->urgentAtMs();
  if (!at) return;
  startTimer(urgent_.get(), std::chrono::milliseconds(std::max<std::int64_t>(*at - nowMs(), 0)));
}

void PeerLink::receive(std::size_t peer, std::string_view datagram) {
  if (!cluster::isGossip(datagram)) {
    if (snapshotHeaderHandler_) snapshotHeaderHandler_(peer, datagram);
    return;
  }
  if (!config_.hints) return;
  followReference();
  const std::int64_t now = nowMs();
  const std::size_t count = cluster::gossipUpdateCount(datagram);
  for (std::size_t k = 0; k < count; ++k) {
    const cluster::GossipUpdate hint = cluster::gossipUpdateAt(datagram, k, now + offsetMs_);
    scheduler_->receivedFromPeer(moved(hint, -offsetMs_), now);
    engine_.gossipReceived(hint);
  }
}

}  // namespace sablespur
