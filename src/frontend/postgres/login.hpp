// How a client is let in by a password: which message asks, what its answer means, in the version it speaks.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace sablespur {

class Login {
 public:
  enum class Step {
    Continue,
    Accept,
    Reject,
    DeriveKey
  };  // Salt: slow() is to run elsewhere, salted() gets its result
  struct StepResult {
    Step step;
    std::string messages;  // that go to the client
  };
  virtual ~Login() = default;
  virtual std::string initialRequest() = 0;
  virtual StepResult onResponse(
      std::string_view message) = 0;  // the body of a 'p' message; in 2.0 the password as it is
  virtual std::function<std::string()> keyDerivation() const = 0;
  virtual StepResult onKeyDerived(const std::string& result) = 0;
};

constexpr std::size_t kMaxLoginMessage = 4096;  // a message of one

// Null and `why`: there is no method that the settings allow, this user has and this version knows.
std::unique_ptr<Login> createLogin(const Config&, const auth::Users&, const std::string& user, bool version2,
                                   std::string& why);

}  // namespace sablespur
