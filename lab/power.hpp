// Simulates power losses: every data server and every proxy is killed at once, possibly during a
// write, and each restarts after a random delay. Files that a proxy was writing are truncated at a
// random byte. One in five snapshots that were already complete is truncated as well, as by a disk
// that acknowledged the sync without making the data durable.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/audit.hpp"
#include "lab/context.hpp"
#include "lab/fleet.hpp"

namespace sablespur::lab {

class PowerLossSimulator {
 public:
  struct Controls {
    int proxies = 0;
    std::function<void(int proxy, bool on)> proxy;  // numbered from 1; true: start, false: kill
    std::string directory;                          // of the proxies' stores and snapshots
  };
  PowerLossSimulator(Context&, Fleet&, const Audit&, Controls);

  // Cuts the power now. Data servers restart after `least` to `most`, proxies after a third of
  // `least` to `most`.
  void lose(Time least, Time most);
  // Adds these figures:
  // - power_losses: the number of losses;
  // - power_first_answer_ms, power_first_answer_most_ms: from the loss to the first served
  //   request, median and maximum;
  // - power_return_ms, power_return_most_ms: from the moment at which all data servers are back and
  //   each group has a primary, until the rate of served requests over half a second is nine tenths
  //   of that before the loss, median and maximum;
  // - power_unreturned: losses after which that rate was not reached before the next loss or the
  //   end of the run.
  void figures(std::map<std::string, double>&) const;

 private:
  struct LossRecord {
    Time at{}, serversBack{}, first{}, returned{};
    double before = 0;  // served requests per second before the loss
    std::size_t servedAtLoss = 0;
  };
  void sample();
  void cutFiles();
  void schedule(Time, std::function<void()>);

  Context& c_;
  Fleet& fleet_;
  const Audit& audit_;
  const Controls controls_;
  std::vector<LossRecord> losses_;
  std::vector<std::pair<Time, std::size_t>> served_;  // served so far, every kSampleInterval
  std::vector<std::unique_ptr<Timer>> restarts_;
  Timer sampleTimer_;
};

}  // namespace sablespur::lab
