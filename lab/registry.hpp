// A stand-in HTTP registry: the whole list, or a watch on its changes, as the platform's pages describe. One
// for each proxy, so that each may be told at its own time.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "lab/context.hpp"

namespace sablespur::lab {

class Registry {
 public:
  Registry(Context&, std::function<void(const std::string& name, bool in)> onTold);
  ~Registry();

  int port() const { return port_; }
  // An instance as JSON without its braces; `in`: it may be sent work. Told at once to whoever watches.
  void set(const std::string& name, const std::string& json, bool in);
  void left(const std::string& name);
  void down(bool);  // watches end, new calls get 503

  // How it answers from now on. The page's clock counts a change as told after 6 s in each of these.
  enum class Mood {
    Well,
    WatchesSilent,  // the open ones; new calls are answered
    Cut,            // nothing is said to anybody
    Slow,           // each call is answered after the delay
    Pieces,         // lists come in small pieces
    Older           // calls are answered with the whole list of some changes ago, and catch up later
  };
  void mood(Mood, Time delay = {});
  void resetWatches();

 private:
  class Connection;
  struct Entry {
    std::string json;
    bool in = true, gone = false;
    std::uint64_t generation = 0;
  };
  std::string changes(std::uint64_t after, bool whole);
  void changed();
  std::optional<std::pair<std::uint64_t, std::string>> olderList() const;  // its generation and text
  void tellAll();
  void tellAllAfter(Time);

  Context& c_;
  const std::function<void(const std::string&, bool)> onTold_;
  int port_ = 0;
  bool down_ = false;
  std::uint64_t generation_ = 1;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, std::string> history_;  // whole lists by generation, the last few
  Mood mood_ = Mood::Well;
  Time delay_{}, silentSince_{};
  Timer tell_;
  std::set<Connection*> connections_;
  ListenerPtr listener_;
};

}  // namespace sablespur::lab
