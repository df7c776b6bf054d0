// Connections to data servers: the pool of each, attempts and probes on them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "engine/workers.hpp"
#include "protocol/postgres/pg.hpp"

namespace sablespur {

class BackendPool final : public Backend {
 public:
  BackendPool(event_base*, Engine&, WorkerPool&, ResourceBudget&, const Config&);
  ~BackendPool() override;

  void endpointListed(EndpointId, const Address&, bool ready, Time warmAt) override;
  void send(RequestId, int attempt, EndpointId, Time until, std::shared_ptr<const RequestMessage>) override;
  void continueAttempt(RequestId, int attempt, bool fit) override;
  void cancel(RequestId, int attempt) override;
  void startHealthCheck(EndpointId) override;
  void removeEndpoint(EndpointId) override;
  // In place of its own: how long after a member has come connections are opened to it ahead of need.
  void dialTurns(std::function<Time(EndpointId)> t) { dialTurn_ = std::move(t); }
  // What is called when there is no descriptor for a connection that is needed: others are to make room.
  void onShortage(std::function<void()> call) { shortage_ = std::move(call); }

 private:
  struct Job;
  class Connection;
  struct Endpoint {
    Address address;
    bool ready = false;
    std::vector<Connection*> idle;  // the last one used comes last
    std::deque<Job*> waiting;       // for a connection
    int dialing = 0;
    int minor = 2;         // of version 3, the newest that it is known to speak
    bool starved = false;  // the last connection to it failed for want of something here
    Time dialAgain{};      // no connection is opened in advance before then
    Time warmAt{};  // nor, by a large fleet, before then: each proxy's dial is work for one just started
    std::unique_ptr<Job> probe;
  };
  using AttemptKey = std::pair<RequestId, int>;

  void run(Job&);                    // on an idle connection, or once a new one stands
  bool dial(EndpointId, Endpoint&);  // false: the machine has no way to it now; who waits goes on waiting
  void shortOf(Endpoint&, int error);
  void dialWaiting();
  bool stands(Connection&);  // dialed or released: takes the next job or idles; false: it was dropped
  void write(Job&);
  void rewrite(Job&);
  static std::int64_t wholeMillisecondsLeft(const Job&, Time now);
  void withdraw(Job&);                         // has a connection, and did not go out on it
  void tooLong(Connection&);                   // ends its job
  void lost(Connection&, AttemptResult);       // its end; tells that of its job
  void ranOut(Connection&, int error);         // the same, for a fault of this machine
  void spoilt(Connection&, const char* what);  // the same, by what it sent
  void dialOlder(Connection&);                 // in place of one that was turned down for its version
  void dialFailed(Endpoint&, AttemptResult);
  void timedOut(Job&);
  bool giveUp(Job&, AttemptResult how);  // by a CancelRequest; false: that is not how, or there is no way
  void giveUpEnded(Connection&, bool taken);
  void finish(Job&, AttemptEnd);  // the end of a job, told once
  void finishProbe(Job&, bool ok, std::string_view report = {});
  std::vector<double> believed(std::string_view report) const;
  void drop(Connection&);
  void dropIdle(Endpoint&);
  std::uint64_t pickAt(EndpointId) const;
  Time turnOf(EndpointId) const;
  void keepWarm();
  bool makeRoom();

  event_base* const base_;
  Engine& engine_;
  WorkerPool& workers_;
  const Config& config_;
  bool salt(const std::string& challenge, std::function<std::string()> work);
  std::map<std::string, std::string> salted_;  // by a server's challenge: the password, salted; bounded
  std::map<std::string, WorkerPool::Ticket> salting_;  // under way
  ResourceBudget& account_;
  std::function<Time(EndpointId)> dialTurn_;
  std::function<void()> shortage_;
  bool short_ = false;  // the last socket that was asked for was not to be had
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<AttemptKey, std::unique_ptr<Job>> attempts_;
  Event upkeep_, again_;
};

}  // namespace sablespur
