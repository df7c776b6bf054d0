// Follows the HTTP registry: executes the decisions of CallSchedule and passes the received lists
// to their consumer.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "discovery/call_schedule.hpp"
#include "discovery/list_validity.hpp"
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
  RegistryWatch(event_base*, const Clock&, EndpointListConsumer&, const Config&);
  ~RegistryWatch() override;
  // Starts following the list after generation `after`. Has no effect once started: calls are then
  // renewed without further requests.
  void watch(std::uint64_t after) override;
  // The settings were read again. If the address is new, continues there; the watch at the former
  // address stays open until the new one has delivered a list.
  void updateSettings(const Config&);
  // This process has started beside another one of the same proxy. Called before watch().
  void setBesideAnotherProcess() { isBesideAnotherProcess_ = true; }
  // Another process of this proxy has handed over a list that discovery had confirmed to it.
  void listConfirmedByOtherProcess();
  // Whether a watch is open that would have told of any change.
  bool isListCurrent() const;
  View view() const;

 private:
  using CallId = CallSchedule::CallId;
  struct OpenCall {
    std::unique_ptr<RegistryCall> call;
    Clock::Time openedAt{};
    bool isConnected = false;
  };

  void reported(RegistryCall&, RegistryCall::Report&) override;
  void applyList(CallId, EndpointList);
  void judgeReachability(const RegistryCall&, const RegistryCall::Report&);
  void callConnected(CallId);
  bool isAccepted(const OpenCall&) const;
  bool isQueued(const OpenCall&) const;
  void judgeQueuedCalls();
  void changeAddress(const Address&);
  ListValidity::StartKind startKind() const;
  void publishLimit();
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
  ListValidity validity_;
  std::optional<Clock::Time> publishedLimit_;
  const bool listsArePushed_;
  bool isBesideAnotherProcess_ = false;
  bool isStarted_ = false;
  std::uint64_t initialGeneration_ = 0;  // of the list known before the first call
  bool hasList_ = false;                 // a call has delivered a list
  std::map<CallId, OpenCall> calls_;
  CallId lastCallId_ = 0;
  std::uint64_t failures_ = 0;
  std::string lastEnding_;
  Event timer_;                 // expires at schedule_.nextDeadline()
  Event queueTimer_;            // expires when a call has waited for kMinQueueWait
  ReservedDescriptor reserve_;  // descriptor for the next call, held while none is open
};

}  // namespace sablespur
