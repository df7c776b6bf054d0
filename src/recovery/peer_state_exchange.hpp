// Which peers a proxy queries after its start and which responses it accepts. Pure: no sockets and no clock.
//
// A snapshot header says how recent a proxy's knowledge is: the fleet's epoch, its snapshot's sequence and
// time, and the primaries. A few peers are queried in a few rounds at random moments, so that a fleet that
// starts at once sends a bounded number of datagrams a second, however large it is.
//
// No peer can make an endpoint primary. A claim names the endpoint to expect; the newest claim that the
// endpoint itself confirms wins. A header of an epoch older than one's own, or from the future, is rejected.
// Without any response recovery goes on the same: endpoints are queried either way.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::recovery {

using Time = std::chrono::microseconds;

struct SnapshotHeader {
  bool isRequest = false;   // else a response
  bool serving = false;     // the sender has entered its epoch, which the requester joins
  std::uint32_t nonce = 0;  // chosen by the requester, copied into the response
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::int64_t wallMs = 0;  // Unix time of the snapshot or, if serving, of the response
  struct Primary {
    std::uint32_t group = 0;
    std::uint64_t tag = 0;  // cluster::endpointTag of its name
  };
  std::vector<Primary> primaries;  // as many as a datagram holds are sent
};
constexpr std::size_t kMaxSnapshotHeaderBytes = 256;  // the largest datagram that the platform delivers
constexpr char kSnapshotHeaderVersion = 2;            // the datagram's first byte; gossip has 1
std::string encode(const SnapshotHeader&);
// Nothing where the datagram is no well-formed header.
std::optional<SnapshotHeader> decodeSnapshotHeader(std::string_view datagram);

struct PeerStateExchangePolicy {
  std::size_t peers = 0;   // other proxies, numbered from 0
  std::size_t fanout = 3;  // queried in each round
  int rounds = 3;
  Time roundInterval = std::chrono::milliseconds(150);
  double fleetRequestsPerSecond = 1000;           // bound for all proxies that start at once
  Time clockTolerance = std::chrono::seconds(2);  // between two machines' wall clocks
};

class PeerStateExchange {
 public:
  // `own`: the header of this proxy's snapshot; empty where there is none.
  PeerStateExchange(const PeerStateExchangePolicy&, std::uint64_t seed, Time now, const SnapshotHeader& own);

  std::vector<std::size_t> duePeers(Time now);  // to be queried now
  std::optional<Time> nextDue() const;          // when duePeers is to be called; nothing: never again
  std::uint32_t nonce() const { return nonce_; }
  // Whether the response is accepted. nowMs: Unix time.
  bool responseReceived(std::size_t peer, const SnapshotHeader&, std::int64_t nowMs);
  bool finished(Time now) const { return !nextDue() && now >= endsAt_; }

  // The epoch to enter once finished(): that of the peers that serve, else one more than the newest reported.
  std::uint64_t epoch() const;
  bool joined() const { return servingEpoch_ > 0; }
  std::size_t acceptedResponses() const { return acceptedResponses_; }
  std::size_t rejectedResponses() const { return rejectedResponses_; }

  // Tags of the endpoints claimed to be the group's primary, the newest claim first.
  std::vector<std::uint64_t> primaryClaims(std::uint32_t group) const;
  // The endpoint responded as primary. Returns the epoch of the newest claim that named it, if there is one.
  // A later confirmation replaces an earlier one only if its claim is at least as new.
  std::optional<std::uint64_t> confirmPrimary(std::uint32_t group, std::uint64_t tag);
  std::optional<std::uint64_t> confirmedPrimary(std::uint32_t group) const;

 private:
  struct Claim {
    std::uint64_t tag, epoch, sequence;
    std::int64_t wallMs;
    bool newer(const Claim& o) const {
      return epoch != o.epoch ? epoch > o.epoch : wallMs != o.wallMs ? wallMs > o.wallMs : tag < o.tag;
    }
  };
  void recordClaim(std::uint32_t group, const Claim&);
  std::uint64_t randomNumber(std::uint64_t) const;

  const PeerStateExchangePolicy policy_;
  const std::uint64_t seed_;
  const std::uint32_t nonce_;
  const std::uint64_t ownEpoch_;
  Time nextDue_{};
  Time endsAt_{};
  int round_ = 0;
  std::uint64_t newestEpoch_;       // reported by any accepted response or the own snapshot
  std::uint64_t servingEpoch_ = 0;  // newest of the peers that serve; 0: none does
  std::size_t acceptedResponses_ = 0;
  std::size_t rejectedResponses_ = 0;
  std::vector<bool> responded_;
  std::map<std::uint32_t, std::vector<Claim>> claims_;
  struct Confirmed {
    std::uint64_t tag, epoch;
  };
  std::map<std::uint32_t, Confirmed> confirmed_;
};

}  // namespace sablespur::recovery
