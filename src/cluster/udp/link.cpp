#include "cluster/udp/link.hpp"

#include <algorithm>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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

bool isOwn(const Config& config, const Address& peer) {
  return peer == config.peerListen || peer == config.ownPeerAddress;
}

std::vector<Address> otherProxies(const Config& config, SenderTable& senders) {
  std::vector<Address> others;
  for (const Address& peer : config.peers)
    if (!isOwn(config, peer) && senders.add(peer, others.size())) others.push_back(peer);
  return others;
}

// Converts the update's position to a clock that is ahead by `offsetMs`.
cluster::GossipUpdate withClockOffset(cluster::GossipUpdate update, std::int64_t offsetMs) {
  update.positionMs += offsetMs;
  return update;
}

// Returns the sort key of a proxy in the ranking of relays, the same at every proxy.
std::pair<std::uint64_t, std::string> rankOf(const Address& address) {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ull;  // 2^64 over the golden ratio
  const std::uint64_t hash = cluster::endpointTag(address.text()) * kMultiplier;
  return {hash ^ hash >> 29, address.text()};
}

// Returns the peers that rank before this proxy in rank order, or std::nullopt if the configured
// peers do not include this proxy.
std::optional<std::vector<std::size_t>> peersRankedBefore(const Config& config,
                                                          const std::vector<Address>& others) {
  const auto own = std::find_if(config.peers.begin(), config.peers.end(),
                                [&](const Address& peer) { return isOwn(config, peer); });
  if (own == config.peers.end()) return std::nullopt;
  std::vector<std::pair<std::pair<std::uint64_t, std::string>, std::size_t>> before;
  const auto ownRank = rankOf(*own);
  for (std::size_t peer = 0; peer < others.size(); ++peer)
    if (auto rank = rankOf(others[peer]); rank < ownRank) before.emplace_back(std::move(rank), peer);
  std::sort(before.begin(), before.end());
  std::vector<std::size_t> peers;
  peers.reserve(before.size());
  for (const auto& [rank, peer] : before) peers.push_back(peer);
  return peers;
}

cluster::GossipScheduler::Policy policyOf(const Config& config, const std::vector<Address>& others) {
  // The proxies of a fleet may share a configured seed, so the address, which differs, is mixed in.
  const std::uint64_t seed = config.seed ^ cluster::endpointTag(config.peerListen.text());
  return {others.size(), tightestBoundMs(config.settings), !config.peersAll.none(), seed,
          peersRankedBefore(config, others)};
}

}  // namespace

PeerLink::PeerLink(event_base* base, Engine& engine, const Config& config)
    : engine_(engine),
      config_(config),
      socket_(base, config.peerListen, cluster::kMaxDatagramBytes,
              [this](std::size_t peer, std::string_view datagram) { receive(peer, datagram); }),
      peers_(otherProxies(config, socket_.senders())),
      scheduler_(std::in_place, policyOf(config, peers_)),
      sendTimer_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<PeerLink*>(self)->flush(); },
          this)) {
  if (!socket_.ready())
    logEvent(LogLevel::Warning, "gossip_listen_failed", {{"why", std::strerror(socket_.error())}});
}

void PeerLink::send(std::size_t peer, const std::string& datagram) {
  if (peer >= peers_.size() || datagram.size() > cluster::kMaxDatagramBytes) return;
  socket_.send(peers_[peer], datagram);
}

void PeerLink::statusObserved(const cluster::GossipUpdate& update) {
  if (!config_.hints) return;
  updateClockOffset();
  scheduler_->observedLocally(withClockOffset(update, -offsetMs_), nowMs());
}

void PeerLink::flush() {
  updateClockOffset();
  while (const auto relay = scheduler_->takeForRelay(nowMs(), due_))
    socket_.send(peers_[*relay], encodeDue());
  while (scheduler_->takeDatagram(nowMs(), due_)) transmit();
  armTimer();
}

// Replaces the scheduler when the reference clock's offset changes: updates sent with another
// offset do not show which positions peers still need.
void PeerLink::updateClockOffset() {
  const std::int64_t offsetMs = engine_.clockOffset().count() / 1000;
  if (offsetMs == offsetMs_) return;
  offsetMs_ = offsetMs;
  scheduler_.emplace(policyOf(config_, peers_));
}

void PeerLink::transmit() {
  if (tracing()) logEvent(LogLevel::Trace, "gossip_sent", {{"hints", due_.size()}});
  const std::string datagram = encodeDue();
  if (!config_.peersAll.none()) {
    socket_.send(config_.peersAll, datagram);
    return;
  }
  for (const std::size_t peer : scheduler_->drawReceivers())
    if (!socket_.send(peers_[peer], datagram)) return;
}

std::string PeerLink::encodeDue() {
  for (cluster::GossipUpdate& update : due_) update = withClockOffset(update, offsetMs_);
  return cluster::encode(due_);
}

void PeerLink::armTimer() {
  const auto urgentAt = scheduler_->urgentAtMs();
  const auto relayAt = scheduler_->relayAtMs(nowMs());
  const auto at = urgentAt && relayAt ? std::min(urgentAt, relayAt) : std::max(urgentAt, relayAt);
  if (!at) return;
  startTimer(sendTimer_.get(), std::chrono::milliseconds(std::max<std::int64_t>(*at - nowMs(), 0)));
}

void PeerLink::receive(std::size_t peer, std::string_view datagram) {
  if (!cluster::isGossip(datagram)) {
    if (snapshotHeaderHandler_) snapshotHeaderHandler_(peer, datagram);
    return;
  }
  if (!config_.hints) return;
  updateClockOffset();
  scheduler_->datagramReceived(peer);
  const std::int64_t now = nowMs();
  const std::size_t count = cluster::gossipUpdateCount(datagram);
  for (std::size_t k = 0; k < count; ++k) {
    const cluster::GossipUpdate update = cluster::gossipUpdateAt(datagram, k, now + offsetMs_);
    scheduler_->receivedFromPeer(withClockOffset(update, -offsetMs_), now);
    engine_.gossipReceived(update);
  }
}

}  // namespace sablespur
