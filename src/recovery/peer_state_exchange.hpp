// What a proxy asks other proxies after its start, and whose word it takes: pure, no sockets and no clock.
//
// A head says of what a proxy knows how new it is: the fleet's epoch, its snapshot's sequence and time, and
// who was primary. A few peers are asked, in few rounds, at moments of this proxy's own, so that a fleet that
// starts at once sends a bounded number of datagrams a second however large it is.
//
// Nobody's word makes a primary. A claim says which data server to expect; the newest claim that a data
// server itself confirms wins. A head of an older epoch than one's own, or from the future, is not believed,
// and without any answer all goes on the same: data servers are asked either way.
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
  bool isRequest = false;   // an answer is wanted; else it is one
  bool serving = false;     // its sender has entered its epoch: who asks joins it
  std::uint32_t nonce = 0;  // of the question; an answer brings it back
  std::uint64_t epoch = 0, sequence = 0;
  std::int64_t wallMs = 0;
  struct Primary {
    std::uint32_t group = 0;
    std::uint64_t tag = 0;  // of the member's name (cluster::tagOf)
  };
  std::vector<Primary> primaries;  // those beyond what a datagram holds are left out
};
constexpr std::size_t kMaxSnapshotHeaderBytes = 256;  // bytes: the platform takes no more
constexpr char kSnapshotHeaderVersion = 2;            // the datagram's first byte; 1 is for hints
std::string encode(const SnapshotHeader&);
std::optional<SnapshotHeader> decodeSnapshotHeader(
    std::string_view datagram);  // nothing where the bytes are no head

struct PeerStateExchangePolicy {
  std::size_t peers = 0;   // others, by index from 0
  std::size_t fanout = 3;  // asked in each round
  int rounds = 3;
  Time roundInterval = std::chrono::milliseconds(150);
  double fleetRequestsPerSecond = 1000;           // questions of all proxies together that start at once
  Time clockTolerance = std::chrono::seconds(2);  // clocks of two machines may differ so much
};

class PeerStateExchange {
 public:
  // What this proxy's own snapshot says; an empty head where there is none.
  PeerStateExchange(const PeerStateExchangePolicy&, std::uint64_t seed, Time now, const SnapshotHeader& own);

  std::vector<std::size_t> duePeers(Time now);  // peers to be asked now
  std::optional<Time> nextDue() const;          // when due has something to say; nothing: never again
  std::uint32_t nonce() const { return nonce_; }
  // True: it is believed.
  bool responseReceived(std::size_t peer, const SnapshotHeader&, std::int64_t nowMs);
  bool finished(Time now) const { return !nextDue() && now >= endsAt_; }

  // The epoch to go on in, once it is over: that of those who serve; else one more than any that was told.
  std::uint64_t epoch() const;
  bool joined() const { return servingEpoch_ > 0; }
  std::size_t acceptedResponses() const { return acceptedResponses_; }
  std::size_t rejectedResponses() const { return rejectedResponses_; }

  // Data servers that are said to be primary of the group, the newest claim first.
  std::vector<std::uint64_t> primaryClaims(std::uint32_t group) const;
  // A data server answered as primary. The epoch of the newest claim that named it; nothing: nobody had. A
  // later call replaces an earlier one only where its claim is as new.
  std::optional<std::uint64_t> confirmPrimary(std::uint32_t group, std::uint64_t tag);
  std::optional<std::uint64_t> confirmedPrimary(std::uint32_t group) const;  // that was confirmed

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
  Time nextDue_{}, endsAt_{};
  int round_ = 0;
  std::uint64_t newestEpoch_, servingEpoch_ = 0;  // epochs
  std::size_t acceptedResponses_ = 0, rejectedResponses_ = 0;
  std::vector<bool> responded_;
  std::map<std::uint32_t, std::vector<Claim>> claims_;
  struct Confirmed {
    std::uint64_t tag, epoch;
  };
  std::map<std::uint32_t, Confirmed> confirmed_;
};

}  // namespace sablespur::recovery
