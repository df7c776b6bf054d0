// Sends a CancelRequest to a data server on a separate connection.
#pragma once

#include <functional>
#include <string>

#include "balancer/balancer.hpp"
#include "engine/event.hpp"
#include "support/address.hpp"

namespace sablespur {

// Connects, sends the request and waits until the data server closes the connection. Until then the
// cancellation may still hit the next query on the connection that the request names.
class CancelRequest {
 public:
  // `done` is called once, after the constructor has returned, with true if the request was sent
  // and the data server closed the connection, or with false if that failed or took longer than
  // `timeout`. It may destroy this object. If the object is destroyed earlier, `done` is not
  // called.
  CancelRequest(event_base*, const Address&, const std::string& request, balancer::Time timeout,
                std::function<void(bool)> done);
  ~CancelRequest();
  CancelRequest(const CancelRequest&) = delete;
  CancelRequest& operator=(const CancelRequest&) = delete;

 private:
  void handleEvent(short what);
  void finish(bool delivered);

  BufferEvent bev_;
  Event timer_;
  bool connected_ = false;
  std::function<void(bool)> done_;
};

}  // namespace sablespur
