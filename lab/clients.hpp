// Clients of one proxy: open-loop load (arrivals are drawn ahead of the answers and do not wait for them),
// deadlines, and retries after refusals. Or, with `loop`, one connection that asks again as soon as it is
// answered.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/audit.hpp"
#include "lab/context.hpp"
#include "lab/fleet.hpp"
#include "lab/speaker.hpp"

namespace sablespur::lab {

struct ClientSettings {
  double rate = 60;  // requests a second, first tries
  int retries = 0;   // after a refusal, once its word on when to come back is kept
  // A keyed write of which it does not know whether it ran is asked for again with its key, so many times,
  // each after a while.
  int asksAgain = 0;
  double doubles = 0;  // share of those that were served and that ask again all the same
  Time againLeast = std::chrono::milliseconds(200), againMost = std::chrono::seconds(4);
  bool loop = false;  // closed loop on one connection
  std::size_t valueBytes = 0;
  int groups = 2;
  bool direct = false;      // to a data server, without a proxy
  bool strictEnds = false;  // a connection that ends with a request out has lost it
  // Desks of a generation, whose values are checked byte by byte.
  std::optional<Version> version;
  std::string way = "simple";       // or extended, binary
  double cancels = 0, missing = 0;  // shares: called off after a moment; of a column that is not there
  std::vector<std::pair<std::string, std::string>> startup;  // more parameters of it
  std::string address;  // the first of those that it comes from; empty: where the system says
  int addresses = 1;
};

class Clients {
 public:
  Clients(Context&, Audit&, const std::vector<ClassModel>&, const ClientSettings&, const std::string& prefix);
  ~Clients();

  void target(const sockaddr_in& a) { target_ = a; }
  void start();
  void stop();  // no new requests; what is out goes on
  // Called when a request has ended; `begun`: when it was sent.
  using Ended = std::function<void(const ClassModel&, int group, Time begun, bool served)>;
  void onEnded(Ended call) { ended_ = std::move(call); }
  void rate(double r);
  std::size_t open() const { return out_; }
  // The proxy was killed: ends of connections are no fault of its for requests that were asked until then.
  void excuseUntil(Time t) { excusedUntil_ = std::max(excusedUntil_, t); }
  // All desks at once: every idle connection is dropped, and so many new ones come.
  void reconnect(int connections);
  // How long connections took to be let in, from the first try on, ms; and how many were refused on the way.
  const std::vector<double>& admissions() const { return admissions_; }
  std::size_t refusedAtDoor() const { return refusedAtDoor_; }
  std::size_t outside() const;  // connections that are not let in yet
  std::size_t asked() const { return asked_; }
  std::size_t served() const { return served_; }
  const std::vector<double>& latencies() const { return latencies_; }  // ms, of what was served

 private:
  class Connection;
  struct Request {
    std::string id, statement;
    const ClassModel* cls;
    Time at{}, deadline{}, first{};
    int retriesLeft = 0, againLeft = 0, group = 1;
    std::string key;
    bool cancel = false, missing = false;  // of desks
    std::vector<Bound> bound;
  };
  void arrive();
  void ask(Request);
  Request make();
  void write(Request&, Time now);
  void judgeEnd(const Request&);
  void done(Request&, Result, const std::string& value, Time retryAfter);

  Context& c_;
  Audit& audit_;
  const std::vector<ClassModel>& classes_;
  ClientSettings s_;
  Time excusedUntil_{-1};
  const std::string prefix_;
  sockaddr_in target_{};
  Timer next_;
  Time due_{};  // of the next arrival
  bool running_ = false;
  Ended ended_;
  std::size_t out_ = 0, asked_ = 0, served_ = 0, refusedAtDoor_ = 0;
  int nextAddress_ = 0;
  std::vector<double> admissions_;
  std::multimap<Time, std::pair<Time, int>> comingBack_;  // to the door: when, since when, from which address
  Timer door_;
  void openAgain();
  std::uint64_t ids_ = 0;
  std::list<std::unique_ptr<Connection>> connections_;
  std::vector<Connection*> idle_;
  void again();
  void callOff(const ClientProtocol&);
  struct Call;
  std::list<std::unique_ptr<Call>> calls_;  // CancelRequests on their way
  std::multimap<Time, Request> waiting_;    // for their next try
  Timer retry_;
  std::vector<double> latencies_;
};

}  // namespace sablespur::lab
