// Follows the HTTP registry: carries out what CallSchedule decides, and gives on the lists that come.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "discovery/call_schedule.hpp"
#include "discovery/registry/call.hpp"
#include "engine/clock.hpp"
#include "engine/interfaces.hpp"
#include "engine/system_calls.hpp"
#include "logging/log.hpp"

namespace sablespur {

class RegistryWatch final : public DiscoverySource, private RegistryCall::Owner {
 public:
  // What `status` tells.
  struct View {
    std::uint64_t generation = 0;
    std::optional<Clock::Time> confirmedAgo;  // empty: never yet
    std::size_t openCalls = 0;
    std::uint64_t calls = 0;     // made so far
    std::uint64_t failures = 0;  // calls that have ended without being replaced
    std::string lastEnding;      // why the last call ended or was closed; empty: none has
  };

  // The clock and the consumer have to outlive it. The seed spreads the calls of the fleet's proxies.
  RegistryWatch(event_base*, const Clock&, EndpointListConsumer&, const Address&, std::uint64_t seed);
  ~RegistryWatch() override;
  // Follows the list from the consumer's generation on. It goes on by itself: without effect if it does so
  // already.
  void watch(std::uint64_t after) override;
  // Continues there. The watch at the former address stays until a list has come from the new one.
  void changeAddress(const Address&);
  View view() const;

 private:
  using CallId = CallSchedule::CallId;

  void reported(RegistryCall&, RegistryCall::Report&) override;
  void take(CallId, EndpointList);
  void act();
  void open(CallReason);
  int openSocket();
  void close(CallId, const char* why);
  void recordEnding(const RegistryCall&, const std::string& why, LogLevel);
  std::uint64_t generationToAskFrom() const;

  event_base* const base_;
  const Clock& clock_;
  EndpointListConsumer& consumer_;
  Address address_;
  CallSchedule schedule_;
  std::uint64_t initialGeneration_ = 0;  // of the list that was known before the first call
  bool hasList_ = false;                 // a call has brought one
  struct OpenCall {
    std::unique_ptr<RegistryCall> call;
    Clock::Time openedAt{};
  };
  std::map<CallId, OpenCall> calls_;
  CallId lastCall_ = 0;
  std::uint64_t failures_ = 0;
  std::string lastEnding_;
  Event timer_;                 // when the schedule has something to do
  ReservedDescriptor reserve_;  // held while no call is open, so that the next one finds a descriptor
};

}  // namespace sablespur
