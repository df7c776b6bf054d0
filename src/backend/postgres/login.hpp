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
  enum class Next { Send, Wait, Salt, Out };  // Salt: slow() is to run elsewhere, salted() gets its result
  struct Said {
    Next next;
    std::string messages;  // Send
    std::string why;       // Out
  };
  virtual ~ServerLogin() = default;
  // An AuthenticationRequest other than Ok.
  virtual Said request(std::uint32_t code, std::string_view data) = 0;
  virtual std::function<std::string()> slow() const = 0;
  virtual std::string challenge()
      const = 0;  // names what slow() makes: the same for the same password and salt
  virtual Said salted(const std::string& result) = 0;
  // Whether AuthenticationOk may be believed: a server that was asked to prove itself has to, first.
  virtual bool mayEnter() const = 0;
};

std::unique_ptr<ServerLogin> openServerLogin(const Config&);  // null: there is no password in the settings

}  // namespace sablespur
