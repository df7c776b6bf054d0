// The interfaces between the engine and its neighbours: frontends, backends, discovery and observers.
//
// None of them knows a wire protocol: a request and an answer are bytes, read only by the codecs at the ends.
// All calls are made in the loop's thread.
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

// A request in the form in which it is forwarded. The backend writes the remaining time in milliseconds
// between `before` and `after`.
struct RequestMessage {
  Buffer before;
  Buffer after;
  // The client's session settings; null: the defaults.
  std::shared_ptr<const translation::SessionSettings> from;
  std::string id;      // the client's name for the request; may be empty
  std::string key;     // idempotency key; empty: none
  Time clockOffset{};  // Engine::clockOffset() when the age of the session token was computed
};

// An endpoint's response, complete and unread; the engine only passes it on.
struct Answer {
  Buffer messages;
  const translation::AnswerReader* reader = nullptr;  // parses `messages`; outlives the answer
  bool problem = false;                               // a single error, caused by the statement itself
};

// Receives the outcome of one request: exactly one call, unless RequestHandler::clientDisconnected came
// first.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void served(Answer) = 0;
  virtual void rejected(Time retryAfter) = 0;  // shed with no effect; 0: no Retry-After
  virtual void failed() = 0;                   // whether it took effect is unknown
};

// Accepts requests: the engine, or a stage in front of it. Each handler assigns ids of its own.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Assigns and returns the request's id. The response handler is called after this call has returned, and
  // has to live until then or until clientDisconnected.
  virtual RequestId request(ResponseHandler&, balancer::Request, RequestMessage) = 0;
  virtual void clientDisconnected(RequestId) = 0;
};

// The role in which an endpoint has answered.
enum class Role { Unknown, Primary, Replica };

// How an attempt ended.
struct AttemptEnd {
  AttemptResult result = AttemptResult::Reset;
  Role role = Role::Unknown;
  std::int64_t positionMs = 0;    // replication position in Unix time; 0: unknown
  bool invalidStatement = false;  // the endpoint rejected the statement as malformed
  Answer answer;                  // with AttemptResult::Ok; with invalidStatement the error, if there is one
};

// Follows the attempts of each request. Called within a turn, before the consequences are carried out.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  virtual void attemptSent(RequestId, int attempt, const std::string& endpoint) = 0;
  virtual void attemptEnded(RequestId, int attempt, const AttemptEnd&) = 0;
};

// Follows the replication status that responses and health checks show. Called within a turn; flush() ends
// the turn.
class ReplicationObserver {
 public:
  virtual ~ReplicationObserver() = default;
  virtual void statusObserved(const cluster::GossipUpdate&) = 0;
  virtual void flush() = 0;
};

// Connections to the endpoints. Each send() leads to one Engine::attemptEnded and each startHealthCheck() to
// one Engine::healthCheckEnded, both after the call has returned.
class Backend {
 public:
  virtual ~Backend() = default;
  // warmAt: end of the slow start; until then connections of all proxies together are limited. 0: no slow
  // start.
  virtual void endpointListed(EndpointId, const Address&, bool ready, Time warmAt) = 0;
  virtual void send(RequestId, int attempt, EndpointId, Time until,
                    std::shared_ptr<const RequestMessage>) = 0;
  // Answers Engine::connectionReady: whether the attempt may still be sent.
  virtual void continueAttempt(RequestId, int attempt, bool fit) = 0;
  virtual void cancel(RequestId, int attempt) = 0;
  virtual void startHealthCheck(EndpointId) = 0;
  // No attempt is in flight there, and none will follow.
  virtual void removeEndpoint(EndpointId) = 0;
};

// Where the endpoint list comes from. A watch leads to any number of Engine::endpointsListed calls, or to one
// Engine::discoveryFailed.
class DiscoverySource {
 public:
  virtual ~DiscoverySource() = default;
  virtual void watch(std::uint64_t after) = 0;  // changes after this generation of the list
};

}  // namespace sablespur
