// The watch of the HTTP registry: one connection at a time, from the request to the end of its response.
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
  // Begins a watch of changes after this generation. One that is open ends without a report.
  void watch(std::uint64_t after) override;
  void changeAddress(const Address&);  // continues the watch there; without effect for the same one

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
  ReservedDescriptor reserve_;  // held while there is no connection, so that the next one finds a descriptor
};

}  // namespace sablespur
