// Carries out the engine's attempts and health checks on connections to PostgreSQL data servers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "backend/postgres/connection_pool.hpp"
#include "backend/postgres/operation.hpp"
#include "engine/engine.hpp"
#include "engine/resource_budget.hpp"
#include "engine/workers.hpp"

namespace sablespur {

// Each send ends in one Engine::attemptEnded, each health check in one Engine::healthCheckEnded. All
// arguments of the constructor outlive the pool.
class BackendPool final : public Backend, private ConnectionListener {
 public:
  BackendPool(event_base*, Engine&, WorkerPool&, ResourceBudget&, const Config&);
  ~BackendPool() override;

  void endpointListed(EndpointId, const Address&, bool ready, Time warmAt) override;
  void send(RequestId, int attempt, EndpointId, Time until, std::shared_ptr<const RequestMessage>) override;
  void continueAttempt(RequestId, int attempt, bool fit) override;
  void cancel(RequestId, int attempt) override;
  void startHealthCheck(EndpointId) override;
  void removeEndpoint(EndpointId) override;
  // Replaces the built-in delay: how long after an endpoint has come connections to it are opened ahead of
  // need.
  void setDialDelay(std::function<Time(EndpointId)> delay) { connections_.setDialDelay(std::move(delay)); }
  // Called when there is no descriptor for a connection that is needed: others are to make room.
  void onShortage(std::function<void()> call) { connections_.onShortage(std::move(call)); }

 private:
  bool connectionReady(Connection&) override;
  void operationAnswered(Operation&, AnswerParser&) override;
  void connectionLost(Connection&, AttemptResult) override;
  void resourceExhausted(Connection&, int error) override;
  void protocolError(Connection&, std::string_view what) override;
  void answerTooLong(Connection&) override;
  void versionRejected(Connection&) override;
  void versionNegotiated(EndpointId, int minorVersion) override;
  void cancelRequestEnded(Connection&, bool taken) override;
  void connectionUnusable(Connection&) override;

  void start(Operation&);  // on an idle connection, or once a new one is up
  void write(Operation&);
  void writeAttempt(Operation&, const Attempt&);
  void withdraw(Operation&);  // has a connection, and did not go out on it
  void deadlinePassed(Operation&);
  void healthCheckTimedOut(Operation&);
  // False: cancelling is off, or there is no way to ask for it.
  bool requestCancel(Operation&, AttemptResult endsAs);
  void failWaiting(EndpointId, AttemptResult);  // a dial failed
  void endUnsuccessfully(Operation&, AttemptResult);
  // The one end of an operation; these destroy it.
  void finish(Operation&, AttemptEnd);
  void finishHealthCheck(Operation&, bool answered, std::string_view report = {});

  event_base* const base_;
  Engine& engine_;
  ResourceBudget& resources_;
  const Config& config_;
  std::unordered_map<EndpointId, std::unique_ptr<Operation>> healthChecks_;
  std::map<AttemptKey, std::unique_ptr<Operation>> attempts_;
  ConnectionPool connections_;
};

}  // namespace sablespur
