// How the proxy logs in to a data server, with credentials of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace sablespur {

// One login's exchange of messages; lives until the data server has accepted or refused it.
class ServerLogin {
 public:
  enum class Action {
    Send,       // Step::messages go to the server
    Wait,       // for the server's next message
    DeriveKey,  // keyDerivation() is to run on a worker; keyDerived() takes its result
    Fail        // the login is over, for Step::reason
  };
  struct Step {
    Action action;
    std::string messages;
    std::string reason;
  };
  virtual ~ServerLogin() = default;
  // Handles an AuthenticationRequest other than AuthenticationOk.
  virtual Step request(std::uint32_t code, std::string_view data) = 0;
  // The costly computation for the server's challenge; touches nothing but what it carries. Only after a step
  // DeriveKey.
  virtual std::function<std::string()> keyDerivation() const = 0;
  // Identifies the result of keyDerivation(): equal for the same password, salt and number of iterations.
  // Empty where there has been no challenge.
  virtual std::string challenge() const = 0;
  virtual Step keyDerived(const std::string& result) = 0;
  // Whether AuthenticationOk may be accepted now: where the method proves the server's identity, only after
  // that proof.
  virtual bool acceptsAuthenticationOk() const = 0;
};

// Null: the settings hold no password for data servers.
std::unique_ptr<ServerLogin> openServerLogin(const Config&);

}  // namespace sablespur
