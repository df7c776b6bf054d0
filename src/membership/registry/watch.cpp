#include "membership/registry/watch.hpp"

#include "log/log.hpp"
#include "membership/list.hpp"

namespace sablespur {
namespace {

// Guards against a discovery that vanished without a word: a watch brings at least an empty line every 2 s.
constexpr Time kSilence = std::chrono::milliseconds(3000);
constexpr std::size_t kLongestLine = 4 << 20;

}  // namespace

Discovery::Discovery(event_base* base, ListTaker& taker, const Address& address)
    : base_(base),
      taker_(taker),
      address_(address),
      silence_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<Discovery*>(self)->fail("silent"); }, this)) {}

void Discovery::watch(std::uint64_t after) {
  response_ = http::Response();
  body_.clear();
  connection_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  const std::string target = "/registry/instances?watch=1&after=" + std::to_string(after);
  append(bufferevent_get_output(connection_.get()), http::get(target, address_.text()));
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  startTimer(silence_.get(), kSilence);
  if (bufferevent_socket_connect(connection_.get(), address_.data(), static_cast<int>(address_.size())) != 0)
    return fail("no connection");
  bufferevent_setcb(
      connection_.get(), [](bufferevent*, void* self) { static_cast<Discovery*>(self)->read(); }, nullptr,
      [](bufferevent*, short what, void* self) {
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) static_cast<Discovery*>(self)->fail("connection ended");
      },
      this);
}

// Goes on from the list as it is known. A watch at the old address ends silently: what it has still to tell,
// the new one tells.
void Discovery::move(const Address& address) {
  if (address == address_) return;
  address_ = address;
  watch(taker_.generation());
}

void Discovery::read() {
  startTimer(silence_.get(), kSilence);
  evbuffer* const in = bufferevent_get_input(connection_.get());
  evbuffer_iovec part;
  while (evbuffer_peek(in, -1, nullptr, &part, 1) > 0) {
    if (!response_.feed({static_cast<const char*>(part.iov_base), part.iov_len}, body_))
      return fail("malformed response");
    evbuffer_drain(in, part.iov_len);
  }
  if (response_.status() != 0 && response_.status() != 200)
    return fail(("status " + std::to_string(response_.status())).c_str());
  if (response_.status() == 200 && !readLines()) return;
  if (response_.done()) fail("watch ended");
}

bool Discovery::readLines() {
  std::size_t from = 0;
  try {
    for (std::size_t end; (end = body_.find('\n', from)) != std::string::npos; from = end + 1) {
      const std::string_view line = std::string_view(body_).substr(from, end - from);
      if (line.find_first_not_of(" \r") != std::string_view::npos) taker_.listed(parseInstances(line));
    }
  } catch (const BadInput& e) {
    fail(e.what());
    return false;
  }
  body_.erase(0, from);
  if (body_.size() <= kLongestLine) return true;
  fail("line too long");
  return false;
}

void Discovery::fail(const char* why) {
  if (!connection_) return;  // an end is told once
  logEvent(LogLevel::Warning, "watch_ended", {{"why", why}});
  connection_.reset();
  event_del(silence_.get());
  taker_.listFailed(why);
}

}  // namespace sablespur
