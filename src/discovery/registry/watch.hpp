// The watch of the HTTP registry: one connection at a time, from the request to the end of its response.
#pragma once

#include "discovery/endpoint_list.hpp"
#include "engine/clock.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/system_calls.hpp"
#include "protocol/http/http.hpp"

namespace sablespur {

class RegistryWatch final : public DiscoverySource {
 public:
  // The clock and the consumer have to outlive it.
  RegistryWatch(event_base*, const Clock&, EndpointListConsumer&, const Address&);
  ~RegistryWatch() override;
  // Begins a watch of changes after this generation. One that is open ends without a report.
  void watch(std::uint64_t after) override;
  void changeAddress(const Address&);  // continues the watch there; without effect for the same one

 private:
  void read();
  void closeConnection();
  void fail(const char* why);

  // What the log tells of the call when it ends.
  struct CallRecord {
    std::uint64_t after = 0;  // changes after this generation were asked for
    Clock::Time openedAt{};
    std::size_t bytes = 0;
    std::size_t lists = 0;
  };

  event_base* const base_;
  const Clock& clock_;
  EndpointListConsumer& consumer_;
  Address address_;
  BufferEvent connection_;
  Event silenceTimer_;
  http::Response response_;
  EndpointListStream stream_;
  CallRecord call_;
  ReservedDescriptor reserve_;  // held while there is no connection, so that the next one finds a descriptor
};

}  // namespace sablespur
