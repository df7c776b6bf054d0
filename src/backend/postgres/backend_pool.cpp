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

constexpr int kMaxHealthCheckConnections = 4;  // that one health check may lose
constexpr std::chrono::milliseconds kLeastTimeLeft(1);

AttemptEnd endedAs(AttemptResult result) {
  AttemptEnd end;
  end.result = result;
  return end;
}

// Whether the data server may have run it: all of its bytes have been written.
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
  // By the limits on clients there is room for all that they can ask at once.
  if (!connections_.ensureRoom()) {
    logEvent(LogLevel::Warning, "server_connections_full",
             {{"most", resources_.share(DescriptorHolder::Servers).most}});
    return endUnsuccessfully(operation, AttemptResult::NotSent);
  }
  connections_.enqueue(operation);
}

bool BackendPool::connectionReady(Connection& connection) {
  Operation* const next = connections_.takeWaiting(connection);
  if (!next) return connections_.park(connection);
  if (next->isHealthCheck() && !connections_.isReady(connection.endpoint())) {
    // The data server has begun to drain while this was dialed: nobody asks any more.
    finishHealthCheck(*next, false);
    return connectionReady(connection);
  }
  connection.assign(*next);
  // An attempt that had to wait is looked at again: drains and the data's age count from the bytes sent.
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
    withdraw(operation);
}

void BackendPool::write(Operation& operation) {
  if (const Attempt* const attempt = operation.attempt()) return writeAttempt(operation, *attempt);
  operation.written = true;
  operation.connection->writeHealthCheck();
}

// The clock is read here, and the bytes go to the kernel within the same call: the time left that they tell
// is right but for how long this process is held up in between.
void BackendPool::writeAttempt(Operation& operation, const Attempt& attempt) {
  Connection& connection = *operation.connection;
  const RequestMessage& message = *attempt.message;
  const bool clientBackslashes = message.from && message.from->backslashes;
  const Time now = engine_.now();
  // Rounded down, so that no data server is told of time that the client does not have.
  const auto left = std::chrono::floor<std::chrono::milliseconds>(operation.deadline - now);
  if (left < kLeastTimeLeft) return withdraw(operation);
  operation.written = true;
  std::optional<Buffer> query = clientBackslashes == connection.backslashes()
                                    ? composeQuery(message, left)
                                    : composeRewrittenQuery(message, left, connection.backslashes());
  if (!query) return answerTooLong(connection);
  connection.writeQuery(std::move(*query), now);
}

// Its connection is free for others.
void BackendPool::withdraw(Operation& operation) {
  Connection& connection = *operation.connection;
  connection.release();
  finish(operation, endedAs(AttemptResult::NotSent));
  connectionReady(connection);
}

void BackendPool::cancel(RequestId id, int attempt) {
  const auto found = attempts_.find({id, attempt});
  if (found == attempts_.end()) return;  // its end is on the way already
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

// The attempt is over once the data server has answered, or not in time: no second one goes out before.
bool BackendPool::requestCancel(Operation& operation, AttemptResult endsAs) {
  Attempt* const attempt = operation.attempt();
  if (!config_.cancelServers || !attempt || !operation.written || !operation.connection) return false;
  Connection& connection = *operation.connection;
  if (!connection.flushed() || !connections_.ensureRoom() || !connection.sendCancelRequest()) return false;
  attempt->cancelledAs = endsAs;
  startTimer(operation.deadlineTimer.get(), config_.cancelResponseTimeout);
  return true;
}

void BackendPool::cancelRequestEnded(Connection& connection, bool taken) {
  if (Operation* const operation = connection.operation()) {
    // The data server can't be asked, so the connection ends.
    if (!taken) deadlinePassed(*operation);
    return;
  }
  if (!taken || !connection.quiet()) return connections_.drop(connection);
  connectionReady(connection);
}

void BackendPool::deadlinePassed(Operation& operation) {
  if (!operation.cancelledAs() && requestCancel(operation, AttemptResult::Timeout)) return;
  if (Connection* const connection = operation.connection) {
    connection->release();
    connections_.drop(*connection);
  }
  if (operation.isHealthCheck()) return healthCheckTimedOut(operation);
  // What was never written did not run.
  const AttemptResult unanswered = operation.written ? AttemptResult::Timeout : AttemptResult::NotSent;
  finish(operation, endedAs(operation.cancelledAs().value_or(unanswered)));
}

// A health check is answered at once or not at all, so where a machine is cut off its other idle connections
// are as silent. A send that has to dial fails soon and without having run; on a silent connection it is lost
// until its deadline, and may have run.
void BackendPool::healthCheckTimedOut(Operation& operation) {
  // One that found nothing on this machine to go out on tells nothing of its data server.
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
  // The end of a kept connection isn't that of its data server: the health check goes out on another.
  if (HealthCheck* const check = operation->healthCheck()) {
    if (++check->connectionsLost >= kMaxHealthCheckConnections) return finishHealthCheck(*operation, false);
    operation->written = false;
    return start(*operation);
  }
  // Written to the last byte it may have run; before that it never has.
  if (result == AttemptResult::Reset && !(operation->written && flushed))
    result = AttemptResult::ConnectFailed;
  AttemptEnd end = endedAs(operation->cancelledAs().value_or(result));
  end.invalidStatement = invalidStatement;
  finish(*operation, std::move(end));
}

// Not held against the data server: what has not gone out whole never ran and waits for another connection;
// what has may have run.
void BackendPool::resourceExhausted(Connection& connection, int error) {
  const EndpointId endpoint = connection.endpoint();
  const bool dialing = connection.dialing();
  const bool ran = connection.operation() && mayHaveRun(*connection.operation(), connection);
  Operation* const operation = connection.release();
  connections_.drop(connection);
  if (operation || dialing) connections_.handleShortage(endpoint, error);
  if (!operation) return;
  if (!operation->cancelledAs() && (!ran || operation->isHealthCheck())) {
    operation->written = false;
    return connections_.requeue(*operation);
  }
  finish(*operation, endedAs(operation->cancelledAs().value_or(AttemptResult::Cancelled)));
}

// An attempt that was written may have run; a health check was answered, however badly: its data server
// lives.
void BackendPool::protocolError(Connection& connection, std::string_view what) {
  logEvent(LogLevel::Warning, "server_protocol_error", {{"what", what}});
  const EndpointId endpoint = connection.endpoint();
  const bool dialing = connection.dialing();
  const bool ran = connection.operation() && mayHaveRun(*connection.operation(), connection);
  Operation* const operation = connection.release();
  connections_.drop(connection);
  if (!operation) {
    if (dialing) failWaiting(endpoint, AttemptResult::ConnectFailed);
    return;
  }
  if (operation->isHealthCheck()) return finishHealthCheck(*operation, true);
  const AttemptResult result = ran ? AttemptResult::Error : AttemptResult::NotSent;
  finish(*operation, endedAs(operation->cancelledAs().value_or(result)));
}

// By no fault of the data server: the statement, or what it asks for, has no room here.
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

// A data server that has nothing to report yet answers with an empty row: it is alive, and tells no values.
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
