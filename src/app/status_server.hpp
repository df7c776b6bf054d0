// Serves the status of a running proxy on a local socket.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "engine/event.hpp"

namespace sablespur {

// Listens at a path, sends one document to each client that connects and closes the connection.
// Only the proxy's own user may connect.
class StatusServer {
 public:
  // Calls `document` for each client, in the event loop. Throws std::runtime_error if it cannot
  // listen.
  StatusServer(event_base*, std::string path, std::function<std::string()> document);
  ~StatusServer();  // unlinks the socket's path
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

 private:
  void listenAtPath();
  // Removes a socket that a killed proxy left behind. Throws if the path is not a socket, or if
  // another proxy listens on it.
  void removeStaleSocket();
  // Closes the socket and throws std::runtime_error with the text of errno.
  [[noreturn]] void fail(const char* problem);
  void acceptClient();
  void sendDocument(int clientSocket);

  event_base* const base_;
  const std::string path_;
  const std::function<std::string()> document_;
  int listenSocket_ = -1;
  Event readable_;
  Event resumeTimer_;  // re-enables `readable_` after a pause
  std::map<bufferevent*, BufferEvent> clients_;
};

}  // namespace sablespur
