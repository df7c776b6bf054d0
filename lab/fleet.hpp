// Stand-in data servers, all in this process. They speak PostgreSQL v3 on loopback addresses and form
// groups of one primary and its replicas.
//
// Each server listens at one address per proxy (127.0.PROXY.SERVER) and at one for direct clients, so
// that the address shows who sent a request. model.hpp models the capacity of a server and its
// replication position.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/audit.hpp"
#include "lab/context.hpp"
#include "lab/generation.hpp"

namespace sablespur::lab {

struct ClassModel {
  std::string name;
  double share = 1;
  Time workLeast{}, workMost{};
  bool write = false;
  Time bound{};       // reads: the greatest staleness that is allowed; 0: any
  Time droppedFor{};  // keyed writes: the deduplication window
  Time aim{}, giveUp{};
  double worth = 1, lateWorth = 0;
  std::string settings;  // lines of the class section in the proxy's settings file
};

struct FleetSettings {
  int groups = 2, members = 7, proxies = 5, basePort = 0;  // 0: derived from the process id
  MachineSettings machine;
  double speedLeast = 0.85, speedMost = 1.1;
  Time shipLeast = std::chrono::milliseconds(3), shipMost = std::chrono::milliseconds(12);
  Time applyWork = std::chrono::milliseconds(10);
  Time probeWork = Time(300);
  Time detectLeast = Time(1100000), detectMost = Time(2400000), takeoverLeast = Time(1700000),
       takeoverMost = Time(3500000);
  std::vector<std::string> zones{"ruwi", "seeb"};
  std::size_t valueBytes = 0;  // minimum length of a value; 0: as long as the request's id
  // Assigned to the servers round-robin. Empty: all servers are plain and answer one text column.
  std::vector<ServerGeneration> generations;
};

class Fleet;

class DataServer {
 public:
  DataServer(Context&, Fleet&, Audit&, int number, int group, const std::string& zone, double speed);
  ~DataServer();

  const std::string& name() const { return name_; }
  int number() const { return number_; }
  int group() const { return group_; }
  const std::string& zone() const { return zone_; }
  bool runs() const { return runs_; }
  // Whether the server runs and no scripted fault keeps it from answering.
  bool isHealthy() const { return runs_ && !vanished_ && !hangs_ && errors_ <= 0 && resets_ <= 0; }
  bool hasBeenPrimary() const { return hasBeenPrimary_; }
  const ServerGeneration* generation() const { return generation_ ? &*generation_ : nullptr; }
  double speed() const { return speed_; }
  Time startedAt() const { return startedAt_; }  // 0: before the run
  sockaddr_in address(int proxy) const;          // proxy 0: for direct clients

  // Faults that the script injects.
  void kill();        // as if the process died: connections are reset and new ones refused
  void start();       // starts the server again, cold
  void vanish(bool);  // neither reads nor answers nor accepts; its connections stay open
  void hang(bool);    // reads requests but answers none
  void slow(double f) { machine_->slow(f); }
  void errors(double share) { errors_ = share; }
  void resets(double share) { resets_ = share; }
  void lag(double f) { log_->slow(f); }
  void rename(const std::string& n) { name_ = n; }

  // Up to when the server has all commits; a primary stands at the present.
  Time position(Time now);
  // The position that it tells: that of a primary may be behind what it has (Fleet::delay).
  Time reportedPosition(Time now);
  LogApply& log() { return *log_; }
  double coldMultiple() const { return machine_->worst(); }
  // Greatest number of connections accepted within one second while the server was cold.
  std::size_t peakColdConnections() const { return peakAccepts_; }

 private:
  friend class Fleet;
  class Connection;
  void listen();
  void onAccepted();
  void closeAll(bool reset);
  void stop();  // like kill(), but no other server takes over

  Context& c_;
  Fleet& fleet_;
  Audit& audit_;
  const int number_, group_;
  std::string name_;
  const std::string zone_;
  const double speed_;
  std::optional<ServerGeneration> generation_;
  Time startedAt_{};
  Timer killTimer_;
  std::unique_ptr<Machine> machine_;
  std::unique_ptr<LogApply> log_;
  DelayedPosition delayedPosition_;
  struct ListenerContext {  // the server and the proxy that a listener serves
    DataServer* server;
    int proxy;
  };
  std::vector<std::unique_ptr<ListenerContext>> listenerContexts_;
  std::vector<ListenerPtr> listeners_;
  std::set<Connection*> connections_;
  std::uint32_t lastConnectionNumber_ = 0;  // part of the connections' cancel keys
  std::deque<Time> recentAccepts_;
  std::size_t peakAccepts_ = 0;
  bool runs_ = false, vanished_ = false, hangs_ = false, fellOver_ = false;
  bool hasBeenPrimary_ = false;
  double errors_ = 0, resets_ = 0;
};

class Fleet {
 public:
  Fleet(Context&, Audit&, const FleetSettings&, std::vector<ClassModel>);
  ~Fleet();

  const FleetSettings& settings() const { return s_; }
  const std::vector<ClassModel>& classes() const { return classes_; }
  const ClassModel* find(const std::string& name) const;
  std::vector<std::unique_ptr<DataServer>>& servers() { return servers_; }
  const std::vector<std::unique_ptr<DataServer>>& servers() const { return servers_; }
  DataServer* byName(const std::string&);
  DataServer* primary(int group);
  // Script action: the primary becomes a replica, and after a failover delay a server takes over.
  void stepDown(int group);
  // Script action: all positions that the group tells are `behind` the present, and keep step with
  // time, like a group that continues from where it stood. The data of its replicas are as old; the
  // primary has all its commits.
  void delay(int group, Time behind);
  // Script actions: all servers of the group end, and start again. The group keeps its primary and
  // is behind by the time that it was down, until the next delay().
  void stopGroup(int group);
  void startGroup(int group);
  // Script action: servers of the group that hang or have vanished answer again.
  void revive(int group);
  // Whether a healthy server of the group has data that is at most `maxAge` old.
  bool isAvailable(int group, Time maxAge);
  bool hasHealthyPrimary(int group) { return primary(group) && primary(group)->isHealthy(); }
  void finish(Time now);

 private:
  friend class DataServer;
  struct Group {
    DataServer* primary = nullptr;
    std::unique_ptr<Timer> failover;
    Time stoppedAt{};
    struct AppliedWrite {
      Time at;
      std::string value;
    };
    std::map<std::string, AppliedWrite> appliedWrites;  // by idempotency key
  };
  void onPrimaryLost(int group);
  void takeOver(int group);
  // Applies a write and returns its answer. A write whose idempotency key was seen within the
  // deduplication window of its class has no effect.
  std::string write(int group, const ClassModel&, const std::string& key, const std::string& value,
                    Time arrived, Time now);

  Context& c_;
  Audit& audit_;
  const FleetSettings s_;
  const std::vector<ClassModel> classes_;
  std::vector<Group> groups_;
  std::vector<std::unique_ptr<DataServer>> servers_;
};

}  // namespace sablespur::lab
