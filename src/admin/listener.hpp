// Where staff call a running proxy. Bounded: so many callers at once and no more, each for a moment; a
// newcomer ends the one that has been silent for longest. No client's descriptor or turn is taken.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "admin/command_parser.hpp"
#include "engine/event.hpp"
#include "support/address.hpp"

namespace sablespur::admin {

// Carries out a call; answers at once. `text` goes into the answer.
class CommandHandler {
 public:
  virtual ~CommandHandler() = default;
  virtual bool execute(const Command&, std::string& text) = 0;
};

class Listener {
 public:
  // Throws std::runtime_error, naming the key, where it cannot listen.
  Listener(event_base*, const Address&, CommandHandler&);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

 private:
  struct Connection {
    BufferEvent connection;
    CommandReader reader;
    std::uint64_t sequence = 0;  // callers in the order of their coming
    bool answered = false;
  };
  void acceptConnection();
  void readCommand(bufferevent*);
  void answer(Connection&, const std::string& line);

  event_base* const base_;
  CommandHandler& commands_;
  int fd_ = -1;
  std::uint64_t lastSequence_ = 0;
  Event readable_, resumeTimer_;
  std::unordered_map<bufferevent*, Connection> connections_;
};

}  // namespace sablespur::admin
