// Opens connections to one proxy at a fixed rate, from many loopback addresses, whatever happens to
// the earlier ones. Models the many clients of a docking ship that connect at once, or one machine
// that connects in a loop.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "lab/audit.hpp"
#include "lab/context.hpp"
#include "lab/fleet.hpp"

namespace sablespur::lab {

struct CrowdSettings {
  double rate = 100;  // new connections per second
  Time from{}, until = std::chrono::hours(1);
  std::string address = "127.64.0.1";  // the first of `addresses` consecutive source addresses
  int addresses = 1;
  // What each connection sends:
  // - ask: a startup message and one read, then the connection stays open;
  // - silent: nothing;
  // - startup: a startup message, but no query;
  // - mute: as ask, but the client never reads.
  std::string mode = "ask";
  Time stay = std::chrono::seconds(2);  // before the client closes the connection
  bool returns = true;  // after each rejection, connects again at the time that the proxy asked for
  int groups = 2;
};

class Crowd {
 public:
  Crowd(Context&, Audit&, const std::vector<ClassModel>&, const CrowdSettings&, const std::string& prefix);
  ~Crowd();
  void target(const sockaddr_in& a) { target_ = a; }
  void start();
  void stop();  // opens no new connections; requests in flight continue
  std::size_t open() const { return outstanding_; }

  struct Counts {
    // Connections. in: login completed; cut: closed by the proxy before the login, without an error.
    std::uint64_t opened = 0, in = 0, refused = 0, cut = 0;
    std::uint64_t failed = 0;                  // could not connect
    std::uint64_t served = 0, turnedAway = 0;  // requests: answered with a row; rejected
    std::uint64_t returned = 0, early = 0;     // reconnects after a rejection; those too early
    std::uint64_t peakReturns = 0;             // greatest number of reconnects within 100 ms
  };
  const Counts& counts() const { return n_; }

 private:
  struct Client;
  void arrive();
  void connect(std::uint32_t address);
  void reconnectDue();
  void remove(Client&);

  Context& c_;
  Audit& audit_;
  const std::vector<ClassModel>& classes_;
  const CrowdSettings s_;
  const std::string prefix_;
  sockaddr_in target_{};
  Timer arrivalTimer_, reconnectTimer_;
  Time started_{}, nextArrival_{};
  bool running_ = false;
  std::uint64_t lastId_ = 0;
  std::size_t outstanding_ = 0;
  Counts n_;
  std::unordered_map<Client*, std::unique_ptr<Client>> clients_;
  std::multimap<Time, std::uint32_t> reconnects_;  // source addresses, by the time of the reconnect
  std::map<std::int64_t, std::uint64_t> returnsByWindow_;
};

}  // namespace sablespur::lab
