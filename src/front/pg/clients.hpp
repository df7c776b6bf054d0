// Client connections: the startup, queries one at a time, answers in order.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/engine.hpp"
#include "core/event.hpp"

namespace sablespur {

class Clients {
 public:
  Clients(event_base*, Engine&, const Config&);  // throws std::runtime_error where it cannot listen
  ~Clients();
  // Serves on while new connections still come, then closes connections between requests and finishes what is
  // taken. `done` follows when no connection is left.
  void drain(std::function<void()> done);
  int port() const;

 private:
  class Session;
  void accepted(evutil_socket_t);
  void acceptFailed();
  void closed(Session&);
  void acceptAgain();
  bool makeRoom();
  void round();
  void firstAsked(const Session& by);
  void stopListening();

  event_base* const base_;
  Engine& engine_;
  const Config& config_;
  const std::size_t most_;    // connections at once
  std::size_t asking_ = 0;    // sessions that have asked something
  std::size_t reserved_ = 0;  // bytes of long statements on their way, of Config::largeStatements
  Listener listener_;
  Event pause_, lastCall_, round_;
  bool draining_ = false;
  std::function<void()> done_;
  std::unordered_set<std::string> openIds_;  // of the requests that are out
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace sablespur
