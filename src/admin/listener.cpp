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

constexpr std::size_t kCallers = 8;
constexpr timeval kPatience{5, 0};  // for a whole call, and for its answer to be read
constexpr std::chrono::microseconds kPause = std::chrono::milliseconds(50);

}  // namespace

Listener::Listener(event_base* base, const Address& at, CommandHandler& commands)
    : base_(base), commands_(commands) {
  const int on = 1;
  fd_ = systemCalls().socket(at.v6() ? AF_INET6 : AF_INET);
  if (fd_ < 0 || setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd_, at.data(), at.size()) != 0 || listen(fd_, 64) != 0) {
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
    event_del(readable_.get());  // guards against spinning: the socket may stay readable, whatever failed
    return startTimer(resumeTimer_.get(), kPause);
  }
  if (connections_.size() >= kCallers) {
    const auto oldest =
        std::min_element(connections_.begin(), connections_.end(),
                         [](const auto& a, const auto& b) { return a.second.sequence < b.second.sequence; });
    connections_.erase(oldest);
  }
  BufferEvent b(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(
      b.get(), [](bufferevent* of, void* self) { static_cast<Listener*>(self)->readCommand(of); },
      [](bufferevent* of, void* self) {
        auto& callers = static_cast<Listener*>(self)->connections_;
        const auto it = callers.find(of);
        // What was written has gone out: its end follows, and the caller closes.
        if (it != callers.end() && it->second.answered) shutdown(bufferevent_getfd(of), SHUT_WR);
      },
      [](bufferevent* of, short what, void* self) {
        auto& l = *static_cast<Listener*>(self);
        const auto it = l.connections_.find(of);
        if (it == l.connections_.end()) return;
        // A call that ended without its line's end was half sent: it is told so if it still listens.
        if ((what & BEV_EVENT_EOF) && !it->second.answered && !it->second.reader.line().empty())
          l.answer(it->second, failure("a call ends with the end of its line"));
        else
          l.connections_.erase(it);
      },
      this);
  bufferevent_set_timeouts(b.get(), &kPatience, &kPatience);
  bufferevent_enable(b.get(), EV_READ | EV_WRITE);
  bufferevent* const key = b.get();
  Connection& c = connections_[key];
  c.connection = std::move(b);
  c.sequence = ++lastSequence_;
}

void Listener::readCommand(bufferevent* of) {
  const auto it = connections_.find(of);
  if (it == connections_.end()) return;
  Connection& c = it->second;
  evbuffer* const in = bufferevent_get_input(of);
  char bytes[kMaxLineBytes];
  while (evbuffer_get_length(in) > 0) {
    const int n = evbuffer_remove(in, bytes, sizeof bytes);
    if (n <= 0 || c.answered) continue;  // one call a connection
    const auto state = c.reader.feed({bytes, static_cast<std::size_t>(n)});
    if (state == CommandReader::State::More) continue;
    if (state == CommandReader::State::TooLong) {
      answer(c, failure("a line of more than " + std::to_string(kMaxLineBytes) + " bytes"));
      continue;
    }
    std::string text;
    const auto call = parse(c.reader.line(), text);
    const bool good = call && commands_.execute(*call, text);
    answer(c, good ? success(text) : failure(text));
  }
}

void Listener::answer(Connection& c, const std::string& line) {
  c.answered = true;
  append(bufferevent_get_output(c.connection.get()), line);
}

}  // namespace sablespur::admin
