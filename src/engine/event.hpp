// libevent's objects, each with one owner that frees it; no callback outlives its owner.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace sablespur {

struct LibeventDeleter {
  void operator()(event_base* p) const { event_base_free(p); }
  void operator()(event* p) const { event_free(p); }
  void operator()(evbuffer* p) const { evbuffer_free(p); }
  void operator()(bufferevent* p) const { bufferevent_free(p); }
  void operator()(evconnlistener* p) const { evconnlistener_free(p); }
};
using EventBase = std::unique_ptr<event_base, LibeventDeleter>;
using Event = std::unique_ptr<event, LibeventDeleter>;
using Buffer = std::unique_ptr<evbuffer, LibeventDeleter>;
using BufferEvent = std::unique_ptr<bufferevent, LibeventDeleter>;
using Listener = std::unique_ptr<evconnlistener, LibeventDeleter>;

inline Buffer newBuffer() { return Buffer(evbuffer_new()); }
inline void append(evbuffer* to, std::string_view bytes) { evbuffer_add(to, bytes.data(), bytes.size()); }

// The same without a copy, for what is long.
inline void appendByReference(evbuffer* to, std::string&& bytes) {
  auto kept = std::make_unique<std::string>(std::move(bytes));
  const auto release = [](const void*, std::size_t, void* p) { delete static_cast<std::string*>(p); };
  if (evbuffer_add_reference(to, kept->data(), kept->size(), release, kept.get()) == 0) kept.release();
}

// (Re)starts a timer; what is due already fires in the next pass of the loop.
inline void startTimer(event* timer, std::chrono::microseconds in) {
  const auto us = in.count() > 0 ? in.count() : 0;
  const timeval tv{static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
  event_add(timer, &tv);
}

}  // namespace sablespur
