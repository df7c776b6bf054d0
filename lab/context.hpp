// State that all parts of a run share: the event loop, the clock and the random number generator.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <chrono>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <string_view>

#include "lab/model.hpp"

namespace sablespur::lab {

struct EventDeleter {
  void operator()(event_base* p) const { event_base_free(p); }
  void operator()(event* p) const { event_free(p); }
  void operator()(bufferevent* p) const { bufferevent_free(p); }
  void operator()(evconnlistener* p) const { evconnlistener_free(p); }
};
using LoopPtr = std::unique_ptr<event_base, EventDeleter>;
using EventPtr = std::unique_ptr<event, EventDeleter>;
using BufferEventPtr = std::unique_ptr<bufferevent, EventDeleter>;
using ListenerPtr = std::unique_ptr<evconnlistener, EventDeleter>;

class Context {
 public:
  explicit Context(std::uint64_t seed)
      : loop(event_base_new()),
        random(seed),
        start_(std::chrono::steady_clock::now()),
        wall_(std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch())) {}

  Time now() const { return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - start_); }
  std::int64_t unixMs(Time t) const { return (wall_ + t).count() / 1000; }
  double uniform(double least, double most) { return std::uniform_real_distribution<>(least, most)(random); }
  Time uniform(Time least, Time most) {
    return Time(static_cast<std::int64_t>(
        uniform(static_cast<double>(least.count()), static_cast<double>(most.count()))));
  }

  const LoopPtr loop;
  pcg64 random;

 private:
  const std::chrono::steady_clock::time_point start_;
  const Time wall_;
};

// One-shot timer on the event loop. Destroying it cancels a pending call.
class Timer {
 public:
  Timer(Context& c, std::function<void()> callback)
      : callback_(std::move(callback)),
        event_(event_new(
            c.loop.get(), -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->callback_(); }, this)) {}
  void in(Time t) {
    const auto us = std::max<std::int64_t>(t.count(), 0);
    const timeval tv{static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
    event_add(event_.get(), &tv);
  }
  void stop() { event_del(event_.get()); }

 private:
  std::function<void()> callback_;
  EventPtr event_;
};

// Returns 127.0.HOST.LAST:port. Each proxy has its own address for every server (HOST is the proxy's
// number), so that the address shows who sent a request.
inline sockaddr_in loopbackAddress(int host, int last, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(static_cast<std::uint32_t>(127u << 24 | static_cast<unsigned>(host) << 8 |
                                                       static_cast<unsigned>(last)));
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}
std::string hostText(const sockaddr_in&);     // "127.0.1.7"
std::string addressText(const sockaddr_in&);  // "127.0.1.7:5432"
void put(bufferevent*, std::string_view);
// Creates a non-blocking TCP socket that is bound to `address`; the system chooses the port when it
// connects. Returns -1 on failure.
int socketFrom(std::uint32_t address);
std::uint32_t addressNumber(const std::string& text);  // "127.1.0.1"

}  // namespace sablespur::lab
