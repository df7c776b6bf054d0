// Stand-in data servers, many in one process: PostgreSQL v3 on loopback, in groups of a primary and its
// replicas.
//
// Each server listens at one address for each proxy (127.0.PROXY.SERVER) and one for clients that go to it
// directly, so that every send tells who made it. What a server can do and how far it has the log: model.hpp.
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
  Time bound{};       // reads: the age that is allowed; 0: any
  Time droppedFor{};  // writes with a key: repeats
  Time aim{}, giveUp{};
  double worth = 1, lateWorth = 0;
  std::string settings;  // the lines of its section for the proxy
};

struct FleetSettings {
  int groups = 2, members = 7, proxies = 5, basePort = 0;  // 0: chosen by the process's number
  MachineSettings machine;
  double speedLeast = 0.85, speedMost = 1.1;
  Time shipLeast = std::chrono::milliseconds(3), shipMost = std::chrono::milliseconds(12);
  Time applyWork = std::chrono::milliseconds(10);
  Time probeWork = Time(300);
  Time detectLeast = Time(1100000), detectMost = Time(2400000), takeoverLeast = Time(1700000),
       takeoverMost = Time(3500000);
  std::vector<std::string> zones{"ruwi", "seeb"};
  std::size_t valueBytes = 0;  // 0: as long as the id
  // Servers take them in turn. None: all are plain, and answer one column of text.
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
  // Takes requests and answers them without a scripted fault.
  bool isHealthy() const { return runs_ && !vanished_ && !hangs_ && errors_ <= 0 && resets_ <= 0; }
  bool hasBeenPrimary() const { return hasBeenPrimary_; }
  const ServerGeneration* generation() const { return generation_ ? &*generation_ : nullptr; }
  double speed() const { return speed_; }
  Time startedAt() const { return startedAt_; }  // 0: before the run
  sockaddr_in address(int proxy) const;          // proxy 0: for those that come directly

  // The script's.
  void kill();        // its process dies: connections are reset, new ones refused
  void start();       // and starts anew, cold
  void vanish(bool);  // says nothing more, takes nothing; its connections stay open
  void hang(bool);    // takes requests and answers none of them
  void slow(double f) { machine_->slow(f); }
  void errors(double share) { errors_ = share; }
  void resets(double share) { resets_ = share; }
  void lag(double f) { log_->slow(f); }
  void rename(const std::string& n) { name_ = n; }

  Time position(Time now);
  LogApply& log() { return *log_; }
  double coldMultiple() const { return machine_->worst(); }
  std::size_t coldDials() const { return mostDials_; }  // in a second, the most while it was cold

 private:
  friend class Fleet;
  class Connection;
  void listen();
  void dialed();
  void dropAll(bool reset);

  Context& c_;
  Fleet& fleet_;
  Audit& audit_;
  const int number_, group_;
  std::string name_;
  const std::string zone_;
  const double speed_;
  std::optional<ServerGeneration> generation_;
  Time startedAt_{};
  Timer dying_;
  std::unique_ptr<Machine> machine_;
  std::unique_ptr<LogApply> log_;
  struct Way {  // who comes through a listener
    DataServer* server;
    int proxy;
  };
  std::vector<std::unique_ptr<Way>> ways_;
  std::vector<ListenerPtr> listeners_;
  std::set<Connection*> connections_;
  std::uint32_t numbers_ = 0;  // of connections, for their keys
  std::deque<Time> dials_;
  std::size_t mostDials_ = 0;
  bool runs_ = false, vanished_ = false, hangs_ = false, fallen_ = false;
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
  // The script's: the primary goes on as a replica, and another one takes over after a while.
  void stepDown(int group);
  // The script's: servers of the group that hang or have vanished answer again.
  void revive(int group);
  // Whether a healthy server of the group has data of at most that age.
  bool isAvailable(int group, Time maxAge);
  bool hasHealthyPrimary(int group) { return primary(group) && primary(group)->isHealthy(); }
  void finish(Time now);

 private:
  friend class DataServer;
  struct Group {
    DataServer* primary = nullptr;
    std::unique_ptr<Timer> failover;
    struct Kept {
      Time at;
      std::string value;
    };
    std::map<std::string, Kept> keys;
  };
  void lostPrimary(int group);
  void takeOver(int group);
  // What a write answers; it takes effect unless its key was seen within the class's time.
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
