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
  // What was received since the last report.
  struct Report {
    std::vector<EndpointList> lists;
    bool listGrew = false;              // the response began, or bytes of a list were received
    bool hasEmptyLine = false;          // received the empty line for "unchanged"
    std::optional<std::string> ending;  // why the call ended; `std::nullopt` while it is open
    bool isAnswered = false;            // a response has begun, with any status
    bool isConnected = false;           // the connection has just come up
    std::optional<std::chrono::seconds> retryAfter;
  };
  // Receives the reports. May destroy the call while handling one.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void reported(RegistryCall&, Report&) = 0;
  };

  // Takes ownership of the socket. If it is -1, start() reports the end of the call. The owner must
  // outlive the call.
  RegistryCall(event_base*, Owner&, std::uint64_t id, int socket, const Address&, std::uint64_t after);
  ~RegistryCall();
  RegistryCall(const RegistryCall&) = delete;
  RegistryCall& operator=(const RegistryCall&) = delete;

  // Connects and requests a watch of the changes after the generation. May report the end of the
  // call before it returns.
  void start();

  std::uint64_t id() const { return id_; }
  std::uint64_t after() const { return after_; }
  std::size_t bytes() const { return bytes_; }
  std::size_t lists() const { return lists_; }
  const Address& address() const { return address_; }

 private:
  void read();
  void connected();
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
