#include "discovery/registry/watch.hpp"

#include "discovery/endpoint_list.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

// A change counts as notified 6 s after discovery had it, whatever calls have failed meanwhile. A call is
// answered or rejected within 2 s: a silent one is abandoned in time for a backoff and another call.
constexpr Time kResponseTimeout = std::chrono::milliseconds(2500);
// A registry that has vanished closes nothing; an open watch sends at least an empty line every 2 s.
constexpr Time kSilenceTimeout = std::chrono::milliseconds(3000);

}  // namespace

RegistryWatch::RegistryWatch(event_base* base, const Clock& clock, EndpointListConsumer& consumer,
                             const Address& address)
    : base_(base),
      clock_(clock),
      consumer_(consumer),
      address_(address),
      silenceTimer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<RegistryWatch*>(self)->fail("silent"); },
          this)) {}

RegistryWatch::~RegistryWatch() { closeConnection(); }

// The descriptor is kept for the next connection: clients might have taken the last one by then.
void RegistryWatch::closeConnection() {
  if (!connection_) return;
  const evutil_socket_t fd = bufferevent_getfd(connection_.get());
  bufferevent_setfd(connection_.get(), -1);
  connection_.reset();
  if (fd >= 0) evutil_closesocket(fd);
  event_del(silenceTimer_.get());
  reserve_.reacquire();
}

void RegistryWatch::watch(std::uint64_t after) {
  closeConnection();
  response_ = http::Response();
  stream_ = EndpointListStream();
  call_ = CallRecord{after, clock_.now()};
  reserve_.release();
  const int fd = systemCalls().socket(address_.v6() ? AF_INET6 : AF_INET);
  connection_.reset(bufferevent_socket_new(base_, fd, 0));
  const std::string target = "/registry/instances?watch=1&after=" + std::to_string(after);
  append(bufferevent_get_output(connection_.get()), http::formatGet(target, address_.text()));
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  startTimer(silenceTimer_.get(), kResponseTimeout);
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

// Continues from the known generation. The watch at the old address ends without a report: what it had still
// to send, the new one sends.
void RegistryWatch::changeAddress(const Address& address) {
  if (address == address_) return;
  address_ = address;
  watch(consumer_.generation());
}

void RegistryWatch::read() {
  evbuffer* const in = bufferevent_get_input(connection_.get());
  evbuffer_iovec part;
  std::string body;
  const bool begun = response_.status() == 200;
  while (evbuffer_peek(in, -1, nullptr, &part, 1) > 0) {
    if (!response_.feed({static_cast<const char*>(part.iov_base), part.iov_len}, body))
      return fail("malformed response");
    call_.bytes += part.iov_len;
    evbuffer_drain(in, part.iov_len);
  }
  if (response_.status() != 0 && response_.status() != 200)
    return fail(("status " + std::to_string(response_.status())).c_str());
  // Bytes that trickle in and amount to nothing are no sign of life.
  bool alive = !begun && response_.status() == 200;
  std::vector<std::string> lists;
  const bool fine = stream_.feed(body, lists, alive);
  call_.lists += lists.size();
  try {
    for (const std::string& list : lists) consumer_.endpointsListed(parseEndpointList(list));
  } catch (const BadInput& e) {
    return fail(e.what());
  }
  if (!fine) return fail("something that is no list, or too long");
  if (alive) startTimer(silenceTimer_.get(), kSilenceTimeout);
  if (response_.complete()) fail("watch ended");
}

void RegistryWatch::fail(const char* why) {
  if (!connection_) return;  // already reported
  logEvent(LogLevel::Warning, "discovery_watch_closed",
           {{"why", why},
            {"after", call_.after},
            {"out_ms", (clock_.now() - call_.openedAt).count() / 1000},
            {"bytes", call_.bytes},
            {"lists", call_.lists}});
  closeConnection();
  consumer_.discoveryFailed(why);
}

}  // namespace sablespur
