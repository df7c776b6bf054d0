// Clients of one proxy. Generates open-loop load (Poisson arrivals that do not wait for earlier
// answers) with deadlines and with retries after rejections. With `loop`, it runs a closed loop on
// one connection: the next request is sent as soon as the previous one has ended.
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
  double rate = 60;  // first attempts per second
  int retries = 0;   // after a rejection, once its retry-after delay has passed
  // How often a write with an idempotency key is sent again with the same key when its outcome is
  // unknown. Each retry waits for a random delay between repeatDelayLeast and repeatDelayMost.
  int unknownOutcomeRetries = 0;
  double duplicateShare = 0;  // share of the served keyed writes that are sent again anyway
  Time repeatDelayLeast = std::chrono::milliseconds(200), repeatDelayMost = std::chrono::seconds(4);
  bool loop = false;  // closed loop on one connection
  std::size_t valueBytes = 0;
  int groups = 2;
  bool direct = false;      // to a data server, without a proxy
  bool strictEnds = false;  // a request is lost if its connection closes before the answer
  // Set for desk clients: the protocol version in which they log in, with a password. Their result
  // values are checked byte by byte. std::nullopt: plain clients.
  std::optional<Version> version;
  // Query protocol: simple, extended, or binary (extended with values in binary format).
  std::string mode = "simple";
  // Shares of the requests that are canceled shortly after they are sent, and that select a column
  // that does not exist.
  double cancelShare = 0, missingColumnShare = 0;
  std::vector<std::pair<std::string, std::string>> startup;  // additional startup parameters
  std::string address;  // first source address; empty: chosen by the operating system
  int addresses = 1;
};

class Clients {
 public:
  Clients(Context&, Audit&, const std::vector<ClassModel>&, const ClientSettings&, const std::string& prefix);
  ~Clients();

  void target(const sockaddr_in& a) { target_ = a; }
  void start();
  void stop();  // sends no new requests; requests in flight continue
  // Called when a request has ended; `begun` is the time when it was sent.
  using Ended = std::function<void(const ClassModel&, int group, Time begun, bool served)>;
  void onEnded(Ended call) { ended_ = std::move(call); }
  void rate(double r);
  std::size_t open() const { return outstanding_; }
  // Called after the proxy was killed: requests that were sent up to `t` do not count as lost when
  // their connection closes.
  void excuseClosesUntil(Time t) { closesExcusedUntil_ = std::max(closesExcusedUntil_, t); }
  // Closes every idle connection and opens `connections` new ones at once.
  void reconnect(int connections);
  // Time from the first connection attempt to the completed login, in ms, for each connection.
  const std::vector<double>& admissions() const { return admissions_; }
  // Connections that the proxy rejected before the login was complete.
  std::size_t rejectedLogins() const { return rejectedLogins_; }
  std::size_t notLoggedIn() const;  // connections whose login is not complete
  std::size_t asked() const { return asked_; }
  std::size_t served() const { return served_; }
  const std::vector<double>& latencies() const { return latencies_; }  // ms, of served requests

 private:
  class Connection;
  struct Request {
    std::string id, statement;
    const ClassModel* cls;
    Time at{}, deadline{}, first{};
    int retriesLeft = 0, unknownOutcomeRetriesLeft = 0, group = 1;
    std::string key;
    bool cancel = false, missing = false;  // used by desk clients only
    std::vector<Bound> bound;
  };
  void arrive();
  void ask(Request);
  Request makeRequest();
  void prepareAttempt(Request&, Time now);
  void auditConnectionClosed(const Request&);
  void done(Request&, Result, const std::string& value, Time retryAfter);

  Context& c_;
  Audit& audit_;
  const std::vector<ClassModel>& classes_;
  ClientSettings s_;
  Time closesExcusedUntil_{-1};
  const std::string prefix_;
  sockaddr_in target_{};
  Timer arrivalTimer_;
  Time nextArrival_{};
  bool running_ = false;
  Ended ended_;
  std::size_t outstanding_ = 0, asked_ = 0, served_ = 0, rejectedLogins_ = 0;
  int nextAddress_ = 0;
  std::vector<double> admissions_;
  // Rejected connections that will be opened again, by time; the values are the time of the first
  // attempt and the index of the source address.
  std::multimap<Time, std::pair<Time, int>> reconnects_;
  Timer reconnectTimer_;
  void reopenRejected();
  std::uint64_t lastId_ = 0;
  std::list<std::unique_ptr<Connection>> connections_;
  std::vector<Connection*> idle_;
  void sendDueRetries();
  void sendCancelRequest(const ClientProtocol&);
  struct CancelConnection;
  std::list<std::unique_ptr<CancelConnection>> cancelConnections_;  // CancelRequests in flight
  std::multimap<Time, Request> waiting_;                            // requests to be retried, by time
  Timer retryTimer_;
  std::vector<double> latencies_;
};

}  // namespace sablespur::lab
