// The TCP listener for admin commands. Each connection carries one command line and one response
// line.
//
// The number of connections is limited, independently of the limits on clients: a new connection
// beyond the limit closes the oldest one. A connection is closed after a few seconds without
// traffic.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "admin/command_parser.hpp"
#include "engine/event.hpp"
#include "engine/file_descriptor.hpp"
#include "support/address.hpp"

namespace sablespur::admin {

struct CommandResult {
  bool succeeded = false;
  std::string text;  // shown to the operator
};

class CommandHandler {
 public:
  virtual ~CommandHandler() = default;
  // Executes a command synchronously.
  virtual CommandResult execute(const Command&) = 0;
};

class Listener {
 public:
  // Throws std::runtime_error, naming the settings key, if it cannot listen. The handler has to
  // outlive the listener.
  Listener(event_base*, const Address&, CommandHandler&);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

 private:
  struct Connection {
    BufferEvent stream;
    CommandReader reader;
    std::uint64_t sequence = 0;  // number in the order of accepting
    bool answered = false;
  };

  void acceptConnection();
  void resume();
  void closeOldest();
  void addConnection(evutil_socket_t);
  void readCommand(bufferevent*);
  void executeCommand(Connection&);
  void responseWritten(bufferevent*);
  void connectionEnded(bufferevent*, short what);
  static void respond(Connection&, const std::string& line);

  event_base* const base_;
  CommandHandler& commands_;
  FileDescriptor socket_;
  std::uint64_t lastSequence_ = 0;
  Event readable_;
  Event resumeTimer_;
  std::unordered_map<bufferevent*, Connection> connections_;
};

}  // namespace sablespur::admin
