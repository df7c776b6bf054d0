// A CancelRequest on its way to a data server, on a connection of its own.
#pragma once

#include <functional>
#include <string>

#include "balancer/balancer.hpp"
#include "engine/event.hpp"
#include "support/address.hpp"

namespace sablespur {

class CancelRequest {
 public:
  // `done` comes once: true, the server has taken the request and closed; false, it could not be reached in
  // time. It may end this object, and comes after the constructor.
  CancelRequest(event_base*, const Address&, const std::string& request, balancer::Time within,
                std::function<void(bool)> done);
  ~CancelRequest();
  CancelRequest(const CancelRequest&) = delete;

 private:
  void end(bool taken);
  BufferEvent bev_;
  Event timer_;
  bool connected_ = false;
  std::function<void(bool)> done_;
};

}  // namespace sablespur
