#include "auth/login.hpp"

#include <algorithm>

namespace sablespur::auth {
namespace {

constexpr std::uint32_t kIterations = 4096;

}  // namespace

ServerAuthenticator::ServerAuthenticator(const Users& users, std::string user,
                                         const std::vector<Method>& methods, bool knowsScram,
                                         std::string_view secret, std::string nonce, std::string salt)
    : name_(std::move(user)), salt_(std::move(salt)) {
  if (const User* u = users.find(name_)) {
    user_ = *u;
    userExists_ = true;
  } else {
    // Guards against learning who exists: a secret nobody has, the same at each try.
    const std::string made = makeVerifier(secret, "made up for " + name_, 1).storedKey;
    user_.scram = Verifier{made.substr(0, 16), made, made, kIterations};
    user_.md5 = md5Stored(name_, made);
  }
  for (const Method m : methods) {
    const bool has = m == Method::Scram ? knowsScram && user_.scram.has_value()
                     : m == Method::Md5 ? !user_.md5.empty()
                                        : m == Method::Cleartext;
    if (!has) continue;
    method_ = m;
    break;
  }
  if (method_ == Method::Scram) scram_.emplace(*user_.scram, std::move(nonce));
}

AuthenticationStep ServerAuthenticator::receive(std::string_view word) {
  response_.clear();
  if (method_ == Method::Md5)
    return sameSecret(md5Answer(user_.md5, salt_), word) && userExists_ ? AuthenticationStep::Accepted
                                                                        : AuthenticationStep::Rejected;
  if (method_ == Method::Cleartext) {
    password_ = std::string(word);
    return AuthenticationStep::SaltPassword;
  }
  std::string why;
  if (!scram_) return AuthenticationStep::Rejected;
  const auto said = exchangeStarted_ ? scram_->final(word, why) : scram_->first(word, why);
  if (!said) return AuthenticationStep::Rejected;
  response_ = *said;
  const bool last = exchangeStarted_;
  exchangeStarted_ = true;
  return last ? (userExists_ ? AuthenticationStep::Accepted : AuthenticationStep::Rejected)
              : AuthenticationStep::Continue;
}

// A password that came as it is takes as long whoever it is for.
std::function<std::string()> ServerAuthenticator::saltingWork() const {
  const Verifier v = user_.scram ? *user_.scram : Verifier{std::string(16, 's'), {}, {}, kIterations};
  return [v, password = password_] { return makeVerifier(password, v.salt, v.iterations).storedKey; };
}
AuthenticationStep ServerAuthenticator::passwordSalted(const std::string& result) {
  const bool good = user_.scram ? sameSecret(result, user_.scram->storedKey)
                                : sameSecret(md5Stored(name_, password_), user_.md5);
  password_.clear();
  return good && userExists_ ? AuthenticationStep::Accepted : AuthenticationStep::Rejected;
}

bool ClientAuthenticator::allows(Method m) const {
  return std::find(methods_.begin(), methods_.end(), m) != methods_.end();
}

std::string ClientAuthenticator::scramFirst() {
  scram_.emplace("", nonce_);  // PostgreSQL takes the name from the startup
  return scram_->first();
}
std::optional<ScramClient::Challenge> ClientAuthenticator::readChallenge(std::string_view word,
                                                                         std::string& why) {
  if (scram_) return scram_->readChallenge(word, why);
  why = "a challenge that nobody asked for";
  return std::nullopt;
}
bool ClientAuthenticator::verifyServer(std::string_view word, std::string& why) {
  if (!scram_) {
    why = "a last word of a login that has not begun";
    return false;
  }
  return serverVerified_ = scram_->verify(word, why);
}
std::function<std::string()> ClientAuthenticator::saltingWork(const ScramClient::Challenge& c) const {
  return [password = password_, c] { return saltPassword(password, c.salt, c.iterations); };
}

}  // namespace sablespur::auth
