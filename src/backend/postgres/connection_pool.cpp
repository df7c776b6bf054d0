#include "backend/postgres/connection_pool.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr Time kMaintenanceInterval = std::chrono::milliseconds(250);
constexpr Time kRedialDelay = std::chrono::seconds(1);
// Closed descriptors are released in the next iteration of the event loop.
constexpr Time kShortageRetryDelay = std::chrono::milliseconds(10);
// Idle connections are closed after this share of the data server's own idle limit, because a query
// on a connection that the data server has closed fails with a reset.
constexpr double kIdleTimeoutShare = 0.7;
// Dials ahead of need use at most this fraction (one half) of the limit on server connections.
constexpr std::size_t kAheadOfNeedDivisor = 2;

}  // namespace

ConnectionPool::ConnectionPool(event_base* base, const Engine& engine, WorkerPool& workers,
                               ResourceBudget& resources, const Config& config, ConnectionListener& listener)
    : engine_(engine),
      resources_(resources),
      config_(config),
      listener_(listener),
      passwords_(workers, [this](const std::string& challenge,
                                 const std::string& result) { passwordDerived(challenge, result); }),
      context_{base, engine, resources, config, passwords_},
      schedule_(config),
      maintenanceTimer_(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* self) {
            static_cast<ConnectionPool*>(self)->maintainWarmConnections();
          },
          this)),
      retryTimer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<ConnectionPool*>(self)->dialForWaiting(); },
          this)) {
  startTimer(maintenanceTimer_.get(), kMaintenanceInterval);
}

void ConnectionPool::update(EndpointId id, const Address& address, bool ready, Time warmAt) {
  Endpoint& endpoint = endpoints_[id];
  // The data server has restarted. If the machine of the previous process vanished, connections to
  // that process may still be open here and get no answers.
  const bool restarted = warmAt > endpoint.warmAt;
  endpoint.warmAt = warmAt;
  const bool moved = !address.none() && address != endpoint.address;
  if (moved) {
    endpoint.nextDial = engine_.now() + schedule_.delay(id);
    endpoint.address = address;
  }
  endpoint.ready = ready;
  if (moved || restarted || !ready) dropIdle(endpoint);
  if (moved) redialMoved(id, endpoint);
  maintainWarmConnections();
}

// Dials in progress use the old address, so they are replaced.
void ConnectionPool::redialMoved(EndpointId id, Endpoint& endpoint) {
  for (Connection* const connection : connectionsTo(id))
    if (connection->dialing()) drop(*connection);
  dialAllNeeded(id, endpoint);
}

void ConnectionPool::remove(EndpointId id) {
  for (Connection* const connection : connectionsTo(id)) drop(*connection);
  endpoints_.erase(id);
}

std::vector<Connection*> ConnectionPool::connectionsTo(EndpointId id) const {
  std::vector<Connection*> found;
  for (const auto& [connection, owned] : connections_)
    if (connection->endpoint() == id) found.push_back(connection);
  return found;
}

Connection* ConnectionPool::takeIdle(EndpointId id) {
  Endpoint& endpoint = endpoints_[id];
  while (!endpoint.idle.empty()) {
    Connection& connection = *endpoint.idle.back();
    endpoint.idle.pop_back();
    if (connection.hasNoPendingInput()) return &connection;
    drop(connection);
  }
  return nullptr;
}

bool ConnectionPool::ensureRoom() {
  return resources_.hasRoom(DescriptorHolder::Servers) || evictIdleConnection();
}

bool ConnectionPool::evictIdleConnection() {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.idle.empty()) continue;
    drop(*endpoint.idle.front());
    return true;
  }
  return false;
}

void ConnectionPool::enqueue(Operation& operation) {
  Endpoint& endpoint = endpoints_[operation.endpoint];
  endpoint.waiting.push_back(&operation);
  if (endpoint.needsDial()) dial(operation.endpoint, endpoint);
}

void ConnectionPool::requeue(Operation& operation) {
  endpoints_[operation.endpoint].waiting.push_back(&operation);
}

void ConnectionPool::dequeue(Operation& operation) {
  auto& waiting = endpoints_[operation.endpoint].waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), &operation), waiting.end());
}

Operation* ConnectionPool::takeWaiting(Connection& connection) {
  Endpoint& endpoint = endpoints_[connection.endpoint()];
  if (connection.dialing()) endpoint.dialing -= 1;
  connection.dialCompleted();
  endpoint.localShortage = false;
  if (endpoint.waiting.empty() || connection.address() != endpoint.address) return nullptr;
  Operation* const next = endpoint.waiting.front();
  endpoint.waiting.pop_front();
  return next;
}

Operation* ConnectionPool::dialFailed(EndpointId id, AttemptResult result) {
  Endpoint& endpoint = endpoints_[id];
  endpoint.localShortage = false;
  endpoint.nextDial = engine_.now() + kRedialDelay;
  if (tracing())
    logEvent(LogLevel::Trace, "connect_failed",
             {{"to", endpoint.address.text()},
              {"how", static_cast<int>(result)},
              {"waiting", endpoint.waiting.size()}});
  return endpoint.needsDial() ? endpoint.waiting.front() : nullptr;
}

bool ConnectionPool::park(Connection& connection) {
  Endpoint& endpoint = endpoints_[connection.endpoint()];
  if (!endpoint.ready || connection.address() != endpoint.address) {
    drop(connection);
    return false;
  }
  endpoint.idle.push_back(&connection);
  const double limit = static_cast<double>(config_.idleClose.count());
  connection.startIdleTimer(Time(static_cast<std::int64_t>(limit * kIdleTimeoutShare)));
  return true;
}

void ConnectionPool::drop(Connection& connection) {
  Endpoint& endpoint = endpoints_[connection.endpoint()];
  if (connection.dialing()) endpoint.dialing -= 1;
  auto& idle = endpoint.idle;
  idle.erase(std::remove(idle.begin(), idle.end(), &connection), idle.end());
  connections_.erase(&connection);
}

void ConnectionPool::dropIdle(EndpointId id) { dropIdle(endpoints_[id]); }

void ConnectionPool::dropIdle(Endpoint& endpoint) {
  const std::vector<Connection*> idle = endpoint.idle;
  for (Connection* const connection : idle) drop(*connection);
}

void ConnectionPool::delayDials(EndpointId id) { endpoints_[id].nextDial = engine_.now() + kRedialDelay; }

void ConnectionPool::dialOldestVersion(Connection& connection) {
  const EndpointId id = connection.endpoint();
  Endpoint& endpoint = endpoints_[id];
  endpoint.minorVersion = 0;
  drop(connection);
  dial(id, endpoint);
}

void ConnectionPool::maintainWarmConnections() {
  const Time now = engine_.now();
  for (auto& [id, endpoint] : endpoints_) {
    if (!endpoint.ready || now < endpoint.nextDial) continue;
    const std::size_t target = schedule_.warmConnections(now, endpoint.warmAt);
    while (endpoint.idle.size() + static_cast<std::size_t>(endpoint.dialing) <
               target + endpoint.waiting.size() &&
           hasRoomAheadOfNeed()) {
      if (dial(id, endpoint)) continue;
      if (processShortage_) return;
      endpoint.nextDial = now + kRedialDelay;
      break;
    }
  }
}

bool ConnectionPool::hasRoomAheadOfNeed() const {
  const ResourceBudget::DescriptorShare& share = resources_.share(DescriptorHolder::Servers);
  return share.held < share.limit / kAheadOfNeedDivisor;
}

bool ConnectionPool::dial(EndpointId id, Endpoint& endpoint) {
  const StartedConnect started = startConnect(endpoint.address);
  if (started.fault != SocketFault::None && started.fault != SocketFault::Peer) {
    handleShortage(endpoint, started.error);
    return false;
  }
  if (processShortage_) logEvent(LogLevel::Info, "connect_recovered");
  processShortage_ = false;
  auto connection =
      std::make_unique<Connection>(context_, listener_, id, endpoint.address,
                                   std::min(endpoint.minorVersion, config_.serverMinor), started.fd);
  ++endpoint.dialing;
  if (tracing())
    logEvent(LogLevel::Trace, "connect_started",
             {{"to", endpoint.address.text()}, {"waiting", endpoint.waiting.size()}});
  Connection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
  return true;
}

void ConnectionPool::dialAllNeeded(EndpointId id, Endpoint& endpoint) {
  while (endpoint.needsDial())
    if (!dial(id, endpoint)) return;
}

void ConnectionPool::dialForWaiting() {
  for (auto& [id, endpoint] : endpoints_) {
    dialAllNeeded(id, endpoint);
    if (endpoint.needsDial() && processShortage_) return;
  }
}

void ConnectionPool::handleShortage(Endpoint& endpoint, int error) {
  const ResourceExhaustion exhausted = resourceExhaustionOf(error);
  resources_.recordExhaustion(exhausted);
  if (!processShortage_ && !endpoint.localShortage)
    logEvent(LogLevel::Warning, "connect_failed",
             {{"why", std::strerror(error)}, {"of", resourceExhaustionName(exhausted)}});
  endpoint.localShortage = true;
  // A shortage of ports or routes affects only one destination.
  processShortage_ = exhausted == ResourceExhaustion::Descriptors || exhausted == ResourceExhaustion::Memory;
  if (exhausted == ResourceExhaustion::Descriptors) freeDescriptor();
  if (!event_pending(retryTimer_.get(), EV_TIMEOUT, nullptr))
    startTimer(retryTimer_.get(), kShortageRetryDelay);
}

// Closes an idle connection of the endpoint that has the most. If there is none, asks other
// descriptor holders to release one.
void ConnectionPool::freeDescriptor() {
  const auto mostIdle = std::max_element(
      endpoints_.begin(), endpoints_.end(),
      [](const auto& a, const auto& b) { return a.second.idle.size() < b.second.idle.size(); });
  if (mostIdle != endpoints_.end() && !mostIdle->second.idle.empty())
    drop(*mostIdle->second.idle.front());
  else if (onShortage_)
    onShortage_();
}

void ConnectionPool::passwordDerived(const std::string& challenge, const std::string& result) {
  for (const auto& [connection, owned] : connections_) connection->passwordDerived(challenge, result);
}

}  // namespace sablespur
