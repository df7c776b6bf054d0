// The interfaces between the engine and frontends, backends, discovery and observers.
//
// The interfaces are independent of wire protocols: requests and answers are bytes that only the
// codecs of frontends and backends parse. All calls are made on the event loop's thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "balancer/balancer.hpp"
#include "cluster/gossip.hpp"
#include "config/config.hpp"
#include "engine/event.hpp"

namespace sablespur::translation {
class AnswerReader;
struct SessionSettings;
}  // namespace sablespur::translation

namespace sablespur {

using balancer::AttemptResult;
using balancer::EndpointId;
using balancer::RequestId;

// A request as it is forwarded. The backend writes the remaining time, in milliseconds, between
// `before` and `after`.
struct RequestMessage {
  Buffer before;
  Buffer after;
  // The client's session settings; null: the defaults.
  std::shared_ptr<const translation::SessionSettings> from;
  std::string id;      // request id chosen by the client; may be empty
  std::string key;     // idempotency key; may be empty
  Time clockOffset{};  // Engine::clockOffset() when the age of the session token was computed
};

// An endpoint's complete response, not yet parsed. The engine only forwards it.
struct Answer {
  Buffer messages;
  const translation::AnswerReader* reader = nullptr;  // parses `messages`; outlives the answer
  bool problem = false;                               // one error, caused by the statement
};

// Receives the outcome of one request. Exactly one member function is called, exactly once, unless
// RequestHandler::clientDisconnected is called first.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void served(Answer) = 0;
  virtual void rejected(Time retryAfter) = 0;  // rejected without effect; 0: no Retry-After
  virtual void failed() = 0;                   // the request may or may not have taken effect
};

// Accepts requests. Implemented by the engine and by the stages in front of it; each assigns its
// own ids.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Returns the id assigned to the request. The response handler is called after this function has
  // returned, and must live until that call or until clientDisconnected().
  virtual RequestId request(ResponseHandler&, balancer::Request, RequestMessage) = 0;
  virtual void clientDisconnected(RequestId) = 0;
};

// The replication role that an endpoint reported in an answer.
enum class Role { Unknown, Primary, Replica };

// How an attempt ended.
struct AttemptEnd {
  AttemptResult result = AttemptResult::Reset;
  Role role = Role::Unknown;
  std::int64_t positionMs = 0;    // replication position in Unix time; 0: unknown
  bool invalidStatement = false;  // the endpoint rejected the statement as malformed
  Answer answer;                  // for AttemptResult::Ok; the error, if any, for invalidStatement
};

// Observes the attempts of each request. Called during a turn, before the resulting actions are
// executed.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  virtual void attemptSent(RequestId, int attempt, const std::string& endpoint) = 0;
  virtual void attemptEnded(RequestId, int attempt, const AttemptEnd&) = 0;
};

// Observes the replication status reported in responses and health checks. Called during a turn;
// flush() is called once at its end.
class ReplicationObserver {
 public:
  virtual ~ReplicationObserver() = default;
  virtual void statusObserved(const cluster::GossipUpdate&) = 0;
  virtual void flush() = 0;
};

// Manages the connections to the endpoints. Each send() is followed by exactly one
// Engine::attemptEnded, each startHealthCheck() by exactly one Engine::healthCheckEnded, both after
// the call has returned.
class Backend {
 public:
  virtual ~Backend() = default;
  // `warmAt`: end of the slow start, until which the connections of all proxies together are
  // limited; 0: no slow start.
  virtual void endpointListed(EndpointId, const Address&, bool ready, Time warmAt) = 0;
  virtual void send(RequestId, int attempt, EndpointId, Time until,
                    std::shared_ptr<const RequestMessage>) = 0;
  // Called in response to Engine::connectionReady. `maySend`: the attempt may still be sent.
  virtual void continueAttempt(RequestId, int attempt, bool maySend) = 0;
  virtual void cancel(RequestId, int attempt) = 0;
  virtual void startHealthCheck(EndpointId) = 0;
  // Called when the endpoint has no attempt in flight; no further attempts will follow.
  virtual void removeEndpoint(EndpointId) = 0;
};

// Source of the endpoint list. A watch results in any number of Engine::endpointsListed calls, or
// in one Engine::discoveryFailed call.
class DiscoverySource {
 public:
  virtual ~DiscoverySource() = default;
  // Watches for changes after the generation `after` of the list.
  virtual void watch(std::uint64_t after) = 0;
};

}  // namespace sablespur
