// Pool of the connections to all data servers, with the operations that wait for a connection.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "backend/postgres/connection.hpp"
#include "backend/postgres/dial_schedule.hpp"
#include "backend/postgres/operation.hpp"
#include "backend/postgres/password_cache.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "engine/system_calls.hpp"
#include "engine/workers.hpp"

namespace sablespur {

// Owns the connections, but not the waiting operations. A shortage of descriptors, memory, ports or
// routes on this machine does not count as a failure of a data server: operations keep waiting, and
// a descriptor is freed if descriptors are short.
class ConnectionPool {
 public:
  ConnectionPool(event_base*, const Engine&, WorkerPool&, ResourceBudget&, const Config&,
                 ConnectionListener&);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  void setDialDelay(std::function<Time(EndpointId)> delay) { schedule_.setDelay(std::move(delay)); }
  // Sets the callback for when no descriptor is available for a needed connection and there is no
  // idle connection to close.
  void onShortage(std::function<void()> call) { onShortage_ = std::move(call); }

  // Applies a data server's entry in the endpoint list. `warmAt`: end of its slow start.
  void update(EndpointId, const Address&, bool ready, Time warmAt);
  void remove(EndpointId);
  bool isReady(EndpointId id) { return endpoints_[id].ready; }
  // Whether the last dial failed for lack of a resource on this machine.
  bool hasLocalShortage(EndpointId id) { return processShortage_ || endpoints_[id].localShortage; }

  // Removes the most recently used idle connection from the idle list and returns it; null: there
  // is none.
  Connection* takeIdle(EndpointId);
  // Whether the limit allows one more connection; closes an idle one if necessary.
  bool ensureRoom();
  // Queues an operation for a connection, which is dialed unless enough dials are in progress.
  void enqueue(Operation&);
  // Queues an operation again after a local shortage; the retry timer dials for it.
  void requeue(Operation&);
  void dequeue(Operation&);
  // Marks the dial as completed and returns the next operation for the connection; null: there is
  // none.
  Operation* takeWaiting(Connection&);
  // Handles a failed dial and delays dials ahead of need. Returns an operation that is left without
  // a dial in progress; null: there is none.
  Operation* dialFailed(EndpointId, AttemptResult);

  // Adds a free connection to the idle list. Returns false if it was dropped instead, because its
  // endpoint is not ready or has moved.
  bool park(Connection&);
  void drop(Connection&);
  void dropIdle(EndpointId);
  // Suspends dials ahead of need for one second.
  void delayDials(EndpointId);
  // Uses protocol 3.0 with the data server from now on and replaces the connection.
  void dialOldestVersion(Connection&);
  void versionNegotiated(EndpointId id, int minorVersion) { endpoints_[id].minorVersion = minorVersion; }
  void handleShortage(EndpointId id, int error) { handleShortage(endpoints_[id], error); }

 private:
  struct Endpoint {
    Address address;
    bool ready = false;
    Time warmAt{};
    int minorVersion = postgres::kNewestMinor;  // of version 3, the newest known to be supported
    std::vector<Connection*> idle;              // the most recently used one is last
    std::deque<Operation*> waiting;
    int dialing = 0;
    Time nextDial{};             // earliest time for dials ahead of need
    bool localShortage = false;  // the last connection failed for lack of a local resource

    bool needsDial() const { return static_cast<std::size_t>(dialing) < waiting.size(); }
  };

  // Returns false on a local shortage; operations keep waiting.
  bool dial(EndpointId, Endpoint&);
  void dialAllNeeded(EndpointId, Endpoint&);
  void redialMoved(EndpointId, Endpoint&);
  void dialForWaiting();
  void maintainWarmConnections();
  bool hasRoomAheadOfNeed() const;
  bool evictIdleConnection();
  void freeDescriptor();
  void handleShortage(Endpoint&, int error);
  void dropIdle(Endpoint&);
  std::vector<Connection*> connectionsTo(EndpointId) const;
  void passwordDerived(const std::string& challenge, const std::string& result);

  const Engine& engine_;
  ResourceBudget& resources_;
  const Config& config_;
  ConnectionListener& listener_;
  SaltedPasswordCache passwords_;
  const ConnectionContext context_;
  DialSchedule schedule_;
  std::function<void()> onShortage_;
  // The last shortage was of descriptors or memory and no dial has obtained a socket since.
  bool processShortage_ = false;
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  Event maintenanceTimer_;
  Event retryTimer_;  // dials again after a local shortage
};

}  // namespace sablespur
