// The process's budget of descriptors, divided between clients and servers, and of bytes for long statements.
// The shares do not borrow from each other. Pure: no I/O; the loop's thread only.
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
    std::size_t held = 0;
    std::size_t most = 0;  // limit
    std::size_t peak = 0;
  };
  const DescriptorShare& share(DescriptorHolder h) const { return shares_[static_cast<std::size_t>(h)]; }
  bool hasRoom(DescriptorHolder h) const { return share(h).held < share(h).most; }

  // Counts one descriptor of a share while it lives. It is granted even if the share is full: the caller has
  // checked hasRoom(), or needs a descriptor for a moment to reject a connection.
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

  // Bytes of long statements and of prepared statements. False: no room, and nothing is reserved.
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

  // Shortages that the system reported, whatever this budget says.
  void recordExhaustion(ResourceExhaustion s) { ++exhaustionCounts_[static_cast<std::size_t>(s)]; }
  std::uint64_t exhaustionCount(ResourceExhaustion s) const {
    return exhaustionCounts_[static_cast<std::size_t>(s)];
  }

 private:
  std::array<DescriptorShare, kDescriptorHolderCount> shares_{};
  const std::size_t maxBytes_;
  std::size_t bytes_ = 0;
  std::size_t peakBytes_ = 0;
  std::array<std::uint64_t, kResourceExhaustionCount> exhaustionCounts_{};
};

}  // namespace sablespur
