#include "discovery/registry/watch.hpp"

#include "discovery/endpoint_list.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

// A change counts as told 6 s after discovery had it, whatever calls have failed meanwhile. A call is
// answered or turned away within 2 s: one that is silent is given up in time for a pause and one more.
constexpr Time kAnswer = std::chrono::milliseconds(2500);
// Guards against a discovery that vanished without a word: a watch brings at least an empty line every 2 s.
constexpr Time kSilence = std::chrono::milliseconds(3000);

}  // namespace

RegistryWatch::RegistryWatch(event_base* base, EndpointListConsumer& taker, const Address& address)
    : base_(base),
      taker_(taker),
      address_(address),
      silence_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<RegistryWatch*>(self)->fail("silent"); },
          this)) {}

RegistryWatch::~RegistryWatch() { hangUp(); }

// Guards against a table that clients fill before the next call: the descriptor is kept from one to the
// other.
void RegistryWatch::hangUp() {
  if (!connection_) return;
  const evutil_socket_t fd = bufferevent_getfd(connection_.get());
  bufferevent_setfd(connection_.get(), -1);
  connection_.reset();
  if (fd >= 0) evutil_closesocket(fd);
  event_del(silence_.get());
  reserve_.reacquire();
}

void RegistryWatch::watch(std::uint64_t after) {
  hangUp();
  response_ = http::Response();
  stream_ = ListStream();
  reserve_.release();
  const int fd = systemCalls().socket(address_.v6() ? AF_INET6 : AF_INET);
  connection_.reset(bufferevent_socket_new(base_, fd, 0));
  const std::string target = "/registry/instances?watch=1&after=" + std::to_string(after);
  append(bufferevent_get_output(connection_.get()), http::formatGet(target, address_.text()));
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  startTimer(silence_.get(), kAnswer);
  if (fd < 0 ||
      bufferevent_socket_connect(connection_.get(), address_.data(), static_cast<int>(address_.size())) != 0)
    return fail("no connection");
  bufferevent_setcb(
      connection_.get(), [](bufferevent*, void* self) { static_cast<RegistryWatch*>(self)->read(); }, nullptr,
      [](bufferevent*, short what, void* self) {
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
          static_cast<RegistryWatch*>(self)->fail("connection ended");
      },
      this);
}

// Goes on from the list as it is known. A watch at the old address ends silently: what it has still to tell,
// the new one tells.
void RegistryWatch::move(const Address& address) {
  if (address == address_) return;
  address_ = address;
  watch(taker_.generation());
}

void RegistryWatch::read() {
  evbuffer* const in = bufferevent_get_input(connection_.get());
  evbuffer_iovec part;
  std::string body;
  const bool begun = response_.status() == 200;
  while (evbuffer_peek(in, -1, nullptr, &part, 1) > 0) {
    if (!response_.feed({static_cast<const char*>(part.iov_base), part.iov_len}, body))
      return fail("malformed response");
    evbuffer_drain(in, part.iov_len);
  }
  if (response_.status() != 0 && response_.status() != 200)
    return fail(("status " + std::to_string(response_.status())).c_str());
  // Guards against bytes that trickle in and say nothing: only what makes sense by itself shows that it is
  // there.
  bool alive = !begun && response_.status() == 200;
  std::vector<std::string> lists;
  const bool fine = stream_.feed(body, lists, alive);
  try {
    for (const std::string& list : lists) taker_.endpointsListed(parseEndpointList(list));
  } catch (const BadInput& e) {
    return fail(e.what());
  }
  if (!fine) return fail("something that is no list, or too long");
  if (alive) startTimer(silence_.get(), kSilence);
  if (response_.complete()) fail("watch ended");
}

void RegistryWatch::fail(const char* why) {
  if (!connection_) return;  // an end is told once
  logEvent(LogLevel::Warning, "discovery_watch_closed", {{"why", why}});
  hangUp();
  taker_.discoveryFailed(why);
}

}  // namespace sablespur
