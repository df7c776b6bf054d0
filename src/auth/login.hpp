// A login by password, from either side, in terms that no protocol owns: what is asked for, what is answered.
// Pure: random bytes are given; what is slow is handed out to be done elsewhere.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "auth/method.hpp"
#include "auth/scram.hpp"
#include "auth/users.hpp"

namespace sablespur::auth {

// What comes next. Salt: `slow` is to be run elsewhere and its result given to salted().
enum class AuthenticationStep { Continue, Accepted, Rejected, SaltPassword };

// The side that lets in.
class ServerAuthenticator {
 public:
  // `methods`: those that are allowed, the best one first. `secret`: of this process, from which what unknown
  // users see is made up; 32 random bytes. `nonce`: random, printable.
  ServerAuthenticator(const Users&, std::string user, const std::vector<Method>& methods, bool knowsScram,
                      std::string_view secret, std::string nonce, std::string salt);

  // The method to ask for; nothing: none that this user and this client have in common.
  std::optional<Method> method() const { return method_; }
  const std::string& salt() const { return salt_; }  // of MD5: 4 bytes
  // The client's word. With Ask, say() is what goes back; with In it may hold a last word.
  AuthenticationStep receive(std::string_view word);
  AuthenticationStep passwordSalted(const std::string& result);
  const std::string& response() const { return response_; }
  std::function<std::string()> saltingWork() const;

 private:
  std::string name_;
  User user_;
  bool userExists_ = false;
  std::optional<Method> method_;
  std::string salt_, response_, password_;
  std::optional<ScramServer> scram_;
  bool exchangeStarted_ = false;
};

// The side that logs in.
class ClientAuthenticator {
 public:
  ClientAuthenticator(std::string user, std::string password, std::vector<Method> methods, std::string nonce)
      : user_(std::move(user)),
        password_(std::move(password)),
        methods_(std::move(methods)),
        nonce_(std::move(nonce)) {}

  bool allows(Method) const;
  const std::string& cleartext() const { return password_; }
  std::string md5(std::string_view salt) const { return md5Answer(md5Stored(user_, password_), salt); }
  std::string scramFirst();
  // The server's challenge: what salts the password for it, or nothing and `why`.
  std::optional<ScramClient::Challenge> readChallenge(std::string_view word, std::string& why);
  std::string scramFinal(std::string_view salted) { return scram_->final(salted); }
  bool verifyServer(std::string_view word, std::string& why);
  // Whether the server may say that we are in: not before it has proved that it knows the password.
  bool serverTrusted() const { return !scram_ || serverVerified_; }
  std::function<std::string()> saltingWork(const ScramClient::Challenge&) const;

 private:
  const std::string user_, password_;
  const std::vector<Method> methods_;
  const std::string nonce_;
  std::optional<ScramClient> scram_;
  bool serverVerified_ = false;
};

}  // namespace sablespur::auth
