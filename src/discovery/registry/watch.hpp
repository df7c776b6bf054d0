// Discovery's watch: one connection at a time, from the call to its end.
#pragma once

#include "discovery/endpoint_list.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/system_calls.hpp"
#include "protocol/http/http.hpp"

namespace sablespur {

class RegistryWatch final : public DiscoverySource {
 public:
  RegistryWatch(event_base*, EndpointListConsumer&, const Address&);
  ~RegistryWatch() override;
  void watch(std::uint64_t after) override;  // a watch that is on ends silently
  void move(const Address&);                 // goes on with the watch at another address

 private:
  void read();
  void hangUp();
  void fail(const char* why);

  event_base* const base_;
  EndpointListConsumer& taker_;
  Address address_;
  BufferEvent connection_;
  Event silence_;
  http::Response response_;
  ListStream stream_;
  ReservedDescriptor reserve_;  // held while there is no connection
};

}  // namespace sablespur
