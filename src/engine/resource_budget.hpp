// One account of what the process may hold: descriptors by who needs them, and bytes of what clients may send
// at length. Parts do not lend to each other: what clients leave free is head-room that attempts and
// discovery count on, and the other way round. Free of I/O; the loop's thread only.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "config/config.hpp"
#include "engine/system_calls.hpp"

namespace sablespur {

enum class DescriptorHolder { Clients, Servers };
constexpr std::size_t kDescriptorHolderCount = 2;

class ResourceBudget {
 public:
  explicit ResourceBudget(const Config& c) : maxBytes_(c.largeStatements) {
    shares_[0].most = c.clientConnections;
    shares_[1].most = c.serverConnections;
  }
  ResourceBudget(const ResourceBudget&) = delete;

  struct DescriptorShare {
    std::size_t held = 0, most = 0, peak = 0;
  };
  const DescriptorShare& share(DescriptorHolder h) const { return shares_[static_cast<std::size_t>(h)]; }
  bool hasRoom(DescriptorHolder h) const { return share(h).held < share(h).most; }

  // A descriptor of a part, for as long as it lives. It is given whether or not there is room: who asks has
  // looked, or takes one for a moment to say no.
  class DescriptorPermit {
   public:
    DescriptorPermit() = default;
    DescriptorPermit(ResourceBudget& a, DescriptorHolder h) : budget_(&a), holder_(h) {
      DescriptorShare& p = a.shares_[static_cast<std::size_t>(h)];
      p.peak = std::max(p.peak, ++p.held);
    }
    DescriptorPermit(DescriptorPermit&& o) noexcept
        : budget_(std::exchange(o.budget_, nullptr)), holder_(o.holder_) {}
    DescriptorPermit& operator=(DescriptorPermit&& o) noexcept {
      std::swap(budget_, o.budget_);
      std::swap(holder_, o.holder_);
      return *this;
    }
    ~DescriptorPermit() {
      if (budget_) --budget_->shares_[static_cast<std::size_t>(holder_)].held;
    }

   private:
    ResourceBudget* budget_ = nullptr;
    DescriptorHolder holder_ = DescriptorHolder::Clients;
  };

  // Bytes of long statements and of what clients have prepared. False: there is no room, nothing is taken.
  bool reserveBytes(std::size_t n) {
    if (n > maxBytes_ - bytes_) return false;
    bytes_ += n;
    peakBytes_ = std::max(peakBytes_, bytes_);
    return true;
  }
  void releaseBytes(std::size_t n) { bytes_ -= n; }
  std::size_t bytes() const { return bytes_; }
  std::size_t maxBytes() const { return maxBytes_; }
  std::size_t peakBytes() const { return peakBytes_; }

  // What the system itself had none of, whatever this account says.
  void recordExhaustion(ResourceExhaustion s) { ++exhaustionCounts_[static_cast<std::size_t>(s)]; }
  std::uint64_t exhaustionCount(ResourceExhaustion s) const {
    return exhaustionCounts_[static_cast<std::size_t>(s)];
  }

 private:
  std::array<DescriptorShare, kDescriptorHolderCount> shares_{};
  const std::size_t maxBytes_;
  std::size_t bytes_ = 0, peakBytes_ = 0;
  std::array<std::uint64_t, kResourceExhaustionCount> exhaustionCounts_{};
};

}  // namespace sablespur
