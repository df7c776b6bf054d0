// An operation that the proxy runs on a connection to a data server: an attempt of a request, or a
// health check.
#pragma once

#include <memory>
#include <optional>
#include <variant>

#include "engine/engine.hpp"
#include "engine/event.hpp"

namespace sablespur {

class BackendPool;
class Connection;

struct AttemptKey {
  RequestId request = 0;
  int number = 0;  // of the attempt within its request

  friend bool operator<(const AttemptKey& a, const AttemptKey& b) {
    return a.request != b.request ? a.request < b.request : a.number < b.number;
  }
};

struct Attempt {
  AttemptKey key;
  std::shared_ptr<const RequestMessage> message;
  // Set once a CancelRequest is sent: the result of the attempt unless it is answered before the
  // cancellation takes effect.
  std::optional<AttemptResult> cancelledAs;
};

struct HealthCheck {
  int connectionsLost = 0;  // that ended during this health check
};

// Owned by the BackendPool. While an operation runs, it and its Connection point to each other;
// whichever ends first clears both pointers (Connection::release).
struct Operation {
  EndpointId endpoint = 0;
  Time deadline{};
  std::variant<Attempt, HealthCheck> kind;
  Connection* connection = nullptr;  // null: waiting for a connection
  bool written = false;              // some of its bytes may have been sent
  BackendPool* owner = nullptr;      // notified by deadlineTimer
  Event deadlineTimer;

  Attempt* attempt() { return std::get_if<Attempt>(&kind); }
  const Attempt* attempt() const { return std::get_if<Attempt>(&kind); }
  HealthCheck* healthCheck() { return std::get_if<HealthCheck>(&kind); }
  bool isHealthCheck() const { return std::holds_alternative<HealthCheck>(kind); }
  std::optional<AttemptResult> cancelledAs() const {
    return attempt() ? attempt()->cancelledAs : std::nullopt;
  }
};

}  // namespace sablespur
