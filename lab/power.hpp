// A loss of power: every data server and every proxy ends at once, mid-write, and each comes back at a moment
// that was drawn for it. What a proxy had under way on its disk is cut at a drawn byte; one in five disks
// lies, and has lost of its last snapshot, too.
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

class Power {
 public:
  struct Hands {
    int proxies = 0;
    std::function<void(int proxy, bool on)> proxy;  // from 1: kill, start
    std::string directory;                          // of the proxies' files
  };
  Power(Context&, Fleet&, const Audit&, Hands);

  // Data servers come back between `least` and `most` from now, proxies between a third of `least` and
  // `most`.
  void lose(Time least, Time most);
  // power_losses; power_first_answer_ms and power_return_ms (after the last data server has come back and
  // each group has a primary again: until nine tenths of what was served before, over half a second), as
  // median and most; power_unreturned: losses after which that did not come before the next, or the end.
  void figures(std::map<std::string, double>&) const;

 private:
  struct Loss {
    Time at{}, serversBack{}, first{}, returned{};
    double before = 0;  // served a second
    std::size_t servedAtLoss = 0;
  };
  void look();
  void cutFiles();
  void after(Time, std::function<void()>);

  Context& c_;
  Fleet& fleet_;
  const Audit& audit_;
  const Hands hands_;
  std::vector<Loss> losses_;
  std::vector<std::pair<Time, std::size_t>> served_;  // every kLook
  std::vector<std::unique_ptr<Timer>> later_;
  Timer look_;
};

}  // namespace sablespur::lab
