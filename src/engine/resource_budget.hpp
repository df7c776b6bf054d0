// The process's budgets of descriptors, with fixed shares for clients and servers, and of bytes for
// long statements. Shares cannot borrow from each other. Pure: no I/O; used only on the event
// loop's thread.
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
  explicit ResourceBudget(const Config& config) : maxBytes_(config.largeStatements) {
    mutableShare(DescriptorHolder::Clients).limit = config.clientConnections;
    mutableShare(DescriptorHolder::Servers).limit = config.serverConnections;
  }
  ResourceBudget(const ResourceBudget&) = delete;
  ResourceBudget& operator=(const ResourceBudget&) = delete;

  struct DescriptorShare {
    std::size_t held = 0;
    std::size_t limit = 0;
    std::size_t peak = 0;
  };
  const DescriptorShare& share(DescriptorHolder holder) const {
    return shares_[static_cast<std::size_t>(holder)];
  }
  bool hasRoom(DescriptorHolder holder) const { return share(holder).held < share(holder).limit; }

  // Counts one descriptor of a share during its lifetime. It does not check the limit: the caller
  // has checked hasRoom(), or needs a descriptor briefly to reject a connection. The budget must
  // outlive the permit.
  class DescriptorPermit {
   public:
    DescriptorPermit() = default;
    DescriptorPermit(ResourceBudget& budget, DescriptorHolder holder) : share_(&budget.mutableShare(holder)) {
      ++share_->held;
      share_->peak = std::max(share_->peak, share_->held);
    }
    DescriptorPermit(DescriptorPermit&& other) noexcept : share_(std::exchange(other.share_, nullptr)) {}
    DescriptorPermit& operator=(DescriptorPermit&& other) noexcept {
      std::swap(share_, other.share_);
      return *this;
    }
    ~DescriptorPermit() {
      if (share_) --share_->held;
    }

   private:
    DescriptorShare* share_ = nullptr;
  };

  // Reserves bytes for long statements and prepared statements. Returns false, and reserves
  // nothing, if the budget is too small.
  bool reserveBytes(std::size_t count) {
    if (count > maxBytes_ - bytes_) return false;
    bytes_ += count;
    peakBytes_ = std::max(peakBytes_, bytes_);
    return true;
  }
  // The same for bytes that can be done without: half of the budget is left to others.
  bool reserveSpareBytes(std::size_t count) { return bytes_ + count <= maxBytes_ / 2 && reserveBytes(count); }
  void releaseBytes(std::size_t count) { bytes_ -= count; }
  std::size_t bytes() const { return bytes_; }
  std::size_t maxBytes() const { return maxBytes_; }
  std::size_t peakBytes() const { return peakBytes_; }

  // Counts resource shortages that the system reported, independent of this budget.
  void recordExhaustion(ResourceExhaustion resource) {
    ++exhaustionCounts_[static_cast<std::size_t>(resource)];
  }
  std::uint64_t exhaustionCount(ResourceExhaustion resource) const {
    return exhaustionCounts_[static_cast<std::size_t>(resource)];
  }

 private:
  DescriptorShare& mutableShare(DescriptorHolder holder) { return shares_[static_cast<std::size_t>(holder)]; }

  std::array<DescriptorShare, kDescriptorHolderCount> shares_{};
  const std::size_t maxBytes_;
  std::size_t bytes_ = 0;
  std::size_t peakBytes_ = 0;
  std::array<std::uint64_t, kResourceExhaustionCount> exhaustionCounts_{};
};

}  // namespace sablespur
