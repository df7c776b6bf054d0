#include "app/status_server.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "app/local_socket.hpp"
#include "engine/system_calls.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kMaxClients = 4;  // further connections are closed at once
constexpr auto kExhaustionPause = std::chrono::seconds(1);
constexpr timeval kWriteTimeout{2, 0};  // for a client that does not read
constexpr mode_t kOwnerOnlyMask = 0177;

}  // namespace

StatusServer::StatusServer(event_base* base, std::string path, std::function<std::string()> document)
    : base_(base), path_(std::move(path)), document_(std::move(document)) {
  listenAtPath();
  readable_.reset(event_new(
      base, listenSocket_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<StatusServer*>(self)->acceptClient(); }, this));
  event_add(readable_.get(), nullptr);
  resumeTimer_.reset(event_new(
      base, -1, 0,
      [](evutil_socket_t, short, void* self) {
        event_add(static_cast<StatusServer*>(self)->readable_.get(), nullptr);
      },
      this));
}

StatusServer::~StatusServer() {
  readable_.reset();
  clients_.clear();
  close(listenSocket_);
  unlink(path_.c_str());
}

void StatusServer::listenAtPath() {
  const sockaddr_un address = localSocketAddress(path_);
  listenSocket_ = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listenSocket_ < 0) fail("");
  removeStaleSocket();
  const mode_t maskBefore = umask(kOwnerOnlyMask);
  const bool bound = bind(listenSocket_, asSocketAddress(address), sizeof address) == 0;
  umask(maskBefore);
  if (!bound || listen(listenSocket_, static_cast<int>(kMaxClients)) != 0) fail("");
}

void StatusServer::removeStaleSocket() {
  struct stat status {};
  if (lstat(path_.c_str(), &status) != 0) return;
  if (!S_ISSOCK(status.st_mode)) {
    errno = EEXIST;
    fail("not a socket: ");
  }
  const sockaddr_un address = localSocketAddress(path_);
  if (connect(listenSocket_, asSocketAddress(address), sizeof address) == 0) {
    errno = EADDRINUSE;
    fail("");
  }
  unlink(path_.c_str());
}

void StatusServer::fail(const char* problem) {
  const std::string reason = std::strerror(errno);
  if (listenSocket_ >= 0) close(listenSocket_);
  throw std::runtime_error("key [status] socket: " + std::string(problem) + path_ + ": " + reason);
}

void StatusServer::acceptClient() {
  const int clientSocket = accept4(listenSocket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (clientSocket < 0) {
    // The listening socket stays readable: without a pause the loop would spin until a descriptor
    // is free.
    if (resourceExhaustionOf(errno) != ResourceExhaustion::None) {
      event_del(readable_.get());
      startTimer(resumeTimer_.get(), kExhaustionPause);
    }
    return;
  }
  if (clients_.size() >= kMaxClients) {
    close(clientSocket);
    return;
  }
  sendDocument(clientSocket);
}

void StatusServer::sendDocument(int clientSocket) {
  BufferEvent client(bufferevent_socket_new(base_, clientSocket, BEV_OPT_CLOSE_ON_FREE));
  // The connection is closed once the document is written, or on an error or a timeout.
  bufferevent_setcb(
      client.get(), nullptr,
      [](bufferevent* ended, void* self) { static_cast<StatusServer*>(self)->clients_.erase(ended); },
      [](bufferevent* ended, short, void* self) { static_cast<StatusServer*>(self)->clients_.erase(ended); },
      this);
  bufferevent_set_timeouts(client.get(), nullptr, &kWriteTimeout);
  append(bufferevent_get_output(client.get()), document_());
  bufferevent_enable(client.get(), EV_WRITE);
  bufferevent* const key = client.get();
  clients_.emplace(key, std::move(client));
}

}  // namespace sablespur
