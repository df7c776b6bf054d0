#include "lab/registry.hpp"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace sablespur::lab {
namespace {

constexpr Time kKeepAliveInterval = std::chrono::seconds(2);  // interval of empty lines on idle watches
constexpr std::size_t kPieceSize = 64;
constexpr Time kBetweenPieces = std::chrono::milliseconds(10);
constexpr Time kKnownAfter = std::chrono::seconds(6);
constexpr std::size_t kMostHistory = 16;  // whole lists retained for ResponseMode::Older
constexpr std::uint64_t kOlderBy = 3;     // changes

std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

class Registry::Connection {
 public:
  Connection(Registry& r, evutil_socket_t fd)
      : r_(r),
        keepAlive_(r.c_, [this] { sendKeepAlive(); }),
        answer_(r.c_, [this] { answer(); }),
        piece_(r.c_, [this] { sendPiece(); }) {
    bev_.reset(bufferevent_socket_new(r.c_.loop.get(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->read(); },
        [](bufferevent*, void* self) {
          auto* const c = static_cast<Connection*>(self);
          if (c->last_) delete c;
        },
        [](bufferevent*, short what, void* self) {
          if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) delete static_cast<Connection*>(self);
        },
        this);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    r_.connections_.insert(this);
  }
  ~Connection() { r_.connections_.erase(this); }
  void changed() {
    if (!watches_ || silent_ || r_.responseMode_ == ResponseMode::Cut) return;
    send(r_.changes(known_, false));
    known_ = r_.generation_;
    keepAlive_.in(kKeepAliveInterval);
  }
  void silence() { silent_ = silent_ || watches_; }

 private:
  void sendKeepAlive() {
    if (silent_ || r_.responseMode_ == ResponseMode::Cut) return;
    if (known_ < r_.generation_) return changed();  // sends the changes since the older list
    if (left_.empty()) put(bev_.get(), chunk("\n"));
    keepAlive_.in(kKeepAliveInterval);
  }
  // Sends a list, at once or in pieces.
  void send(const std::string& list) {
    left_ += list;
    if (r_.responseMode_ == ResponseMode::Pieces || left_.size() > list.size())
      return piece_.in(kBetweenPieces);
    put(bev_.get(), chunk(left_));
    left_.clear();
  }
  void sendPiece() {
    const std::string piece = left_.substr(0, kPieceSize);
    left_.erase(0, piece.size());
    if (!piece.empty()) put(bev_.get(), chunk(piece));
    if (!left_.empty()) piece_.in(kBetweenPieces);
  }
  void read() {
    evbuffer* const in = bufferevent_get_input(bev_.get());
    const std::size_t n = evbuffer_get_length(in);
    std::string text(n, '\0');
    evbuffer_copyout(in, text.data(), n);
    if (text.find("\r\n\r\n") == std::string::npos) return;
    evbuffer_drain(in, n);
    request_ = text;
    if (r_.responseMode_ == ResponseMode::Cut) return;
    if (r_.responseMode_ == ResponseMode::Slow && !r_.down_) return answer_.in(r_.delay_);
    answer();
  }
  void answer() {
    const std::string& text = request_;
    if (r_.down_) {
      last_ = true;
      return put(bev_.get(), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    const std::size_t after = text.find("after=");
    watches_ = text.find("watch=1") != std::string::npos;
    put(bev_.get(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::uint64_t from =
        after == std::string::npos ? 0 : std::strtoull(text.c_str() + after + 6, nullptr, 10);
    const auto older = r_.olderList();
    send(older ? older->second : r_.changes(from, from == 0 || from > r_.generation_));
    known_ = older ? older->first : r_.generation_;
    if (watches_) return keepAlive_.in(kKeepAliveInterval);
    last_ = true;
    put(bev_.get(), "0\r\n\r\n");
  }

  Registry& r_;
  BufferEventPtr bev_;
  Timer keepAlive_, answer_, piece_;
  std::string request_, left_;
  std::uint64_t known_ = 0;
  bool watches_ = false, last_ = false, silent_ = false;
};

Registry::Registry(Context& c, std::function<void(const std::string&, bool)> onListSent)
    : c_(c), onListSent_(std::move(onListSent)), notifyTimer_(c, [this] { notifyAll(); }) {
  const sockaddr_in a = loopbackAddress(0, 1, 0);
  listener_.reset(evconnlistener_new_bind(
      c.loop.get(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        new Connection(*static_cast<Registry*>(self), fd);  // deletes itself when closed
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 64, reinterpret_cast<const sockaddr*>(&a),
      sizeof a));
  if (!listener_) throw std::runtime_error("stand-in registry: cannot bind a port");
  sockaddr_in got{};
  socklen_t n = sizeof got;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&got), &n);
  port_ = ntohs(got.sin_port);
}
Registry::~Registry() {
  while (!connections_.empty()) delete *connections_.begin();
}

std::string Registry::changes(std::uint64_t after, bool whole) {
  std::string list;
  for (const auto& [name, e] : entries_) {
    if (whole ? e.gone : e.generation <= after) continue;
    list += (list.empty() ? "{" : ",{") + e.json + "}";
  }
  for (const auto& [name, e] : entries_) onListSent_(name, e.in && !e.gone);
  return "{\"generation\":" + std::to_string(generation_) + ",\"reset\":" + (whole ? "true" : "false") +
         ",\"instances\":[" + list + "]}\n";
}

void Registry::set(const std::string& name, const std::string& json, bool in) {
  entries_[name] = {json, in, false, ++generation_};
  changed();
}
void Registry::left(const std::string& name) {
  entries_[name] = {"\"instanceId\":\"" + name + "\",\"lifecycle\":\"left\"", false, true, ++generation_};
  changed();
}
// Returns the whole list as it was kOlderBy changes ago; std::nullopt unless the mode is Older.
std::optional<std::pair<std::uint64_t, std::string>> Registry::olderList() const {
  if (responseMode_ != ResponseMode::Older) return std::nullopt;
  const auto older = history_.lower_bound(generation_ - std::min(generation_, kOlderBy));
  if (older == history_.end()) return std::nullopt;
  return *older;
}

void Registry::notifyAll() {
  if (down_ || responseMode_ == ResponseMode::Cut)
    return;  // the delay starts again once the registry is reachable
  for (const auto& [name, e] : entries_) onListSent_(name, e.in && !e.gone);
}
void Registry::notifyAllAfter(Time from) { notifyTimer_.in(from + kKnownAfter - c_.now()); }

void Registry::responseMode(ResponseMode responseMode, Time delay) {
  const bool wasCut = responseMode_ == ResponseMode::Cut;
  responseMode_ = responseMode;
  delay_ = delay;
  silentSince_ = c_.now();
  if (responseMode == ResponseMode::WatchesSilent || responseMode == ResponseMode::Cut)
    for (Connection* c : connections_) c->silence();
  if (wasCut) notifyAllAfter(c_.now());
}
void Registry::resetWatches() {
  while (!connections_.empty()) delete *connections_.begin();
}

void Registry::changed() {
  std::string whole;
  for (const auto& [name, e] : entries_)
    if (!e.gone) whole += (whole.empty() ? "{" : ",{") + e.json + "}";
  history_[generation_] =
      "{\"generation\":" + std::to_string(generation_) + ",\"reset\":true,\"instances\":[" + whole + "]}\n";
  if (history_.size() > kMostHistory) history_.erase(history_.begin());
  if (down_) return;
  notifyAllAfter(responseMode_ == ResponseMode::WatchesSilent ? silentSince_ : c_.now());
  const std::set<Connection*> all = connections_;
  for (Connection* c : all) c->changed();
}
void Registry::down(bool on) {
  down_ = on;
  if (!on) notifyAllAfter(c_.now());
  while (on && !connections_.empty()) delete *connections_.begin();
}

}  // namespace sablespur::lab
