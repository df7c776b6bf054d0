#include "lab/logins.hpp"

#include <string>

namespace sablespur::lab {

struct LoginBurst::Login {
  Login(LoginBurst& o, const sockaddr_in& proxy, Version v) : owner(o), protocol(v, identity()) {
    bev.reset(bufferevent_socket_new(o.c_.loop.get(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        bev.get(),
        [](bufferevent* b, void* self) {
          auto& login = *static_cast<Login*>(self);
          evbuffer* const from = bufferevent_get_input(b);
          std::string bytes(evbuffer_get_length(from), '\0'), send;
          if (!bytes.empty()) evbuffer_remove(from, bytes.data(), bytes.size());
          login.in += bytes;
          const auto got = login.protocol.take(login.in, send);
          if (!send.empty()) put(b, send);
          if (got != ClientProtocol::Result::More)
            login.owner.ended(login, got == ClientProtocol::Result::Ready);
        },
        nullptr,
        [](bufferevent*, short what, void* self) {
          auto& login = *static_cast<Login*>(self);
          if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) login.owner.ended(login, false);
        },
        this);
    put(bev.get(), protocol.startupMessage());
    bufferevent_enable(bev.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev.get(), reinterpret_cast<const sockaddr*>(&proxy), sizeof proxy);
  }
  static Identity identity() {
    Identity who;
    who.password = kDeskPassword;
    return who;
  }
  LoginBurst& owner;
  ClientProtocol protocol;
  BufferEventPtr bev;
  std::string in;
};

LoginBurst::LoginBurst(Context& c, const sockaddr_in& proxy, Version v, int count)
    : c_(c), started_(c.now()) {
  for (int k = 0; k < count; ++k) open_.push_back(std::make_unique<Login>(*this, proxy, v));
}
LoginBurst::~LoginBurst() = default;

void LoginBurst::ended(Login& login, bool in) {
  if (in)
    latencies_.push_back(static_cast<double>((c_.now() - started_).count()) / 1e3);
  else
    ++failed_;
  open_.remove_if([&](const auto& x) { return x.get() == &login; });
}

}  // namespace sablespur::lab
