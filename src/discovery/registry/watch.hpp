// Follows the HTTP registry: executes the decisions of CallSchedule and passes the received lists
// to their consumer.
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
  // The state shown by `sablespur status`.
  struct View {
    std::uint64_t generation = 0;
    std::optional<Clock::Time> confirmedAgo;  // `std::nullopt` if never confirmed
    std::size_t openCalls = 0;
    std::uint64_t calls = 0;     // made so far
    std::uint64_t failures = 0;  // calls that ended without being closed by the proxy
    std::string lastEnding;      // why the last call ended or was closed; empty if none has
  };

  // The clock and the consumer must outlive the watch. The seed varies the jitter, so that the
  // proxies of a fleet do not call at the same time.
  RegistryWatch(event_base*, const Clock&, EndpointListConsumer&, const Address&, std::uint64_t seed);
  ~RegistryWatch() override;
  // Starts following the list after generation `after`. Has no effect once started: calls are then
  // renewed without further requests.
  void watch(std::uint64_t after) override;
  // Continues at the new address. The watch at the former address stays open until the new one has
  // delivered a list.
  void changeAddress(const Address&);
  View view() const;

 private:
  using CallId = CallSchedule::CallId;

  void reported(RegistryCall&, RegistryCall::Report&) override;
  void applyList(CallId, EndpointList);
  void runSchedule();
  void open(CallReason);
  int openSocket();
  void close(CallId, const char* why);
  void recordEnding(const RegistryCall&, const std::string& why, LogLevel);
  std::uint64_t generationToRequestAfter() const;

  event_base* const base_;
  const Clock& clock_;
  EndpointListConsumer& consumer_;
  Address address_;
  CallSchedule schedule_;
  std::uint64_t initialGeneration_ = 0;  // of the list known before the first call
  bool hasList_ = false;                 // a call has delivered a list
  struct OpenCall {
    std::unique_ptr<RegistryCall> call;
    Clock::Time openedAt{};
  };
  std::map<CallId, OpenCall> calls_;
  CallId lastCallId_ = 0;
  std::uint64_t failures_ = 0;
  std::string lastEnding_;
  Event timer_;                 // expires at schedule_.nextDeadline()
  ReservedDescriptor reserve_;  // descriptor for the next call, held while none is open
};

}  // namespace sablespur
