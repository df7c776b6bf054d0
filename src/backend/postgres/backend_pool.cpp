#include "backend/postgres/backend_pool.hpp"

#include <chrono>
#include <optional>
#include <utility>

#include "backend/postgres/load_report.hpp"
#include "backend/postgres/query.hpp"
#include "logging/log.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/messages.hpp"
#include "translation/settings.hpp"

namespace sablespur {
namespace {

constexpr int kMaxHealthCheckConnections = 4;  // lost connections after which a health check fails
constexpr std::chrono::milliseconds kMinTimeLeft(1);

AttemptEnd endedAs(AttemptResult result) {
  AttemptEnd end;
  end.result = result;
  return end;
}

// Whether the data server may have run the operation: all of its bytes have been written.
bool mayHaveRun(const Operation& operation, const Connection& connection) {
  return operation.written && connection.flushed();
}

}  // namespace

BackendPool::BackendPool(event_base* base, Engine& engine, WorkerPool& workers, ResourceBudget& resources,
                         const Config& config)
    : base_(base),
      engine_(engine),
      resources_(resources),
      config_(config),
      connections_(base, engine, workers, resources, config, *this) {}
BackendPool::~BackendPool() = default;

void BackendPool::endpointListed(EndpointId id, const Address& address, bool ready, Time warmAt) {
  connections_.update(id, address, ready, warmAt);
}

void BackendPool::removeEndpoint(EndpointId id) {
  connections_.remove(id);
  healthChecks_.erase(id);
}

void BackendPool::send(RequestId id, int attempt, EndpointId endpoint, Time until,
                       std::shared_ptr<const RequestMessage> message) {
  const AttemptKey key{id, attempt};
  auto operation = std::make_unique<Operation>();
  operation->endpoint = endpoint;
  operation->deadline = until;
  operation->kind = Attempt{key, std::move(message), std::nullopt};
  start(*attempts_.emplace(key, std::move(operation)).first->second);
}

void BackendPool::startHealthCheck(EndpointId endpoint) {
  auto& operation = healthChecks_[endpoint];
  operation = std::make_unique<Operation>();
  operation->endpoint = endpoint;
  operation->deadline = engine_.now() + config_.dialTimeout;
  operation->kind = HealthCheck{};
  start(*operation);
}

void BackendPool::start(Operation& operation) {
  operation.owner = this;
  operation.deadlineTimer.reset(event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* self) {
        auto& passed = *static_cast<Operation*>(self);
        passed.owner->deadlinePassed(passed);
      },
      &operation));
  startTimer(operation.deadlineTimer.get(), operation.deadline - engine_.now());
  if (Connection* const idle = connections_.takeIdle(operation.endpoint)) {
    idle->assign(operation);
    return write(operation);
  }
  // The limits on clients leave enough server connections for all of their concurrent requests, so
  // this is logged.
  if (!connections_.ensureRoom()) {
    logEvent(LogLevel::Warning, "server_connections_full",
             {{"most", resources_.share(DescriptorHolder::Servers).limit}});
    return endUnsuccessfully(operation, AttemptResult::NotSent);
  }
  connections_.enqueue(operation);
}

bool BackendPool::connectionReady(Connection& connection) {
  Operation* const next = connections_.takeWaiting(connection);
  if (!next) return connections_.park(connection);
  if (next->isHealthCheck() && !connections_.isReady(connection.endpoint())) {
    // The data server started draining during the dial, so the health check is no longer needed.
    finishHealthCheck(*next, false);
    return connectionReady(connection);
  }
  connection.assign(*next);
  // The engine re-evaluates an attempt that had to wait: draining and staleness are judged at the
  // time when the bytes are sent.
  if (const Attempt* const attempt = next->attempt())
    engine_.connectionReady(attempt->key.request, attempt->key.number);
  else
    write(*next);
  return true;
}

void BackendPool::continueAttempt(RequestId id, int attempt, bool fit) {
  const auto found = attempts_.find({id, attempt});
  if (found == attempts_.end()) return;
  Operation& operation = *found->second;
  if (!operation.connection || operation.written) return;
  if (fit)
    write(operation);
  else
    finishUnsent(operation);
}

void BackendPool::write(Operation& operation) {
  if (const Attempt* const attempt = operation.attempt()) return writeAttempt(operation, *attempt);
  operation.written = true;
  operation.connection->writeHealthCheck();
}

// Reads the clock and passes the bytes to the kernel in the same call, so that the remaining time
// in the query is wrong only by delays of this process in between.
void BackendPool::writeAttempt(Operation& operation, const Attempt& attempt) {
  Connection& connection = *operation.connection;
  const RequestMessage& message = *attempt.message;
  const bool clientBackslashes = message.from && message.from->backslashes;
  const Time now = engine_.now();
  // Rounded down, so that a data server never sees more time than the client has left.
  const auto left = std::chrono::floor<std::chrono::milliseconds>(operation.deadline - now);
  if (left < kMinTimeLeft) return finishUnsent(operation);
  operation.written = true;
  std::optional<Buffer> query = clientBackslashes == connection.backslashes()
                                    ? composeQuery(message, left)
                                    : composeRewrittenQuery(message, left, connection.backslashes());
  if (!query) return answerTooLong(connection);
  connection.writeQuery(std::move(*query), now);
}

// The connection becomes available to other operations.
void BackendPool::finishUnsent(Operation& operation) {
  Connection& connection = *operation.connection;
  connection.release();
  finish(operation, endedAs(AttemptResult::NotSent));
  connectionReady(connection);
}

void BackendPool::cancel(RequestId id, int attempt) {
  const auto found = attempts_.find({id, attempt});
  if (found == attempts_.end()) return;  // it has ended already
  Operation& operation = *found->second;
  if (operation.cancelledAs() || requestCancel(operation, AttemptResult::Cancelled)) return;
  if (Connection* const connection = operation.connection) {
    connection->release();
    if (operation.written)
      connections_.drop(*connection);
    else
      connectionReady(*connection);
  }
  finish(operation, endedAs(operation.written ? AttemptResult::Cancelled : AttemptResult::NotSent));
}

// The attempt ends when the data server has answered, or after cancelResponseTimeout. Until then no other
// attempt of the request is sent.
bool BackendPool::requestCancel(Operation& operation, AttemptResult endsAs) {
  Attempt* const attempt = operation.attempt();
  if (!config_.cancelServers || !attempt || !operation.written || !operation.connection) return false;
  Connection& connection = *operation.connection;
  if (!connection.flushed() || !connections_.ensureRoom() || !connection.sendCancelRequest()) return false;
  attempt->cancelledAs = endsAs;
  startTimer(operation.deadlineTimer.get(), config_.cancelResponseTimeout);
  return true;
}

void BackendPool::cancelRequestEnded(Connection& connection, bool delivered) {
  if (Operation* const operation = connection.operation()) {
    // The data server could not be reached with the CancelRequest, so the connection is closed
    // instead.
    if (!delivered) deadlinePassed(*operation);
    return;
  }
  if (!delivered || !connection.hasNoPendingInput()) return connections_.drop(connection);
  connectionReady(connection);
}

void BackendPool::deadlinePassed(Operation& operation) {
  if (!operation.cancelledAs() && requestCancel(operation, AttemptResult::Timeout)) return;
  if (Connection* const connection = operation.connection) {
    connection->release();
    connections_.drop(*connection);
  }
  if (operation.isHealthCheck()) return healthCheckTimedOut(operation);
  // An operation that was never written cannot have run.
  const AttemptResult unanswered = operation.written ? AttemptResult::Timeout : AttemptResult::NotSent;
  finish(operation, endedAs(operation.cancelledAs().value_or(unanswered)));
}

// A data server answers a health check at once or not at all. If its machine is unreachable, the
// other idle connections to it are dead too, so they are dropped. A send that has to dial fails
// soon and cannot have run. A send on a dead connection gets no answer until its deadline and
// counts as possibly run.
void BackendPool::healthCheckTimedOut(Operation& operation) {
  // A health check that was not sent for lack of local resources says nothing about the data
  // server.
  if (!operation.written && connections_.hasLocalShortage(operation.endpoint))
    return finishHealthCheck(operation, true);
  connections_.dropIdle(operation.endpoint);
  connections_.delayDials(operation.endpoint);
  finishHealthCheck(operation, false);
}

void BackendPool::operationAnswered(Operation& operation, AnswerParser& answer) {
  if (!operation.isHealthCheck()) return finish(operation, answer.finish(operation.cancelledAs()));
  const auto& report = answer.report();
  finishHealthCheck(operation, report.has_value(), report ? std::string_view(*report) : std::string_view());
}

void BackendPool::connectionLost(Connection& connection, AttemptResult result) {
  const EndpointId endpoint = connection.endpoint();
  const bool dialing = connection.dialing();
  const bool invalidStatement = connection.invalidStatement();
  const bool flushed = connection.flushed();
  Operation* const operation = connection.release();
  connections_.drop(connection);
  if (!operation) {
    if (dialing) failWaiting(endpoint, result);
    return;
  }
  // A pooled connection may close without a fault of its data server, so the health check is sent
  // again on another one.
  if (HealthCheck* const check = operation->healthCheck()) {
    if (++check->connectionsLost >= kMaxHealthCheckConnections) return finishHealthCheck(*operation, false);
    operation->written = false;
    return start(*operation);
  }
  // An operation may have run only if it was written to the last byte.
  if (result == AttemptResult::Reset && !(operation->written && flushed))
    result = AttemptResult::ConnectFailed;
  AttemptEnd end = endedAs(operation->cancelledAs().value_or(result));
  end.invalidStatement = invalidStatement;
  finish(*operation, std::move(end));
}

// A local shortage does not count as a failure of the data server. An operation that was not
// written completely cannot have run and waits for another connection; one that was may have run
// and ends. Health checks always wait for another connection.
void BackendPool::resourceExhausted(Connection& connection, int error) {
  const EndpointId endpoint = connection.endpoint();
  const bool dialing = connection.dialing();
  const bool maybeRan = connection.operation() && mayHaveRun(*connection.operation(), connection);
  Operation* const operation = connection.release();
  connections_.drop(connection);
  if (operation || dialing) connections_.handleShortage(endpoint, error);
  if (!operation) return;
  if (!operation->cancelledAs() && (!maybeRan || operation->isHealthCheck())) {
    operation->written = false;
    return connections_.requeue(*operation);
  }
  finish(*operation, endedAs(operation->cancelledAs().value_or(AttemptResult::Cancelled)));
}

// An attempt that was written completely may have run. A health check counts as answered: even an
// invalid answer shows that the data server is alive.
void BackendPool::protocolError(Connection& connection, std::string_view what) {
  logEvent(LogLevel::Warning, "server_protocol_error", {{"what", what}});
  const EndpointId endpoint = connection.endpoint();
  const bool dialing = connection.dialing();
  const bool maybeRan = connection.operation() && mayHaveRun(*connection.operation(), connection);
  Operation* const operation = connection.release();
  connections_.drop(connection);
  if (!operation) {
    if (dialing) failWaiting(endpoint, AttemptResult::ConnectFailed);
    return;
  }
  if (operation->isHealthCheck()) return finishHealthCheck(*operation, true);
  const AttemptResult result = maybeRan ? AttemptResult::Error : AttemptResult::NotSent;
  finish(*operation, endedAs(operation->cancelledAs().value_or(result)));
}

// Not a failure of the data server: the rewritten statement or the answer exceeds this proxy's size
// limits.
void BackendPool::answerTooLong(Connection& connection) {
  Operation& operation = *connection.release();
  connections_.drop(connection);
  AttemptEnd end = endedAs(AttemptResult::Error);
  end.invalidStatement = true;
  end.answer = {newBuffer(), &postgres::reader(), true};
  append(end.answer.messages.get(),
         postgres::error("ERROR", "54000", "a statement or an answer that is too long to be passed on"));
  finish(operation, std::move(end));
}

void BackendPool::versionRejected(Connection& connection) { connections_.dialOldestVersion(connection); }

void BackendPool::versionNegotiated(EndpointId endpoint, int minorVersion) {
  connections_.versionNegotiated(endpoint, minorVersion);
}

void BackendPool::connectionUnusable(Connection& connection) { connections_.drop(connection); }

void BackendPool::failWaiting(EndpointId endpoint, AttemptResult result) {
  if (Operation* const waiting = connections_.dialFailed(endpoint, result))
    endUnsuccessfully(*waiting, result);
}

void BackendPool::endUnsuccessfully(Operation& operation, AttemptResult result) {
  if (operation.isHealthCheck()) return finishHealthCheck(operation, false);
  finish(operation, endedAs(result));
}

void BackendPool::finish(Operation& operation, AttemptEnd end) {
  const AttemptKey key = std::get<Attempt>(operation.kind).key;
  connections_.dequeue(operation);
  engine_.attemptEnded(key.request, key.number, operation.endpoint, std::move(end));
  attempts_.erase(key);
}

// A data server that has nothing to report yet answers with an empty value: it is alive, and
// `values` stays empty.
void BackendPool::finishHealthCheck(Operation& operation, bool answered, std::string_view report) {
  const EndpointId endpoint = operation.endpoint;
  connections_.dequeue(operation);
  std::vector<double> values;
  if (answered)
    values = parseLoadReport(report, config_.reportNames, config_.settings.reportFields, engine_.now());
  engine_.healthCheckEnded(endpoint, answered, values);
  healthChecks_.erase(endpoint);
}

}  // namespace sablespur
