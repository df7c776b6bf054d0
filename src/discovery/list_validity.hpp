// Decides until when the endpoint list may be used although discovery has not confirmed it. Pure: no
// I/O, no clock.
//
// A change of the list counts as told to this proxy at the latest some time after discovery had it
// and could be reached, whether or not it arrived. From then on, the drain grace is left for requests
// to a server that the change removes. A list that may lack such a change must not be used longer.
//
// While discovery cannot be reached at all, no time runs: it has nothing to tell. Discovery that is
// slow, or answers with an error, can be reached.
#pragma once

#include <chrono>
#include <optional>

namespace sablespur {

// The reason why the list may be used for a limited time only.
enum class ListLimit {
  None,
  Unconfirmed,       // discovery can be reached, and no call has confirmed the list
  Start,             // the list of the settings, after a start
  StartWherePushed,  // the same where an agent has lists pushed to it
  Upgrade,           // the same in a process that starts beside another one
  Reload             // SIGHUP
};
const char* toString(ListLimit);

class ListValidity {
 public:
  using Time = std::chrono::microseconds;

  // When a change counts as told, after discovery had it and could be reached.
  static constexpr Time kToldAfterChange = std::chrono::seconds(6);
  static constexpr Time kToldAfterReload = std::chrono::seconds(4);
  static constexpr Time kToldAfterUpgrade = std::chrono::seconds(2);

  // How this process starts.
  enum class StartKind { Alone, BesideAnotherProcess, WithPushedLists };

  // `drainGrace`: how long a server accepts requests after its drain counts as told.
  explicit ListValidity(Time drainGrace) : drainGrace_(drainGrace) {}
  void setDrainGrace(Time drainGrace) { drainGrace_ = drainGrace; }

  // The list is that of the settings and may be old.
  void started(Time now, StartKind);
  // The settings were read again, and discovery may have another address.
  void reloaded(Time now);
  // Discovery has delivered a list, or told that it has not changed.
  void confirmed(Time now);
  // Discovery could be reached, but did not confirm the list.
  void reached(Time now);
  // Discovery could not be reached.
  void unreachable(Time now);

  // Returns until when requests may be sent by the list; std::nullopt: without limit.
  std::optional<Time> usableUntil() const;
  ListLimit limit() const { return toldAt_ ? limit_ : ListLimit::None; }

 private:
  // What an unconfirmed list would be limited by once discovery can be reached.
  struct Pending {
    Time toldAt{};
    ListLimit limit = ListLimit::Unconfirmed;
  };

  void limitTo(const Pending&);

  Time drainGrace_;
  std::optional<Pending> pending_;  // std::nullopt before started()
  std::optional<Time> toldAt_;      // a change that is not known counts as told at this instant
  ListLimit limit_ = ListLimit::None;
};

}  // namespace sablespur
