// The connections to all data servers: dialed, kept idle, and the operations that wait for one.
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

// Owns the connections; operations are pointed at while they wait. A lack of descriptors, memory, ports or
// routes on this machine is never held against a data server: what waits goes on waiting, and room is made.
class ConnectionPool {
 public:
  ConnectionPool(event_base*, const Engine&, WorkerPool&, ResourceBudget&, const Config&,
                 ConnectionListener&);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  void setDialDelay(std::function<Time(EndpointId)> delay) { schedule_.setDelay(std::move(delay)); }
  // Called when there is no descriptor for a connection that is needed, nor an idle connection to close.
  void onShortage(std::function<void()> call) { onShortage_ = std::move(call); }

  // What the list says of a data server; `warmAt`: until then it has just started.
  void update(EndpointId, const Address&, bool ready, Time warmAt);
  void remove(EndpointId);
  bool isReady(EndpointId id) { return endpoints_[id].ready; }
  // Whether the last dial failed for want of something on this machine.
  bool hasLocalShortage(EndpointId id) { return processShortage_ || endpoints_[id].localShortage; }

  // The idle connection that was used last; null: there is none.
  Connection* takeIdle(EndpointId);
  // Whether one more connection is within the bound, if need be after closing an idle one.
  bool ensureRoom();
  // Waits for a connection, which is dialed unless enough are under way.
  void enqueue(Operation&);
  // Waits again after a local shortage, whose retry dials.
  void requeue(Operation&);
  void dequeue(Operation&);
  // Notes that the dial is over; the operation that takes the connection next, or null.
  Operation* takeWaiting(Connection&);
  // The operation that a failed dial leaves without a connection under way; null: there is none. Later dials
  // ahead of need are put off.
  Operation* dialFailed(EndpointId, AttemptResult);

  // Keeps a free connection, or drops it where it is of no more use: false.
  bool park(Connection&);
  void drop(Connection&);
  void dropIdle(EndpointId);
  // Opens no connection ahead of need for a while.
  void delayDials(EndpointId);
  // Speaks 3.0 with the data server from now on; replaces the connection.
  void dialOldestVersion(Connection&);
  void versionNegotiated(EndpointId id, int minorVersion) { endpoints_[id].minorVersion = minorVersion; }
  void handleShortage(EndpointId id, int error) { handleShortage(endpoints_[id], error); }

 private:
  struct Endpoint {
    Address address;
    bool ready = false;
    Time warmAt{};
    int minorVersion = postgres::kNewestMinor;  // of version 3, the newest that it is known to speak
    std::vector<Connection*> idle;              // the one used last comes last
    std::deque<Operation*> waiting;
    int dialing = 0;
    Time nextDial{};             // no connection is opened ahead of need before then
    bool localShortage = false;  // the last connection to it failed for want of something here

    bool needsDial() const { return static_cast<std::size_t>(dialing) < waiting.size(); }
  };

  // False: this machine has no way to the endpoint now; what waits goes on waiting.
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
  bool processShortage_ = false;  // the last socket that was asked for was not to be had
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  Event maintenanceTimer_;
  Event retryTimer_;  // after a shortage
};

}  // namespace sablespur
