// The local socket on which a running proxy tells its status.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "engine/event.hpp"

namespace sablespur {

// Listens at a path; each client that connects is sent one document and the end of the stream. Only the
// proxy's own user may connect.
class StatusServer {
 public:
  // `document` is called for each client, in the loop. Throws std::runtime_error where it cannot listen.
  StatusServer(event_base*, std::string path, std::function<std::string()> document);
  ~StatusServer();  // removes the socket's path
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

 private:
  void listenAtPath();
  // A socket that a killed proxy left behind is removed; one that answers is another proxy's.
  void removeStaleSocket();
  // Closes the socket and throws, with the text of errno.
  [[noreturn]] void fail(const char* problem);
  void acceptClient();
  void sendDocument(int clientSocket);

  event_base* const base_;
  const std::string path_;
  const std::function<std::string()> document_;
  int listenSocket_ = -1;
  Event readable_;
  Event resumeTimer_;  // ends a pause of `readable_`
  std::map<bufferevent*, BufferEvent> clients_;
};

}  // namespace sablespur
