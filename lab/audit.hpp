// Judges a run by what the stand-ins saw on their sockets, and by what the clients got. Pure: facts come with
// their times, in the order in which they happened.
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

enum class Got {
  Served,
  Refused,
  Failed,
  Late,
  Nothing
};  // Nothing: its time was up, and no answer had come

class Audit {
 public:
  struct Rules {
    Time drainGrace = std::chrono::milliseconds(1050);  // 1 s and 50 ms for the sockets
    Time overlap = std::chrono::milliseconds(20);    // the end of a connection is noticed no later than that
    Time staleSlack = std::chrono::milliseconds(5);  // from the proxy's send to what the stand-in sees of it
    // A send to a server that has been primary is excused until one of its answers has told the proxy that it
    // is none; but what the client is given is judged as well.
    bool judgeTakeovers = false;
    Time roleKnownAfter = std::chrono::milliseconds(100);  // from when it was written
  };
  explicit Audit(const Rules& rules) : rules_(rules) {}
  Audit() : Audit(Rules()) {}

  // Of the list: what a proxy has been told of a server, by the stand-in that told it.
  void withdrawn(Time, int server);                 // by the script: from here on it is to be told
  void restarted(int proxy);                        // a new process: it has been told nothing
  void told(Time, int proxy, int server, bool in);  // in: it may be sent work

  // Of the servers.
  struct Send {
    Time at{};
    int proxy = 0, server = 0;
    std::string id, key;
    std::string cls;
    bool read = false;
    Time age{}, bound{};          // of the data there at that time; bound 0: any age will do
    bool hasBeenPrimary = false;  // the server, now or earlier
    std::uint64_t token = 0;      // of this attempt, given by send
  };
  std::uint64_t send(Send);
  void ended(Time, std::uint64_t token, bool served);       // answered, or its connection ended
  void ran(Time, const std::string& key, Time droppedFor);  // a write took effect, and it was not a repeat
  void felled(Time, int server);
  void crashed(Time, int proxy, int status);
  void cold(double multiple);
  void probe(Time) { ++probes_; }
  void roleTold(Time, int proxy, int server, bool primary);  // with an answer or a report

  // Of the clients: every request ends in one of these, once.
  void request(Time at, const std::string& id, const std::string& key = {});
  void answer(Time at, const std::string& id, Got, const std::string& value, Time latency, bool onTime,
              double worth, double earned);
  void hit(const char* what) { ++hits_[what]; }  // something happened that an experiment wants to see
  void value(bool right) { right ? ++valuesRight_ : ++valuesWrong_; }
  void extra(Time) { ++extraAnswers_; }  // an answer that nobody waited for
  void lost(const std::string& id, const char* why);

  void finish(Time);  // judges what is still open

  std::size_t count(Got) const;  // so far; cheap
  // Figures, by the names that claims use.
  std::map<std::string, double> figures() const;
  const std::vector<Send>& sends() const { return sends_; }
  struct Answer {
    Time at{}, latency{};
    std::string id;
    Got got{};
    std::string cls;
  };
  const std::vector<Answer>& answers() const { return answers_; }
  struct Broken {
    Time at{};
    std::string rule, what;
  };
  const std::vector<Broken>& broken() const { return broken_; }
  struct Told {
    Time at{};
    int proxy, server;
    bool in;
    Time after{};  // the withdrawal
  };
  const std::vector<Told>& tellings() const { return told_; }

 private:
  struct Out {
    std::uint64_t token;
    int server;
    Time at;
    std::optional<Time> overlappedAt;
  };
  struct ServedRead {
    int server;
    Time age, bound;
  };
  bool isExcused(const Send&) const;
  void judgeDelivered(Time, const std::string& id);
  void breaks(Time, const char* rule, std::string what);
  void settle(Time now);

  const Rules rules_;
  std::map<std::pair<int, int>, Time> outSince_;  // proxy, server
  std::map<std::pair<int, int>, bool> in_;
  std::map<int, Time> withdrawnAt_;
  std::unordered_map<std::string, std::vector<Out>> open_;  // attempts by id
  std::unordered_map<std::uint64_t, std::string> idOf_;
  std::unordered_map<std::string, Time> waiting_;      // requests without an answer
  std::unordered_map<std::string, Time> effects_;      // by key
  std::unordered_map<std::string, std::string> keys_;  // of requests, by id
  std::set<std::string> acknowledged_;                // keys of which a client was told that they were served
  std::map<std::pair<int, int>, Time> replicaSince_;  // proxy, server: told to be none, as it was last told
  std::unordered_map<std::uint64_t, ServedRead> readsOut_;   // by token
  std::unordered_map<std::string, ServedRead> servedReads_;  // by id: the last attempt that was answered
  std::vector<std::pair<Time, std::string>> overlaps_;
  std::vector<Send> sends_;
  std::vector<Answer> answers_;
  std::vector<Told> told_;
  std::vector<Broken> broken_;
  std::uint64_t tokens_ = 0, extraAnswers_ = 0, probes_ = 0, inGrace_ = 0;
  double worstCold_ = 0, worth_ = 0, earned_ = 0;
  std::map<std::string, std::uint64_t> count_, hits_;
  std::uint64_t valuesRight_ = 0, valuesWrong_ = 0;
};

}  // namespace sablespur::lab
