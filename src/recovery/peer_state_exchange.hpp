// Chooses the peers that a proxy queries after its start and decides which responses it accepts.
// Uses no sockets and reads no clock.
//
// Peers exchange snapshot headers: the fleet's epoch, the sequence number and time of the sender's
// snapshot, and the primaries that it knows (claims).
//   Query rate: a few peers are queried in a few rounds at random times, so that a fleet that
//     starts all at once sends a bounded number of datagrams per second, whatever its size.
//   Rejected responses: headers of an epoch older than this proxy's own, and headers from the
//     future.
//   Primaries: a claim alone makes no endpoint primary. The endpoint has to confirm it by a
//     response as primary; of the claims that were confirmed, the newest wins.
//   No response: recovery proceeds without peers, since endpoints are queried in any case.
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
  bool isRequest = false;   // false: a response
  bool serving = false;     // the sender has entered its epoch; the requester joins that epoch
  std::uint32_t nonce = 0;  // chosen by the requester, copied into the response
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::int64_t wallMs = 0;  // Unix time of the snapshot or, if serving, of the response
  struct Primary {
    std::uint32_t group = 0;
    std::uint64_t tag = 0;  // cluster::endpointTag of its name
  };
  std::vector<Primary> primaries;  // encode() omits those that do not fit into the datagram
};
constexpr std::size_t kMaxSnapshotHeaderBytes = 256;  // the largest datagram that the platform delivers
constexpr char kSnapshotHeaderVersion = 2;            // the datagram's first byte; gossip has 1
std::string encode(const SnapshotHeader&);
// Returns std::nullopt if the datagram is not a well-formed header.
std::optional<SnapshotHeader> decodeSnapshotHeader(std::string_view datagram);

struct PeerStateExchangePolicy {
  std::size_t peers = 0;   // the other proxies, numbered from 0
  std::size_t fanout = 3;  // queried in each round
  int rounds = 3;
  Time roundInterval = std::chrono::milliseconds(150);
  double fleetRequestsPerSecond = 1000;           // of all proxies together if they start at once
  Time clockTolerance = std::chrono::seconds(2);  // allowed difference between two machines' wall clocks
};

class PeerStateExchange {
 public:
  // `own` is the header of this proxy's snapshot, default-constructed if it has none.
  PeerStateExchange(const PeerStateExchangePolicy&, std::uint64_t seed, Time now, const SnapshotHeader& own);

  // Returns the peers to query now; empty if no round is due. The caller sends the queries.
  std::vector<std::size_t> duePeers(Time now);
  // Returns when duePeers() has to be called next; std::nullopt after the last round.
  std::optional<Time> nextDue() const;
  std::uint32_t nonce() const { return nonce_; }
  // Returns whether the response is accepted. `nowMs` is Unix time.
  bool responseReceived(std::size_t peer, const SnapshotHeader&, std::int64_t nowMs);
  bool finished(Time now) const { return !nextDue() && now >= endsAt_; }

  // Returns the epoch to enter once finished(): the newest epoch of the peers that serve, or, if
  // none does, one more than the newest epoch reported.
  std::uint64_t epoch() const;
  bool joined() const { return servingEpoch_ > 0; }
  std::size_t acceptedResponses() const { return acceptedResponses_; }
  std::size_t rejectedResponses() const { return rejectedResponses_; }

  // Returns the tags of the endpoints claimed to be the group's primary, the newest claim first.
  std::vector<std::uint64_t> primaryClaims(std::uint32_t group) const;
  // Records that the endpoint responded as primary. Returns the epoch of the newest claim that
  // names the endpoint, or std::nullopt if there is no such claim. A later confirmation replaces an
  // earlier one only if its claim is at least as new.
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
  std::uint64_t servingEpoch_ = 0;  // newest epoch of the peers that serve; 0: none serves
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
