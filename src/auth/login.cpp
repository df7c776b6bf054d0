#include "auth/login.hpp"

#include <algorithm>

#include "support/secret.hpp"

namespace sablespur::auth {
namespace {

constexpr std::size_t kSaltSize = 16;  // bytes, as in PostgreSQL's SCRAM verifiers

}  // namespace

ServerAuthenticator::ServerAuthenticator(const Users& users, std::string user,
                                         const std::vector<Method>& methods, bool supportsScram,
                                         std::string_view secret, std::string nonce, std::string salt)
    : name_(std::move(user)), salt_(std::move(salt)) {
  if (const User* known = users.find(name_)) {
    user_ = *known;
    userExists_ = true;
  } else {
    setUnknownUser(secret);
  }
  const auto usable = [&](Method method) { return isUsable(method, supportsScram); };
  const auto best = std::find_if(methods.begin(), methods.end(), usable);
  if (best != methods.end()) method_ = *best;
  if (method_ == Method::Scram) scram_.emplace(*user_.scram, std::move(nonce));
}

// A client must not learn which users exist: an unknown user gets a secret that matches no password
// and stays the same in each attempt.
void ServerAuthenticator::setUnknownUser(std::string_view secret) {
  const std::string derived = makeVerifier(secret, "made up for " + name_, 1).storedKey;
  user_.scram = Verifier{derived.substr(0, kSaltSize), derived, derived, kDefaultIterations};
  user_.md5 = md5Stored(name_, derived);
}

bool ServerAuthenticator::isUsable(Method method, bool supportsScram) const {
  if (method == Method::Scram) return supportsScram && user_.scram.has_value();
  if (method == Method::Md5) return !user_.md5.empty();
  return method == Method::Cleartext;
}

AuthenticationStep ServerAuthenticator::decide(bool passwordRight) const {
  return passwordRight && userExists_ ? AuthenticationStep::Accepted : AuthenticationStep::Rejected;
}

AuthenticationStep ServerAuthenticator::receive(std::string_view message) {
  response_.clear();
  if (method_ == Method::Md5) return decide(sameSecret(md5Answer(user_.md5, salt_), message));
  if (method_ == Method::Cleartext) {
    password_ = std::string(message);
    return AuthenticationStep::SaltPassword;
  }
  return scram_ ? receiveScram(message) : AuthenticationStep::Rejected;
}

AuthenticationStep ServerAuthenticator::receiveScram(std::string_view message) {
  std::string why;  // not sent to the client
  const bool isFinal = exchangeStarted_;
  const auto reply = isFinal ? scram_->final(message, why) : scram_->first(message, why);
  if (!reply) return AuthenticationStep::Rejected;
  response_ = *reply;
  exchangeStarted_ = true;
  return isFinal ? decide(true) : AuthenticationStep::Continue;
}

std::function<std::string()> ServerAuthenticator::saltingWork() const {
  const Verifier standIn{std::string(kSaltSize, 's'), {}, {}, kDefaultIterations};
  const Verifier verifier = user_.scram.value_or(standIn);
  return [salt = verifier.salt, iterations = verifier.iterations, password = password_] {
    return makeVerifier(password, salt, iterations).storedKey;
  };
}

AuthenticationStep ServerAuthenticator::passwordSalted(const std::string& result) {
  const bool right = user_.scram ? sameSecret(result, user_.scram->storedKey)
                                 : sameSecret(md5Stored(name_, password_), user_.md5);
  password_.clear();
  return decide(right);
}

bool ClientAuthenticator::allows(Method method) const {
  return std::find(methods_.begin(), methods_.end(), method) != methods_.end();
}

std::string ClientAuthenticator::scramFirst() {
  scram_.emplace("", nonce_);  // PostgreSQL takes the user name from the startup message
  return scram_->first();
}

std::optional<ScramClient::Challenge> ClientAuthenticator::readChallenge(std::string_view serverFirst,
                                                                         std::string& why) {
  if (scram_) return scram_->readChallenge(serverFirst, why);
  why = "a SCRAM challenge without a SCRAM exchange";
  return std::nullopt;
}

bool ClientAuthenticator::verifyServer(std::string_view serverFinal, std::string& why) {
  if (!scram_) {
    why = "a SCRAM final message without a SCRAM exchange";
    return false;
  }
  serverVerified_ = scram_->verify(serverFinal, why);
  return serverVerified_;
}

std::function<std::string()> ClientAuthenticator::saltingWork(const ScramClient::Challenge& challenge) const {
  return [password = password_, challenge] {
    return saltPassword(password, challenge.salt, challenge.iterations);
  };
}

}  // namespace sablespur::auth
