// The proxy's login to a data server, with its own credentials.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace sablespur {

// The client side of one login's message exchange; lives until the data server accepts or rejects
// the login.
class ServerLogin {
 public:
  enum class Action {
    Send,       // Step::messages go to the server
    Wait,       // nothing to send; wait for the server's next message
    DeriveKey,  // run keyDerivation() on a worker and pass its result to keyDerived()
    Fail        // the login has failed; see Step::reason
  };
  struct Step {
    Action action;
    std::string messages;
    std::string reason;
  };
  virtual ~ServerLogin() = default;
  // Handles an AuthenticationRequest other than AuthenticationOk.
  virtual Step request(std::uint32_t code, std::string_view data) = 0;
  // Returns the expensive computation for the server's challenge. It owns all of its data, so it
  // can run on another thread. Call only after a DeriveKey step.
  virtual std::function<std::string()> keyDerivation() const = 0;
  // Identifies the result of keyDerivation(): equal for the same password, salt and number of
  // iterations. Empty if no challenge has been received.
  virtual std::string challenge() const = 0;
  virtual Step keyDerived(const std::string& result) = 0;
  // Whether AuthenticationOk may be accepted now. With a method that proves the server's identity
  // (SCRAM), only after that proof.
  virtual bool acceptsAuthenticationOk() const = 0;
};

// Returns null if the settings contain no password for data servers.
std::unique_ptr<ServerLogin> openServerLogin(const Config&);

}  // namespace sablespur
