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
  enum class Next { Ask, In, Out, Salt };  // Salt: slow() is to run elsewhere, salted() gets its result
  struct Said {
    Next next;
    std::string messages;  // that go to the client
  };
  virtual ~Login() = default;
  virtual std::string ask() = 0;
  virtual Said take(std::string_view message) = 0;  // the body of a 'p' message; in 2.0 the password as it is
  virtual std::function<std::string()> slow() const = 0;
  virtual Said salted(const std::string& result) = 0;
};

constexpr std::size_t kLongestLogin = 4096;  // a message of one

// Null and `why`: there is no method that the settings allow, this user has and this version knows.
std::unique_ptr<Login> openLogin(const Config&, const auth::Users&, const std::string& user, bool version2,
                                 std::string& why);

}  // namespace sablespur
