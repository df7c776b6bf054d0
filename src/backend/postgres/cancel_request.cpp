#include "backend/postgres/cancel_request.hpp"

#include <utility>

namespace sablespur {

CancelRequest::CancelRequest(event_base* base, const Address& to, const std::string& request,
                             balancer::Time timeout, std::function<void(bool)> done)
    : bev_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<CancelRequest*>(self)->finish(false); },
          this)),
      done_(std::move(done)) {
  bufferevent_setcb(
      bev_.get(),
      [](bufferevent* b, void*) {
        evbuffer_drain(bufferevent_get_input(b), evbuffer_get_length(bufferevent_get_input(b)));
      },
      nullptr,
      [](bufferevent*, short what, void* self) { static_cast<CancelRequest*>(self)->handleEvent(what); },
      this);
  append(bufferevent_get_output(bev_.get()), request);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  const bool refused = bufferevent_socket_connect(bev_.get(), to.data(), static_cast<int>(to.size())) != 0;
  startTimer(timer_.get(), refused ? balancer::Time(0) : timeout);
}
CancelRequest::~CancelRequest() = default;

void CancelRequest::handleEvent(short what) {
  if (what & BEV_EVENT_CONNECTED) connected_ = true;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))) return;
  const bool sent = evbuffer_get_length(bufferevent_get_output(bev_.get())) == 0;
  finish(connected_ && (what & BEV_EVENT_EOF) && sent);
}

void CancelRequest::finish(bool delivered) {
  event_del(timer_.get());
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  // Moved out first: the callback may destroy this object.
  const auto done = std::exchange(done_, nullptr);
  if (done) done(delivered);
}

}  // namespace sablespur
