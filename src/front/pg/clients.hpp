// Client connections: the startup, queries one at a time, answers in order.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/engine.hpp"
#include "core/event.hpp"
#include "core/workers.hpp"
#include "wire/pg/startup.hpp"

namespace sablespur {

class Session;

class Clients {
 public:
  Clients(event_base*, Engine&, Workers&, const Config&);  // throws std::runtime_error where it cannot listen
  ~Clients();
  // Serves on while new connections still come, then closes connections between requests and finishes what is
  // taken. `done` follows when no connection is left.
  void drain(std::function<void()> done);
  int port() const;
  void users(std::shared_ptr<const auth::Users>);  // of logins from now on

 private:
  friend class Session;
  void accepted(evutil_socket_t);
  void acceptFailed();
  void closed(Session&);
  void acceptAgain();
  bool makeRoom();
  void round();
  void firstAsked(const Session& by);
  pg::Key newKey(Session&, std::size_t length);  // the session takes it out of keys_ at its end
  void cancel(const pg::Key&);                   // by a CancelRequest; a wrong key changes nothing
  void stopListening();

  event_base* const base_;
  Engine& engine_;
  Workers& workers_;
  const Config& config_;
  std::shared_ptr<const auth::Users> users_;
  const std::size_t most_;    // connections at once
  std::size_t asking_ = 0;    // sessions that have asked something
  std::size_t reserved_ = 0;  // bytes of long statements on their way, of Config::largeStatements
  Listener listener_;
  Event pause_, lastCall_, round_;
  bool draining_ = false;
  std::function<void()> done_;
  std::unordered_set<std::string> openIds_;           // of the requests that are out
  std::unordered_map<std::uint32_t, Session*> keys_;  // by the process number that a session was told
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace sablespur
