// A small language for what clients, data servers and discovery do to a real sablespur process. A step a
// line:
//
// clang-format off
//   c1 send query TEXT   c1 expect row TEXT   c1 expect error CODE   c1 expect closed   c1 close
//   s2 expect query TEXT   s2 send row TEXT   s2 send error CODE   s2 close   s2 wait idle 2
//   s2 expect another TEXT   a query, on another connection than the last one; s2 expect kept TEXT: and none that was used has ended
//   s2 wait queries N   s2 wait silent   s2 report TEXT   s2 drop probes N   s2 send spoilt KIND   s2 send done TAG
//   s2 send cells TYPE=VALUE ...   a row of columns by their types' ids
//   s2 serves TEXT   to every query, by itself; a write where it is no primary gets 25006
//   s2 becomes primary   and all others replicas; s2 becomes replica
//   s2 stands MS   its data stand still from now on, so old; s2 stands up: they follow the present, as at the start
//   s2 tells all|role|nothing   of its role and position, in its answers
//   s2 expect served N   so many queries by itself, since this was last asked
//   s2 says NAME=VALUE   on connections that it greets from then on
//   s2 speaks 3.2|old|fatal   to those that ask for 3.2; s2 expect minor N: what the last one asked for
//   s2 asks trust|cleartext|md5|scram|signature|nonce|iterations|skip|kerberos   of a login; the password is "inner"
//   s2 expect cancel   for the query that it holds
//   s2 holds cancels   keeps the connections open that bring them; s2 frees cancels
//   o1 speaks 2.0|3.0|3.2 [NAME=VALUE ...]   o1 asks TEXT   o1 runs TEXT | VALUE | TYPE:HEX ...   o1 sends HEX
//   o1 cancels [wrong|long|short]   o1 gets row A | B   o1 gets error WORD   o1 gets seen TYPES   o1 gets closed
//   c1 from 127.9.0.1   where it comes from; before anything else of it
//   c1 expect in   c1 expect welcome   which asks again until it is let in
//   c1 expect refused   with 53300, when to come back, and an end   c1 send header TEXT   before its startup
//   list expect watch TEXT   list send line JSON   list close
//   list send indented JSON   over many lines   list send raw TEXT   as it is   list trickles   a blank at a time, for ever
//   list expect calls N   so many in all; list choose N   what follows goes to the N-th; list answers   its head
//   list drips JSON   a line in chunks of a byte each 25 ms; list expect kept   the proxy has not ended the call
//   dns publish s2 [KEY=VALUE ...]   dns withdraw s2   dns mood NAME   dns move DOMAIN
//   proxy send TERM   proxy expect exit 0   proxy expect log TEXT   proxy expect quiet   proxy reload moved|broken|same
// clang-format on
//
// c1, c2 ... are clients of today; o1, o2 ... desks that speak any version; s1 (the primary), s2 ... data
// servers that greet and report by themselves. A reload replaces the file and sends SIGHUP: `moved` names
// another discovery, which `list` is from then on. All are played by the test on loopback, at ports of the
// system's choice. An expect waits for what must come; the watchdog only ends a test that has failed.
#pragma once

#include <event2/event.h>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "auth/scram.hpp"
#include "lab/speaker.hpp"

namespace sablespur::lab {
class NameServer;
}
namespace sablespur::test {

struct Setting {  // what a scenario's configuration may choose
  int servers = 2;
  int balancers = 3;  // proxies of the tier
  int peers = 0;      // so many others may be sent datagrams; 0: proxies do not talk
  std::string idleCloseUs = "15000000";
  int controlPort = 0;  // where staff call; 0: nowhere
  int sockets = 1024, memoryMb = 192;
  bool dnssd = false;                // found by service records; in our form
  bool ini = false;                  // settings in our form, by `serve --config`
  std::string dataServers, clients;  // more lines of these sections of our form
  std::string speaks;   // what data servers speak from the first connection on, as by "s2 speaks"
  int descriptors = 0;  // RLIMIT_NOFILE of the process; 0: as it is
  int inherited = 0;    // descriptors that are open in it from the start, beside its own
  std::string more;     // sections of our form, as they are
  std::string discovery = "subscribe";  // or automatic: an agent on this machine has the list pushed to it
  bool firstList = true;                // the first call is answered before the scenario begins
  bool justStarted = false;             // the data servers that are known at the start began at that moment
  std::string reports = "pull";         // how load reports travel: pull, piggyback or silent
  bool probing = true;                  // data servers may be probed
  int boundMs = 5000;                   // the age that the data of a read may have
};

std::string configuration(const Setting&, int discoveryPort, const std::vector<int>& serverPorts);
// The same as INI; a domain: found by service records there.
std::string settingsFile(const Setting&, int discoveryPort, const std::vector<int>& serverPorts,
                         const std::string& domain = "ruwi.example.org");
// Runs the program: with arguments, or with this file as NODE_CONFIG. What it writes to standard output and
// standard error comes from `err`.
int spawn(const std::string& configPath, int descriptors, int& err,
          const std::vector<std::string>& arguments = {}, int inherited = 0);

class Scenario {
 public:
  explicit Scenario(const Setting& = {});
  ~Scenario();
  std::size_t connectionsOf(int server) const {
    return servers_[static_cast<std::size_t>(server - 1)].all.size();
  }
  Scenario(const Scenario&) = delete;
  void run(const std::string& text);
  // Serves on until `done`: data servers told to by "s2 serves TEXT" answer each query with that text. For
  // clients that run beside, as threads or processes.
  void serveUntil(const std::function<bool()>& done);
  void serveFor(std::chrono::milliseconds t) {  // greets what comes: a dial that is not greeted is given up
    const auto end = std::chrono::steady_clock::now() + t;
    serveUntil([end] { return std::chrono::steady_clock::now() >= end; });
  }
  int port() const { return port_; }
  int pid() const { return pid_; }
  // Replaces the sections of Setting::more and sends SIGHUP.
  void reload(const std::string& more);
  std::string status(bool json = false);              // what `sablespur status` prints, both streams
  std::size_t logged(const std::string& text) const;  // how often
  std::string list(int server, const std::string& lifecycle, int generation) const;  // a change, in one line
  std::string wholeList(int generation) const;  // all servers, active, in one line

 private:
  struct Connection {
    int fd = -1;
    std::string from;     // where it comes from; empty: where the system says
    bool started = true;  // false: its startup is still to be sent
    std::string in;
    bool held = false;  // a CancelRequest came on it, and it stays open
    bool used = false;  // a query came on it
    bool ended = false, greeted = false, busy = false, fresh = true;
    std::uint32_t number = 0;  // as a server tells it in its key
    std::string method;        // of a login under way
    std::unique_ptr<auth::ScramServer> scram;
  };
  struct Server {
    int listener = -1, port = 0;
    bool primary = false, silent = false;
    std::string report;  // in place of its own
    int dropProbes = 0;  // so many are answered by the end of their connection
    std::string says;    // parameters of its greeting
    std::string speaks;  // to those that ask for more than 3.0
    bool holdsCancels = false;
    int lost = 0;                        // connections that ended after a query had come on them
    int minor = -1;                      // that was asked for last
    std::string asks;                    // of those that log in
    std::string serves;                  // to every query
    std::string tells = "all";           // of role and position, in its answers
    long long standsAt = 0;              // Unix time in ms of its data; 0: the present
    std::size_t queries = 0;             // that it has served by itself
    std::vector<std::uint32_t> cancels;  // numbers of the connections that were called off
    std::list<Connection> all;
    Connection* current = nullptr;
  };
  void configure(int listPort) const;
  void launch();
  void step(const std::string& line);
  void client(Connection&, const std::string& verb, const std::string& what, const std::string& rest);
  struct Desk {
    Connection c;
    std::unique_ptr<lab::ClientProtocol> speaker;
  };
  void desk(const std::string& name, const std::string& verb, const std::string& rest);
  lab::Reply reply(Desk&);
  void server(Server&, const std::string& verb, const std::string& what, const std::string& rest);
  void discovery(const std::string& verb, const std::string& what, const std::string& rest);
  void expectCalls(std::size_t count);
  Connection& chosenCall() { return chosen_ ? *chosen_ : watches_.back(); }
  void dripNext();
  std::string instance(int server, const std::string& lifecycle) const;  // an entry of a list
  void dns(const std::string& verb, const std::string& what, const std::string& rest);
  void proxy(const std::string& verb, const std::string& rest);
  void pump();
  void read(Connection&);
  void greet(Server&, Connection&);
  bool login(Server&, Connection&);
  void serve(Server&, Connection&);
  static std::string note(const Server&);  // its role and position, as its answers tell them
  void let(Server&, Connection&, const std::string& before);
  void dial(Connection&);
  template <typename Done>
  void until(Done done, const std::string& what);
  bool message(Connection&, char& type, std::string& body);
  void expectMessage(Connection&, char type, const std::string& within);

  std::string at_;  // the step under way
  Setting setting_;
  std::string configPath_, log_;
  std::string refusal_;  // the last ErrorResponse that was expected
  int pid_ = -1, err_ = -1, port_ = 0, status_ = -1;
  bool exited_ = false;
  std::uint32_t numbers_ = 0;
  std::map<std::string, Connection> clients_;
  std::map<std::string, Desk> desks_;
  std::vector<Server> servers_;
  int listListener_ = -1;
  Connection* trickling_ = nullptr;  // a watch that gets a blank in each pass
  std::list<Connection> watches_;
  Connection* chosen_ = nullptr;  // the call that gets what is sent; null: the latest
  struct Drip {
    Connection* to = nullptr;
    std::string left;
    std::chrono::steady_clock::time_point next;
  } drip_;
  struct FreeBase {
    void operator()(event_base* b) const { event_base_free(b); }
  };
  std::unique_ptr<event_base, FreeBase> base_;
  std::unique_ptr<lab::NameServer> names_;
  std::string domain_ = "ruwi.example.org";
};

}  // namespace sablespur::test
