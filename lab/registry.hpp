// A stand-in HTTP registry that serves the whole endpoint list or a watch on its changes, as the
// platform's pages describe. Each proxy has its own, so that each proxy can be notified at its own
// time.
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
  Registry(Context&, std::function<void(const std::string& name, bool in)> onListSent);
  ~Registry();

  int port() const { return port_; }
  // Adds or replaces an instance and notifies all watches at once. `json` is the instance's JSON
  // object without its braces; `in`: it may be sent requests.
  void set(const std::string& name, const std::string& json, bool in);
  void left(const std::string& name);
  void down(bool);  // closes watches and answers new calls with 503

  // How calls are answered from now on. In each faulty mode a change counts as known to the proxy
  // after 6 s, as the platform's pages define.
  enum class ResponseMode {
    Well,
    WatchesSilent,  // open watches get nothing; new calls are answered
    Cut,            // neither calls nor watches get anything
    Slow,           // each call is answered after the delay
    Pieces,         // lists are sent in small pieces
    Older           // calls first get the whole list of kOlderBy changes ago, and the changes later
  };
  void responseMode(ResponseMode, Time delay = {});
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
  void notifyAll();
  void notifyAllAfter(Time);

  Context& c_;
  const std::function<void(const std::string&, bool)> onListSent_;
  int port_ = 0;
  bool down_ = false;
  std::uint64_t generation_ = 1;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, std::string> history_;  // the last kMostHistory whole lists, by generation
  ResponseMode responseMode_ = ResponseMode::Well;
  Time delay_{}, silentSince_{};
  Timer notifyTimer_;
  std::set<Connection*> connections_;
  ListenerPtr listener_;
};

}  // namespace sablespur::lab
