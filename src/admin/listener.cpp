#include "admin/listener.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>
#include <variant>

#include "engine/listening_socket.hpp"
#include "engine/system_calls.hpp"

namespace sablespur::admin {
namespace {

constexpr std::size_t kMaxConnections = 8;
constexpr int kBacklog = 64;
constexpr timeval kIdleTimeout{5, 0};  // for receiving the command and sending the response
constexpr std::chrono::microseconds kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

Listener::Listener(event_base* base, const Address& address, CommandHandler& commands)
    : base_(base),
      commands_(commands),
      socket_(openListeningSocket(address, kBacklog, PortSharing::Exclusive, "control")),
      readable_(event_new(
          base, socket_.get(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<Listener*>(self)->acceptConnection(); },
          this)),
      resumeTimer_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Listener*>(self)->resume(); },
          this)) {
  event_add(readable_.get(), nullptr);
}
Listener::~Listener() = default;

void Listener::acceptConnection() {
  const int fd = systemCalls().accept(socket_.get(), nullptr, nullptr);
  if (fd < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
    // The socket may stay readable after any error: without a pause the loop would spin.
    event_del(readable_.get());
    startTimer(resumeTimer_.get(), kAcceptPause);
    return;
  }
  if (connections_.size() >= kMaxConnections) closeOldest();
  addConnection(fd);
}

void Listener::resume() { event_add(readable_.get(), nullptr); }

void Listener::closeOldest() {
  const auto acceptedEarlier = [](const auto& a, const auto& b) {
    return a.second.sequence < b.second.sequence;
  };
  connections_.erase(std::min_element(connections_.begin(), connections_.end(), acceptedEarlier));
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
    if (count <= 0 || connection.answered) continue;  // one command per connection
    const auto state = connection.reader.feed({bytes, static_cast<std::size_t>(count)});
    if (state == CommandReader::State::Line) executeCommand(connection);
    if (state == CommandReader::State::TooLong)
      respond(connection, failure("a line of more than " + std::to_string(kMaxLineBytes) + " bytes"));
  }
}

void Listener::executeCommand(Connection& connection) {
  const auto parsed = parse(connection.reader.line());
  if (const auto* const invalid = std::get_if<InvalidCommand>(&parsed))
    return respond(connection, failure(invalid->reason));
  const CommandResult result = commands_.execute(std::get<Command>(parsed));
  respond(connection, result.succeeded ? success(result.text) : failure(result.text));
}

// Shuts down the sending side once the response has been sent; the client closes the connection.
void Listener::responseWritten(bufferevent* from) {
  const auto it = connections_.find(from);
  if (it != connections_.end() && it->second.answered) shutdown(bufferevent_getfd(from), SHUT_WR);
}

void Listener::connectionEnded(bufferevent* from, short what) {
  const auto it = connections_.find(from);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  // A client that shut down its sending side in mid-line may still read the failure response.
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
