// Runs a real sablespur process against clients, data servers, a discovery registry and a name
// server that the test plays on loopback, at ports assigned by the system. Scenario::run() executes
// a script, one step a line. An expect step waits for its event; the watchdog timeout only ends a
// test that has failed.
//
// clang-format off
// Clients (c1, c2 ...) speak protocol 3.0. Each connects and logs in before its first step that needs it:
//   c1 from 127.9.0.1      sets the source address; must be the client's first step
//   c1 send query TEXT     c1 send bytes HEX   (as the first step: in place of the startup message)
//   c1 send header TEXT    sends a PROXY protocol line before the startup message
//   c1 expect row TEXT     a one-column row, then ReadyForQuery; "big" means a value of 64 KiB
//   c1 expect empty        EmptyQueryResponse
//   c1 expect error CODE   c1 expect closed   c1 close
//   c1 expect in           the login has succeeded
//   c1 expect welcome      connects again until a login succeeds
//   c1 expect refused      error 53300 with a retry delay in its detail, then the end of the connection
//   c1 expect alert        the TLS alert handshake_failure
//
// Versioned clients (o1, o2 ...) speak any protocol version:
//   o1 from 127.9.0.1      sets the source address
//   o1 speaks 2.0|3.0|3.2 [user=NAME] [password=TEXT] [options=SETTING] [NAME=VALUE ...]
//                          connects and sends a startup message of this version with these settings
//   o1 asks TEXT           a simple query
//   o1 runs TEXT | VALUE | TYPE:HEX | NULL ...
//                          an extended query with text, binary and NULL parameters
//   o1 binary TEXT | ...   the same with results in binary format
//   o1 sends HEX           o1 cancels [wrong|long|short]: a CancelRequest, with that fault in its key
//   o1 gets in             the login has succeeded
//   o1 gets row A | B      o1 gets tag TEXT   o1 gets error TEXT   o1 gets closed
//   o1 gets seen TYPES     the types of the reply's messages, in order
//
// Data servers (s1, s2 ...; s1 is the primary at first) handle logins and health checks by themselves:
//   s2 expect query TEXT   a query that contains TEXT; its connection becomes the current one
//   s2 expect another TEXT the same, but on another connection than the current one
//   s2 expect kept TEXT    the same, and no connection has ended after it carried a query
//   s2 expect cancel       a CancelRequest for the query of the current connection
//   s2 expect closed       the end of the current connection
//   s2 expect drained      the end of all connections
//   s2 expect served N     the number of queries answered by "s2 serves" since the last such step
//   s2 expect minor N      the minor protocol version that was last requested
//   s2 send row TEXT       s2 send error CODE
//   s2 send problem CODE TEXT   an error with a hint and a table name, as newer servers send it
//   s2 send cells TYPE=VALUE ...   a row, with the OIDs of its columns' types
//   s2 send done TAG       CommandComplete without rows
//   s2 send part TEXT      a row cut off before its last two bytes
//   s2 send spoilt KIND    a malformed answer (see Scenario::server)
//   s2 serves TEXT         answers each query with the row TEXT; INSERT on a replica gets error 25006,
//                          a statement with "fail" gets error 42703, one with "hang" gets no answer
//   s2 becomes primary     all others become replicas; s2 becomes replica
//   s2 stands MS           keeps its data as of MS ago, so they become stale; s2 stands up: makes
//                          them current again
//   s2 lags MS             tells positions that are MS old and keep step with time, as does its data if it is
//                          a replica; the commit of a write is the present. 0: no longer
//   s2 tells all|role|nothing   whether its answers report its role and replication position
//   s2 report TEXT         answers health checks with TEXT
//   s2 drop probes N       closes the connection in place of an answer to the next N health checks
//   s2 says NAME=VALUE     sends this ParameterStatus on new connections
//   s2 speaks 3.2|old|fatal   accepts a request for a minor version above 0, negotiates down to 3.0, or
//                          rejects it with error 0A000
//   s2 asks trust|cleartext|md5|scram|kerberos   its authentication method; the password is "inner"
//   s2 asks signature|nonce|iterations|skip   SCRAM with that fault
//   s2 holds cancels       leaves CancelRequest connections open; s2 frees cancels: closes them
//   s2 wait idle N         waits for N connections without a query in progress
//   s2 wait queries N      waits for N connections with a query that no step has taken
//   s2 wait silent         stops responding but keeps connections open; s2 wait speak: responds again
//   s2 close               closes the current connection
//   s2 close idle          closes the connections without a query in progress
//   s2 close all           the process ends: resets all connections and stops listening
//
// The discovery registry (list). Steps apply to the latest call unless another one is chosen:
//   list expect watch TEXT a call with TEXT in its request; its response is begun
//   list expect call TEXT  the same, without a response; list answers: begins the response
//   list expect calls N    at least N calls since the start
//   list choose N          later steps apply to the N-th call
//   list expect kept       the proxy has not closed the call
//   list send line JSON    a line in one chunk; list send bits JSON: in chunks of one byte
//   list send indented JSON   over many lines; list send raw TEXT: without a line end
//   list send status TEXT  an HTTP status and no body
//   list drips JSON        a line in chunks of one byte every 25 ms
//   list trickles          a chunk with a space at a time, without end
//   list close
//
// DNS and the proxy:
//   dns publish s2 [KEY=VALUE ...]   dns withdraw s2   dns move DOMAIN
//   dns mood NAME          a fault of lab::NameServer, or "good"
//   proxy expect log TEXT  proxy expect exit N
//   proxy expect quiet     uses less than 200 ms of CPU time in 400 ms
//   proxy send TERM        SIGTERM; proxy crash: SIGKILL, then a restart with the same settings
//   proxy steps clock MS   its wall clock is MS ahead of the true time from now on (Setting::ownWallClock)
//   proxy reload more|moved|broken|same
//                          rewrites the settings file with changed sections (see Scenario::reload), with
//                          another registry port, truncated or not at all, then sends SIGHUP
// clang-format on
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
class SteppableWallClock;
}  // namespace sablespur::lab
namespace sablespur::test {

// Settings of the proxy and of the simulated data servers.
struct Setting {
  int servers = 2;
  int balancers = 3;  // proxies of the deployment
  int peers = 0;      // peers that may receive datagrams; 0: no gossip
  std::string idleCloseUs = "15000000";
  int controlPort = 0;  // port of the operators' listener; 0: none
  int sockets = 1024, memoryMb = 192;
  bool dnssd = false;                   // discovery by DNS-SD; implies an INI file
  bool ini = false;                     // an INI file, given by `serve --config`; else JSON, by NODE_CONFIG
  std::string dataServers, clients;     // extra lines of these sections of the INI file
  std::string serverProtocol;           // initial value for each data server of "s2 speaks"
  int descriptors = 0;                  // RLIMIT_NOFILE of the process; 0: unchanged
  int inherited = 0;                    // extra descriptors open in the process from the start
  std::string extraSections;            // extra sections of the INI file
  std::string discovery = "subscribe";  // or "automatic": an agent on this machine has the list pushed to it
  bool firstList = true;                // answer the first discovery call before the script begins
  bool justStarted = false;             // startedAtMs of the configured data servers: now instead of 0
  std::string reports = "pull";         // how load reports are sent: pull, piggyback or silent
  bool probing = true;                  // health checks of data servers are allowed
  int boundMs = 5000;                   // staleness bound of reads
  bool ownWallClock = false;            // the proxy's wall clock can be stepped
};

// Returns the JSON configuration.
std::string configuration(const Setting&, int discoveryPort, const std::vector<int>& serverPorts);
// Returns the same configuration as INI; `domain` is used for DNS-SD.
std::string settingsFile(const Setting&, int discoveryPort, const std::vector<int>& serverPorts,
                         const std::string& domain = "ruwi.example.org");
// Starts the program with these arguments and `configPath` as NODE_CONFIG, and returns its process
// ID. `err` receives a descriptor that reads its standard output and standard error.
// `wallClock`: the process reads this wall clock; null: the system's.
int spawn(const std::string& configPath, int descriptors, int& err,
          const std::vector<std::string>& arguments = {}, int inherited = 0,
          const lab::SteppableWallClock* wallClock = nullptr);

class Scenario {
 public:
  explicit Scenario(const Setting& = {});
  ~Scenario();
  std::size_t connectionsOf(int server) const {
    return servers_[static_cast<std::size_t>(server - 1)].connections.size();
  }
  Scenario(const Scenario&) = delete;
  void run(const std::string& text);
  // Processes events until `done`, for clients that run as threads or processes of their own. Data
  // servers answer their queries if "s2 serves TEXT" was set.
  void serveUntil(const std::function<bool()>& done);
  // Processes events for this time, as the proxy abandons connections that get no response.
  void serveFor(std::chrono::milliseconds t) {
    const auto end = std::chrono::steady_clock::now() + t;
    serveUntil([end] { return std::chrono::steady_clock::now() >= end; });
  }
  int port() const { return port_; }
  int pid() const { return pid_; }
  // Replaces the sections of Setting::more and sends SIGHUP.
  void reload(const std::string& extraSections);
  std::string status(bool json = false);              // standard output and error of `sablespur status`
  std::size_t logged(const std::string& text) const;  // the number of occurrences in the proxy's log
  // These return an endpoint list in one line: a delta with one server, or a full list of active
  // servers.
  std::string list(int server, const std::string& lifecycle, int generation) const;
  std::string wholeList(int generation) const;

 private:
  struct Connection {
    int fd = -1;
    std::string sourceAddress;  // empty: chosen by the system
    bool startupSent = true;
    std::string received;
    bool holdsCancel = false;  // a CancelRequest arrived on it, and it stays open
    bool hadQuery = false;
    bool ended = false, loggedIn = false;
    bool busy = false;            // a step has taken a query that is not answered yet
    bool requestUnread = true;    // no step has taken this discovery call's request
    std::uint32_t processId = 0;  // in BackendKeyData
    std::string authMethod;       // of a login in progress
    std::unique_ptr<auth::ScramServer> scram;
  };
  struct Server {
    int listener = -1, port = 0;
    bool primary = false, silent = false;
    std::string loadReport;       // the answer to health checks; empty: generated
    int healthChecksToDrop = 0;   // health checks that get the end of their connection
    std::string parameters;       // ParameterStatus of a login, a NAME=VALUE a line
    std::string protocolVersion;  // its reply to requests above 3.0: "3.2", "old" or "fatal"
    bool holdsCancels = false;
    int lostConnections = 0;  // ended after they carried a query
    int requestedMinor = -1;  // of the last startup message
    std::string authMethod;
    std::string fixedAnswer;                  // the row that answers every query; empty: by script
    std::string reportedState = "all";        // in answers: "all", "role" or "nothing"
    long long dataTimeMs = 0;                 // Unix time of its data; 0: the present
    long long lagMs = 0;                      // by which its positions are behind the present
    std::size_t queriesServed = 0;            // with fixedAnswer
    std::vector<std::uint32_t> cancelledIds;  // process IDs in CancelRequests
    std::list<Connection> connections;
    Connection* current = nullptr;  // that a step has last taken a query from
  };
  void configure(int listPort) const;
  void launch();
  void step(const std::string& line);
  void client(Connection&, const std::string& verb, const std::string& what, const std::string& rest);
  // A client of any protocol version (o1, o2 ...).
  struct VersionedClient {
    Connection c;
    std::unique_ptr<lab::ClientProtocol> speaker;
  };
  void versionedClient(const std::string& name, const std::string& verb, const std::string& rest);
  lab::Reply reply(VersionedClient&);
  void server(Server&, const std::string& verb, const std::string& what, const std::string& rest);
  void discovery(const std::string& verb, const std::string& what, const std::string& rest);
  void expectCalls(std::size_t count);
  Connection& chosenCall() { return chosenCall_ ? *chosenCall_ : discoveryCalls_.back(); }
  void sendNextSlowByte();
  std::string instance(int server, const std::string& lifecycle) const;  // an entry of an endpoint list
  void dns(const std::string& verb, const std::string& what, const std::string& rest);
  void proxy(const std::string& verb, const std::string& rest);
  void processEvents();
  void read(Connection&);
  // Handles CancelRequests, startup messages, logins and health checks.
  void handleStartupOrHealthCheck(Server&, Connection&);
  bool continueLogin(Server&, Connection&);
  void answerQueries(Server&, Connection&);
  static long long positionMs(const Server&);  // as it tells it, Unix time
  // ParameterStatus with role and position; after a write the position is its commit.
  static std::string stateParameters(const Server&, bool wrote);
  void completeLogin(Server&, Connection&, const std::string& parameters);
  void dial(Connection&);
  template <typename Done>
  void waitUntil(Done done, const std::string& what);
  // Removes the next complete message from the received bytes; false when there is none.
  bool takeMessage(Connection&, char& type, std::string& body);
  void expectMessage(Connection&, char type, const std::string& within);

  std::string currentStep_;
  Setting setting_;
  std::string configPath_, log_;
  std::string lastError_;  // body of the last ErrorResponse that a step expected
  int pid_ = -1, err_ = -1, port_ = 0, status_ = -1;
  bool exited_ = false;
  std::uint32_t lastProcessId_ = 0;
  std::map<std::string, Connection> clients_;
  std::map<std::string, VersionedClient> versionedClients_;
  std::vector<Server> servers_;
  int listListener_ = -1;
  Connection* tricklingCall_ = nullptr;  // gets a chunk with a space in each pass
  std::list<Connection> discoveryCalls_;
  Connection* chosenCall_ = nullptr;  // the call that steps apply to; null: the latest
  struct SlowList {
    Connection* call = nullptr;
    std::string remaining;
    std::chrono::steady_clock::time_point nextByteAt;
  } slowList_;
  struct FreeBase {
    void operator()(event_base* b) const { event_base_free(b); }
  };
  std::unique_ptr<event_base, FreeBase> base_;
  std::unique_ptr<lab::NameServer> nameServer_;
  std::unique_ptr<lab::SteppableWallClock> wallClock_;  // null: the system's
  std::string domain_ = "ruwi.example.org";
};

}  // namespace sablespur::test
