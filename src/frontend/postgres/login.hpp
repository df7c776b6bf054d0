// The login of a client by password: which message asks for it and what its response leads to, in the
// client's protocol version.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace sablespur {

// One login attempt, as an exchange of messages. The caller sends and receives them.
class Login {
 public:
  enum class Step {
    Continue,  // a further response is due
    Accept,
    Reject,
    DeriveKey  // keyDerivation() has to run, on another thread; its result goes to onKeyDerived()
  };
  struct StepResult {
    Step step;
    std::string messages;  // to be sent to the client
  };

  virtual ~Login() = default;
  // The message that asks for the password.
  virtual std::string initialRequest() = 0;
  // The body of a 'p' message; in version 2.0 the password alone.
  virtual StepResult onResponse(std::string_view message) = 0;
  // A function of its own copies, which may outlive this object.
  virtual std::function<std::string()> keyDerivation() const = 0;
  virtual StepResult onKeyDerived(const std::string& result) = 0;
};

// Of a client's message during the login, in bytes.
constexpr std::size_t kMaxLoginMessage = 4096;

// Null, and `why` set, if no method is allowed by the settings, possible for this user and known to this
// protocol version.
std::unique_ptr<Login> createLogin(const Config&, const auth::Users&, const std::string& user, bool version2,
                                   std::string& why);

}  // namespace sablespur
