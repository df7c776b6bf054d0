// Password login of a client: the request for the password and the handling of the responses, in
// the client's protocol version.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace sablespur {

// The state of one login attempt. The caller sends and receives the messages.
class Login {
 public:
  enum class Step {
    Continue,  // another response of the client is expected
    Accept,
    Reject,
    DeriveKey  // run keyDerivation() on another thread and pass its result to onKeyDerived()
  };
  struct StepResult {
    Step step;
    std::string messages;  // to be sent to the client
  };

  virtual ~Login() = default;
  // Returns the message that asks for the password.
  virtual std::string initialRequest() = 0;
  // Handles the body of a 'p' message or, in protocol version 2.0, the bare password.
  virtual StepResult onResponse(std::string_view message) = 0;
  // Returns a function that owns copies of its inputs and may outlive this object.
  virtual std::function<std::string()> keyDerivation() const = 0;
  virtual StepResult onKeyDerived(const std::string& result) = 0;
};

// Maximum size of the body of a client's message during the login, in bytes.
constexpr std::size_t kMaxLoginMessage = 4096;

// Returns null and sets `why` if there is no login method that the settings allow, that the user's
// stored credentials support and that exists in this protocol version.
std::unique_ptr<Login> createLogin(const Config&, const auth::Users&, const std::string& user, bool version2,
                                   std::string& why);

}  // namespace sablespur
