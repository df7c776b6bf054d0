// How the proxy logs in to a data server, with credentials of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace sablespur {

class ServerLogin {
 public:
  enum class Action {
    Send,
    Wait,
    DeriveKey,
    Fail
  };  // Salt: slow() is to run elsewhere, salted() gets its result
  struct Step {
    Action action;
    std::string messages;  // Send
    std::string reason;    // Out
  };
  virtual ~ServerLogin() = default;
  // An AuthenticationRequest other than Ok.
  virtual Step request(std::uint32_t code, std::string_view data) = 0;
  virtual std::function<std::string()> keyDerivation() const = 0;
  virtual std::string challenge()
      const = 0;  // names what slow() makes: the same for the same password and salt
  virtual Step keyDerived(const std::string& result) = 0;
  // Whether AuthenticationOk may be believed: a server that was asked to prove itself has to, first.
  virtual bool acceptsAuthenticationOk() const = 0;
};

std::unique_ptr<ServerLogin> openServerLogin(const Config&);  // null: there is no password in the settings

}  // namespace sablespur
