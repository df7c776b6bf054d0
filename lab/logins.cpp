#include "lab/logins.hpp"

#include <string>

namespace sablespur::lab {

struct LoginBurst::One {
  One(LoginBurst& o, const sockaddr_in& proxy, Version v) : owner(o), speaker(v, identity()) {
    bev.reset(bufferevent_socket_new(o.c_.loop.get(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        bev.get(),
        [](bufferevent* b, void* self) {
          auto& one = *static_cast<One*>(self);
          evbuffer* const from = bufferevent_get_input(b);
          std::string bytes(evbuffer_get_length(from), '\0'), send;
          if (!bytes.empty()) evbuffer_remove(from, bytes.data(), bytes.size());
          one.in += bytes;
          const auto got = one.speaker.take(one.in, send);
          if (!send.empty()) put(b, send);
          if (got != ClientProtocol::Result::More) one.owner.ended(one, got == ClientProtocol::Result::Ready);
        },
        nullptr,
        [](bufferevent*, short what, void* self) {
          auto& one = *static_cast<One*>(self);
          if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) one.owner.ended(one, false);
        },
        this);
    put(bev.get(), speaker.hello());
    bufferevent_enable(bev.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev.get(), reinterpret_cast<const sockaddr*>(&proxy), sizeof proxy);
  }
  static Identity identity() {
    Identity who;
    who.password = kDeskPassword;
    return who;
  }
  LoginBurst& owner;
  ClientProtocol speaker;
  BufferEventPtr bev;
  std::string in;
};

LoginBurst::LoginBurst(Context& c, const sockaddr_in& proxy, Version v, int count)
    : c_(c), started_(c.now()) {
  for (int k = 0; k < count; ++k) open_.push_back(std::make_unique<One>(*this, proxy, v));
}
LoginBurst::~LoginBurst() = default;

void LoginBurst::ended(One& one, bool in) {
  if (in)
    latencies_.push_back(static_cast<double>((c_.now() - started_).count()) / 1e3);
  else
    ++failed_;
  open_.remove_if([&](const auto& x) { return x.get() == &one; });
}

}  // namespace sablespur::lab
