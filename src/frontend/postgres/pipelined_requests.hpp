// The requests of one client that have arrived whole and wait behind another one in the input buffer.
//
// Their ids are reserved when they arrive, so that no other client's request can take one before its
// turn has come. Messages of the extended protocol are passed over: the id of such a request is known
// when it is executed.
#pragma once

#include <event2/buffer.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "frontend/postgres/open_request_ids.hpp"

namespace sablespur {

class PipelinedRequests {
 public:
  using Time = OpenRequestIds::Time;

  // How the messages of a client are delimited.
  enum class Framing {
    StartupVersion3,  // a startup message of protocol 3, then as Version3
    Version3,
    Version2
  };

  // Whether the id of a request was free when the request arrived. A reserved id passes to the caller
  // with it.
  struct Claim {
    RequestIdHash id;
    bool isReserved;
  };

  // Bounds the memory and the work for one client; requests behind them are looked at later.
  static constexpr std::size_t kMaxRequests = 256;

  // `ids` has to outlive it.
  PipelinedRequests(OpenRequestIds& ids, OpenRequestIds::Owner owner) : ids_(ids), owner_(owner) {}
  ~PipelinedRequests() { clear(); }
  PipelinedRequests(const PipelinedRequests&) = delete;
  PipelinedRequests& operator=(const PipelinedRequests&) = delete;

  // Looks at the messages in the input buffer that have become complete since the last call. The
  // buffer has to begin with a message.
  void scan(Time now, evbuffer* input, Framing);
  // Has to be called for all bytes that are removed from the input buffer. Releases the ids of
  // requests that have been removed without having been taken.
  void onConsumed(std::size_t bytes);
  // Returns the claim of the request at the front of the input buffer; std::nullopt if the request has
  // not been looked at.
  std::optional<Claim> take();
  // Releases all ids.
  void clear();

  std::size_t size() const { return requests_.size(); }

 private:
  struct Request {
    std::uint64_t position;  // of its first byte in the client's input
    Claim claim;
  };

  bool scanMessage(Time now, evbuffer* input, Framing, std::size_t offset);
  void addRequest(Time now, RequestIdHash, std::size_t offset);
  void dropFront();

  OpenRequestIds& ids_;
  const OpenRequestIds::Owner owner_;
  std::deque<Request> requests_;
  std::uint64_t consumed_ = 0;  // bytes removed from the input
  std::uint64_t scanned_ = 0;   // bytes looked at, from the beginning of the input
};

}  // namespace sablespur
