// Owning smart pointers for libevent objects. An object is freed with its owner, so that no
// callback runs after the owner is destroyed.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace sablespur {

struct LibeventDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
  void operator()(event* owned) const { event_free(owned); }
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
  void operator()(bufferevent* stream) const { bufferevent_free(stream); }
  void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
};
using EventBase = std::unique_ptr<event_base, LibeventDeleter>;
using Event = std::unique_ptr<event, LibeventDeleter>;
using Buffer = std::unique_ptr<evbuffer, LibeventDeleter>;
using BufferEvent = std::unique_ptr<bufferevent, LibeventDeleter>;
using Listener = std::unique_ptr<evconnlistener, LibeventDeleter>;

inline Buffer newBuffer() { return Buffer(evbuffer_new()); }
inline void append(evbuffer* to, std::string_view bytes) { evbuffer_add(to, bytes.data(), bytes.size()); }

// Appends without copying; for long strings.
inline void appendByReference(evbuffer* to, std::string&& bytes) {
  auto owned = std::make_unique<std::string>(std::move(bytes));
  const auto release = [](const void*, std::size_t, void* text) { delete static_cast<std::string*>(text); };
  const bool added = evbuffer_add_reference(to, owned->data(), owned->size(), release, owned.get()) == 0;
  if (added) static_cast<void>(owned.release());  // now owned by the buffer
}

// Starts or restarts a timer. If `in` is not positive, it fires in the next event loop iteration.
inline void startTimer(event* timer, std::chrono::microseconds in) {
  using std::chrono::seconds;
  const auto wait = std::max(in, std::chrono::microseconds(0));
  const auto whole = std::chrono::duration_cast<seconds>(wait);
  const timeval timeout{static_cast<time_t>(whole.count()), static_cast<suseconds_t>((wait - whole).count())};
  event_add(timer, &timeout);
}

}  // namespace sablespur
