// One call to the HTTP registry: a connection from the request to the end of its response.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list.hpp"
#include "engine/event.hpp"
#include "protocol/http/http.hpp"
#include "support/address.hpp"

namespace sablespur {

class RegistryCall {
 public:
  // What has come since the last report.
  struct Report {
    std::vector<EndpointList> lists;
    bool listGrew = false;              // the response began, or bytes came that are part of a list
    bool isIdle = false;                // an empty line came: nothing has changed
    std::optional<std::string> ending;  // why the call is over; empty while it goes on
    bool isAnswered = false;            // a response has begun, with whatever status
    std::optional<std::chrono::seconds> retryAfter;
  };
  // Receives the reports. The call may be destroyed in it.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void reported(RegistryCall&, Report&) = 0;
  };

  // Takes the socket, which may be -1: the call then ends at once with the next report. The owner outlives
  // it.
  RegistryCall(event_base*, Owner&, std::uint64_t id, int socket, const Address&, std::uint64_t after);
  ~RegistryCall();
  RegistryCall(const RegistryCall&) = delete;
  RegistryCall& operator=(const RegistryCall&) = delete;

  // Sends the request for a watch of changes after the generation. May report an end at once.
  void start();

  std::uint64_t id() const { return id_; }
  std::uint64_t after() const { return after_; }
  std::size_t bytes() const { return bytes_; }
  std::size_t lists() const { return lists_; }

 private:
  void read();
  void feed(Report&);
  void parse(const std::string& body, Report&);
  void end(std::string why);

  Owner& owner_;
  const std::uint64_t id_;
  const Address address_;
  const std::uint64_t after_;
  const int socket_;
  BufferEvent connection_;
  http::Response response_;
  EndpointListStream stream_;
  std::size_t bytes_ = 0;
  std::size_t lists_ = 0;
};

}  // namespace sablespur
