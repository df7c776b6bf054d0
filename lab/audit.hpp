// Checks a run against the proxy's rules, from what the stand-in servers saw on their sockets and
// from the answers that the clients received. Performs no I/O and reads no clock: every event is
// passed in with its time, in the order of the events.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/model.hpp"

namespace sablespur::lab {

// How a request ended. Unanswered: no answer before the request's deadline.
enum class Result { Served, Refused, Failed, Late, Unanswered };

class Audit {
 public:
  struct Rules {
    Time drainGrace = std::chrono::milliseconds(1050);  // 1 s, plus 50 ms for socket delays
    Time overlap = std::chrono::milliseconds(20);       // longest delay until a closed connection is seen
    Time staleSlack = std::chrono::milliseconds(5);     // longest delay from the proxy's send to its arrival
    // If true, a stale read sent to a current or former primary is no violation until one of the
    // server's answers has reported to the proxy that it is a replica; in return, answers delivered
    // to clients are checked for staleness as well.
    bool judgeTakeovers = false;
    Time roleKnownAfter = std::chrono::milliseconds(100);  // after the report was written to the socket
  };
  explicit Audit(const Rules& rules) : rules_(rules) {}
  Audit() : Audit(Rules()) {}

  // Events of the endpoint list, reported by the stand-in registry or name server.
  void withdrawn(Time, int server);  // the script withdrew the server; the proxies are to be notified
  void restarted(int proxy);         // a new process, which has received no endpoint list yet
  void told(Time, int proxy, int server, bool in);  // the proxy was sent the server's state; in: usable

  // Events at the data servers.
  struct Send {
    Time at{};
    int proxy = 0, server = 0;
    std::string id, key;
    std::string cls;
    bool read = false;
    Time age{}, bound{};          // staleness at that time; bound 0: unbounded
    bool hasBeenPrimary = false;  // whether the server is or was the primary
    std::uint64_t token = 0;      // identifies the attempt; assigned by send()
  };
  std::uint64_t send(Send);
  void ended(Time, std::uint64_t token, bool served);                // answered or connection closed
  void writeApplied(Time, const std::string& key, Time droppedFor);  // a write took effect, not deduplicated
  void overloaded(Time, int server);                                 // failed from overload while cold
  void crashed(Time, int proxy, int status);
  void cold(double multiple);  // load on a cold server, as a multiple of its capacity
  void probe(Time) { ++probes_; }
  void roleReported(Time, int proxy, int server, bool primary);  // in an answer or a load report

  // Events at the clients. Every request ends in exactly one of these.
  void request(Time at, const std::string& id, const std::string& key = {});
  void answer(Time at, const std::string& id, Result, const std::string& value, Time latency, bool onTime,
              double worth, double earned);
  void countEvent(const char* what) { ++hits_[what]; }  // counts an event under a figure's name
  void value(bool right) { right ? ++valuesRight_ : ++valuesWrong_; }
  void extra(Time) { ++extraAnswers_; }  // an answer without a waiting request
  void lost(const std::string& id, const char* why);

  void finish(Time);  // checks what is still open at the end of the run

  std::size_t count(Result) const;  // so far; cheap enough to poll
  // Returns the figures by the names that the claims of experiments use.
  std::map<std::string, double> figures() const;
  const std::vector<Send>& sends() const { return sends_; }
  struct Answer {
    Time at{}, latency{};
    std::string id;
    Result got{};
    std::string cls;
  };
  const std::vector<Answer>& answers() const { return answers_; }
  struct Violation {
    Time at{};
    std::string rule, what;
  };
  const std::vector<Violation>& broken() const { return violations_; }
  struct ListUpdate {
    Time at{};
    int proxy, server;
    bool in;
    Time after{};  // since the withdrawal; -1 us where there was none
  };
  const std::vector<ListUpdate>& listUpdates() const { return listUpdates_; }

 private:
  struct OpenAttempt {
    std::uint64_t token;
    int server;
    Time at;
    std::optional<Time> overlappedAt;
  };
  struct ServedRead {
    int server;
    Time age, bound;
  };
  bool isExcusedByTakeover(const Send&) const;
  void checkDeliveredAnswer(Time, const std::string& id);
  void reportViolation(Time, const char* rule, std::string what);
  void reportOverlaps(Time now);

  const Rules rules_;
  std::map<std::pair<int, int>, Time> withdrawnSince_;  // (proxy, server): withdrawn since
  std::map<std::pair<int, int>, bool> usable_;
  std::map<int, Time> withdrawnAt_;
  std::unordered_map<std::string, std::vector<OpenAttempt>> open_;  // unfinished attempts, by request id
  std::unordered_map<std::uint64_t, std::string> idOf_;
  std::unordered_map<std::string, Time> waiting_;            // unanswered requests: id -> start
  std::unordered_map<std::string, Time> effects_;            // first effect of each idempotency key
  std::unordered_map<std::string, std::string> keys_;        // idempotency keys, by request id
  std::set<std::string> acknowledged_;                       // keys of writes acknowledged to a client
  std::map<std::pair<int, int>, Time> replicaSince_;         // (proxy, server): known as replica since
  std::unordered_map<std::uint64_t, ServedRead> openReads_;  // unfinished bounded reads, by token
  std::unordered_map<std::string, ServedRead> servedReads_;  // last answered attempt, by request id
  std::vector<std::pair<Time, std::string>> overlaps_;
  std::vector<Send> sends_;
  std::vector<Answer> answers_;
  std::vector<ListUpdate> listUpdates_;
  std::vector<Violation> violations_;
  std::uint64_t tokens_ = 0, extraAnswers_ = 0, probes_ = 0, sendsInGrace_ = 0;
  double worstCold_ = 0, worth_ = 0, earned_ = 0;
  std::map<std::string, std::uint64_t> count_, hits_;
  std::uint64_t valuesRight_ = 0, valuesWrong_ = 0;
};

}  // namespace sablespur::lab
