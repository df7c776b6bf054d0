// A burst of logins: many clients that connect at the same moment.
#pragma once

#include <list>
#include <memory>
#include <vector>

#include "lab/context.hpp"
#include "lab/speaker.hpp"

namespace sablespur::lab {

class LoginBurst {
 public:
  LoginBurst(Context&, const sockaddr_in& proxy, Version, int count);
  ~LoginBurst();
  std::size_t in() const { return latencies_.size(); }
  std::size_t failed() const { return failed_; }
  // Returns the latencies from connect to the completed login, in ms.
  const std::vector<double>& latencies() const { return latencies_; }

 private:
  struct Login;
  void ended(Login&, bool in);

  Context& c_;
  const Time started_;
  std::list<std::unique_ptr<Login>> open_;
  std::vector<double> latencies_;
  std::size_t failed_ = 0;
};

}  // namespace sablespur::lab
