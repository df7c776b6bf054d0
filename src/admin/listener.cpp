#include "admin/listener.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "engine/system_calls.hpp"

namespace sablespur::admin {
namespace {

constexpr std::size_t kMaxConnections = 8;
constexpr int kBacklog = 64;
constexpr timeval kIdleTimeout{5, 0};  // for the whole command, and for its response to be read
constexpr std::chrono::microseconds kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

Listener::Listener(event_base* base, const Address& at, CommandHandler& commands)
    : base_(base), commands_(commands) {
  const int on = 1;
  fd_ = systemCalls().socket(at.v6() ? AF_INET6 : AF_INET);
  if (fd_ < 0 || setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd_, at.data(), at.size()) != 0 || listen(fd_, kBacklog) != 0) {
    const std::string why = std::strerror(errno);
    if (fd_ >= 0) close(fd_);
    throw std::runtime_error("key control: " + why);
  }
  readable_.reset(event_new(
      base, fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Listener*>(self)->acceptConnection(); }, this));
  resumeTimer_.reset(event_new(
      base, -1, 0,
      [](evutil_socket_t, short, void* self) {
        event_add(static_cast<Listener*>(self)->readable_.get(), nullptr);
      },
      this));
  event_add(readable_.get(), nullptr);
}
Listener::~Listener() {
  readable_.reset();
  connections_.clear();
  close(fd_);
}

void Listener::acceptConnection() {
  const int fd = systemCalls().accept(fd_, nullptr, nullptr);
  if (fd < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
    // The socket may stay readable whatever failed: without a pause the loop would spin.
    event_del(readable_.get());
    startTimer(resumeTimer_.get(), kAcceptPause);
    return;
  }
  if (connections_.size() >= kMaxConnections) closeOldest();
  addConnection(fd);
}

void Listener::closeOldest() {
  const auto oldest =
      std::min_element(connections_.begin(), connections_.end(),
                       [](const auto& a, const auto& b) { return a.second.sequence < b.second.sequence; });
  connections_.erase(oldest);
}

void Listener::addConnection(evutil_socket_t fd) {
  BufferEvent stream(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent* const key = stream.get();
  bufferevent_setcb(
      key, [](bufferevent* from, void* self) { static_cast<Listener*>(self)->readCommand(from); },
      [](bufferevent* from, void* self) { static_cast<Listener*>(self)->responseWritten(from); },
      [](bufferevent* from, short what, void* self) {
        static_cast<Listener*>(self)->connectionEnded(from, what);
      },
      this);
  bufferevent_set_timeouts(key, &kIdleTimeout, &kIdleTimeout);
  bufferevent_enable(key, EV_READ | EV_WRITE);
  Connection& connection = connections_[key];
  connection.stream = std::move(stream);
  connection.sequence = ++lastSequence_;
}

void Listener::readCommand(bufferevent* from) {
  const auto it = connections_.find(from);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  evbuffer* const input = bufferevent_get_input(from);
  char bytes[kMaxLineBytes];
  while (evbuffer_get_length(input) > 0) {
    const int count = evbuffer_remove(input, bytes, sizeof bytes);
    if (count <= 0 || connection.answered) continue;  // one command a connection
    const auto state = connection.reader.feed({bytes, static_cast<std::size_t>(count)});
    if (state == CommandReader::State::Line) executeCommand(connection);
    if (state == CommandReader::State::TooLong)
      respond(connection, failure("a line of more than " + std::to_string(kMaxLineBytes) + " bytes"));
  }
}

void Listener::executeCommand(Connection& connection) {
  std::string text;
  const auto command = parse(connection.reader.line(), text);
  const bool succeeded = command && commands_.execute(*command, text);
  respond(connection, succeeded ? success(text) : failure(text));
}

// Half-closes once the response has gone out; the client closes.
void Listener::responseWritten(bufferevent* from) {
  const auto it = connections_.find(from);
  if (it != connections_.end() && it->second.answered) shutdown(bufferevent_getfd(from), SHUT_WR);
}

void Listener::connectionEnded(bufferevent* from, short what) {
  const auto it = connections_.find(from);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  // A client that half-closed within the line may still read why its command failed.
  const bool lineCut = (what & BEV_EVENT_EOF) && !connection.reader.line().empty();
  if (lineCut && !connection.answered)
    respond(connection, failure("a call ends with the end of its line"));
  else
    connections_.erase(it);
}

void Listener::respond(Connection& connection, const std::string& line) {
  connection.answered = true;
  append(bufferevent_get_output(connection.stream.get()), line);
}

}  // namespace sablespur::admin
