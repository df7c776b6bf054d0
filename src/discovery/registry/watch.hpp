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
  void changeAddress(const Address&);        // goes on with the watch at another address

 private:
  void read();
  void closeConnection();
  void fail(const char* why);

  event_base* const base_;
  EndpointListConsumer& consumer_;
  Address address_;
  BufferEvent connection_;
  Event silenceTimer_;
  http::Response response_;
  EndpointListStream stream_;
  ReservedDescriptor reserve_;  // held while there is no connection
};

}  // namespace sablespur
