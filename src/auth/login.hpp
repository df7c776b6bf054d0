// A login by password, server and client, independent of the protocol that carries its messages. Pure: random
// bytes are given, and salting, which is slow, is handed out to run on a worker.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "auth/method.hpp"
#include "auth/scram.hpp"
#include "auth/users.hpp"

namespace sablespur::auth {

// What follows a message of the client.
enum class AuthenticationStep {
  Continue,      // send response() and wait for the next message
  Accepted,      // the client is logged in; response(), if not empty, goes first
  Rejected,      // the password is wrong, or the message malformed
  SaltPassword,  // run saltingWork() on a worker and give its result to passwordSalted()
};

// The server's side.
class ServerAuthenticator {
 public:
  // `methods`: those that are allowed, the best one first. `secret`: 32 random bytes of this process, from
  // which the exchange with an unknown user is derived. `nonce`: random and printable. `salt`: 4 random
  // bytes.
  ServerAuthenticator(const Users& users, std::string user, const std::vector<Method>& methods,
                      bool knowsScram, std::string_view secret, std::string nonce, std::string salt);

  // The method to ask for; std::nullopt where this user and this client have none in common.
  std::optional<Method> method() const { return method_; }
  // For a request of an MD5 password.
  const std::string& salt() const { return salt_; }
  // Takes the client's next message.
  AuthenticationStep receive(std::string_view message);
  // Takes the result of saltingWork().
  AuthenticationStep passwordSalted(const std::string& result);
  // What to send to the client; empty: nothing.
  const std::string& response() const { return response_; }
  // Does not refer to this object. It takes as long for an unknown user as for a known one.
  std::function<std::string()> saltingWork() const;

 private:
  void setUnknownUser(std::string_view secret);
  bool isUsable(Method method, bool knowsScram) const;
  AuthenticationStep receiveScram(std::string_view message);
  // Accepted, if the password is right and the user exists.
  AuthenticationStep decide(bool passwordRight) const;

  std::string name_;
  User user_;
  bool userExists_ = false;
  std::optional<Method> method_;
  std::string salt_;
  std::string response_;
  std::string password_;
  std::optional<ScramServer> scram_;
  bool exchangeStarted_ = false;
};

// The client's side. Where a function fails, `why` says why, for logs.
class ClientAuthenticator {
 public:
  // `methods`: those that a server may ask for. `nonce`: random and printable.
  ClientAuthenticator(std::string user, std::string password, std::vector<Method> methods, std::string nonce)
      : user_(std::move(user)),
        password_(std::move(password)),
        methods_(std::move(methods)),
        nonce_(std::move(nonce)) {}

  bool allows(Method method) const;
  // The answer to a request for a cleartext password.
  const std::string& cleartext() const { return password_; }
  // The answer to a request for an MD5 password.
  std::string md5(std::string_view salt) const { return md5Answer(md5Stored(user_, password_), salt); }
  // Begins a SCRAM exchange: the client-first-message.
  std::string scramFirst();
  // What to salt the password with; std::nullopt where the message is malformed or no exchange has begun.
  std::optional<ScramClient::Challenge> readChallenge(std::string_view serverFirst, std::string& why);
  // The client-final-message; readChallenge() has succeeded before.
  std::string scramFinal(std::string_view saltedPassword) { return scram_->final(saltedPassword); }
  // Whether the server has proved that it knows the password.
  bool verifyServer(std::string_view serverFinal, std::string& why);
  // Whether AuthenticationOk may be believed: after SCRAM only once the server is verified.
  bool serverTrusted() const { return !scram_ || serverVerified_; }
  // Does not refer to this object; gives the salted password.
  std::function<std::string()> saltingWork(const ScramClient::Challenge& challenge) const;

 private:
  const std::string user_;
  const std::string password_;
  const std::vector<Method> methods_;
  const std::string nonce_;
  std::optional<ScramClient> scram_;
  bool serverVerified_ = false;
};

}  // namespace sablespur::auth
