// Password authentication, for the server's and the client's side, independent of the protocol that
// carries the messages. Does no I/O: the caller supplies random bytes and runs the slow salting of
// passwords on a worker.
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

// The server's next step after a message of the client.
enum class AuthenticationStep {
  Continue,      // send response() and wait for the next message
  Accepted,      // the client is logged in; response(), if not empty, is sent first
  Rejected,      // the password is wrong or the message is malformed
  SaltPassword,  // run saltingWork() on a worker and give its result to passwordSalted()
};

// The server's side of an authentication.
class ServerAuthenticator {
 public:
  // - `methods`: the allowed methods, in order of preference
  // - `supportsScram`: whether the client supports SCRAM
  // - `secret`: 32 random bytes of this process, from which the exchange with an unknown user is
  //   derived
  // - `nonce`: random and printable
  // - `salt`: 4 random bytes, for the MD5 method
  ServerAuthenticator(const Users& users, std::string user, const std::vector<Method>& methods,
                      bool supportsScram, std::string_view secret, std::string nonce, std::string salt);

  // Returns the method to request; std::nullopt if no allowed method suits this user and this
  // client.
  std::optional<Method> method() const { return method_; }
  // Returns the salt to send in a request for an MD5 password.
  const std::string& salt() const { return salt_; }
  // Processes the client's next message.
  AuthenticationStep receive(std::string_view message);
  // Processes the result of saltingWork().
  AuthenticationStep passwordSalted(const std::string& result);
  // Returns the message to send to the client; empty if there is none.
  const std::string& response() const { return response_; }
  // Returns a task that does not refer to this object. It takes as long for an unknown user as for
  // a known one.
  std::function<std::string()> saltingWork() const;

 private:
  void setUnknownUser(std::string_view secret);
  bool isUsable(Method method, bool supportsScram) const;
  AuthenticationStep receiveScram(std::string_view message);
  // Returns Accepted if the password is right and the user exists, else Rejected.
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

// The client's side of an authentication. A function that fails sets `why` to the reason, for logs.
class ClientAuthenticator {
 public:
  // `methods`: the methods that a server may request. `nonce`: random and printable.
  ClientAuthenticator(std::string user, std::string password, std::vector<Method> methods, std::string nonce)
      : user_(std::move(user)),
        password_(std::move(password)),
        methods_(std::move(methods)),
        nonce_(std::move(nonce)) {}

  bool allows(Method method) const;
  // Returns the response to a request for a cleartext password.
  const std::string& cleartext() const { return password_; }
  // Returns the response to a request for an MD5 password.
  std::string md5(std::string_view salt) const { return md5Answer(md5Stored(user_, password_), salt); }
  // Starts a SCRAM exchange and returns the client-first-message.
  std::string scramFirst();
  // Returns the parameters for salting the password; std::nullopt if the message is malformed or no
  // SCRAM exchange has started.
  std::optional<ScramClient::Challenge> readChallenge(std::string_view serverFirst, std::string& why);
  // Returns the client-final-message; requires an earlier successful readChallenge().
  std::string scramFinal(std::string_view saltedPassword) { return scram_->final(saltedPassword); }
  // Returns whether the server has proved that it knows the password.
  bool verifyServer(std::string_view serverFinal, std::string& why);
  // Returns whether AuthenticationOk may be accepted: after a SCRAM exchange only once the server
  // is verified.
  bool serverTrusted() const { return !scram_ || serverVerified_; }
  // Returns a task that yields the salted password and does not refer to this object.
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
