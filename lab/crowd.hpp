// A crowd before one proxy: new connections at a rate, from many loopback addresses, whatever becomes of the
// earlier ones. What a ship that docks looks like, or one machine that connects in a loop.
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
  double rate = 100;  // new connections a second
  Time from{}, until = std::chrono::hours(1);
  std::string address = "127.64.0.1";  // the first of so many
  int addresses = 1;
  // ask: one read, then it stays; silent: nothing at all is sent; startup: a startup and no query; mute: as
  // ask, but what comes is not read.
  std::string way = "ask";
  Time stay = std::chrono::seconds(2);  // and closes
  bool returns = true;                  // when it was told to, once refused; as often as it is refused
  int groups = 2;
};

class Crowd {
 public:
  Crowd(Context&, Audit&, const std::vector<ClassModel>&, const CrowdSettings&, const std::string& prefix);
  ~Crowd();
  void target(const sockaddr_in& a) { target_ = a; }
  void start();
  void stop();  // no new ones; who has asked waits for its answer
  std::size_t open() const { return asking_; }

  struct Counts {
    std::uint64_t opened = 0, in = 0, refused = 0, cut = 0;  // cut: its connection ended without a word
    std::uint64_t failed = 0;                                // to connect
    std::uint64_t served = 0, turnedAway = 0;                // of those that asked
    std::uint64_t returned = 0, early = 0;                   // early: before it was told to
    std::uint64_t peakReturns = 0;                           // most within 100 ms
  };
  const Counts& counts() const { return n_; }

 private:
  struct One;
  void arrive();
  void connect(std::uint32_t address);
  void back();
  void ended(One&);

  Context& c_;
  Audit& audit_;
  const std::vector<ClassModel>& classes_;
  const CrowdSettings s_;
  const std::string prefix_;
  sockaddr_in target_{};
  Timer next_, back_;
  Time started_{}, due_{};
  bool running_ = false;
  std::uint64_t ids_ = 0;
  std::size_t asking_ = 0;
  Counts n_;
  std::unordered_map<One*, std::unique_ptr<One>> all_;
  std::multimap<Time, std::uint32_t> waiting_;  // who was refused, by when it may come back
  std::map<std::int64_t, std::uint64_t> returns_;
};

}  // namespace sablespur::lab
