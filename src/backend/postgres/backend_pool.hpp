// Runs the engine's attempts and health checks on connections to PostgreSQL data servers.
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

// Calls Engine::attemptEnded exactly once for each send(), and Engine::healthCheckEnded exactly
// once for each health check that removeEndpoint() does not discard. All constructor arguments must
// outlive the pool.
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
  // Replaces the built-in delay between the listing of an endpoint and the first connections opened
  // to it ahead of need.
  void setDialDelay(std::function<Time(EndpointId)> delay) { connections_.setDialDelay(std::move(delay)); }
  // Sets the callback for when no descriptor is available for a needed connection. It should make
  // other descriptor holders release one.
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
  void cancelRequestEnded(Connection&, bool delivered) override;
  void connectionUnusable(Connection&) override;

  // Runs the operation on an idle connection, or on a new one once that is ready.
  void start(Operation&);
  void write(Operation&);
  void writeAttempt(Operation&, const Attempt&);
  // Ends an operation that was assigned a connection but not written to it.
  void finishUnsent(Operation&);
  void deadlinePassed(Operation&);
  void healthCheckTimedOut(Operation&);
  // Returns false if CancelRequests are disabled in the settings or none can be sent.
  bool requestCancel(Operation&, AttemptResult endsAs);
  // Fails one waiting operation after a failed dial if not enough other dials are in progress.
  void failWaiting(EndpointId, AttemptResult);
  void endUnsuccessfully(Operation&, AttemptResult);
  // Report the end of an operation to the engine and destroy it. Every operation ends here.
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
