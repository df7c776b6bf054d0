// A CancelRequest on its way to a data server, on a connection of its own.
#pragma once

#include <functional>
#include <string>

#include "balancer/balancer.hpp"
#include "engine/event.hpp"
#include "support/address.hpp"

namespace sablespur {

// Connects, sends the request and waits until the data server closes: before that the cancellation may still
// strike whatever runs next on the connection that it names.
class CancelRequest {
 public:
  // `done` is called once, after the constructor has returned: true, the data server has taken the request
  // and closed; false, it could not be reached within `timeout`. It may destroy this object. Destroyed
  // earlier, it is never called.
  CancelRequest(event_base*, const Address&, const std::string& request, balancer::Time timeout,
                std::function<void(bool)> done);
  ~CancelRequest();
  CancelRequest(const CancelRequest&) = delete;
  CancelRequest& operator=(const CancelRequest&) = delete;

 private:
  void handleEvent(short what);
  void finish(bool taken);

  BufferEvent bev_;
  Event timer_;
  bool connected_ = false;
  std::function<void(bool)> done_;
};

}  // namespace sablespur
