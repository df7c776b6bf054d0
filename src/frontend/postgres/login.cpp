#include "frontend/postgres/login.hpp"

#ifdef SABLESPUR_AUTH
#include <cstddef>
#include <optional>
#include <utility>

#include "auth/login.hpp"
#include "protocol/postgres/login.hpp"
#include "protocol/postgres2/messages.hpp"
#include "support/secret.hpp"
#endif

namespace sablespur {

#ifdef SABLESPUR_AUTH
namespace {

constexpr std::size_t kNonceBytes = 18;  // of randomness, before Base64
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kMd5SaltBytes = 4;

// A login by any of the password methods, in protocol version 2 or 3.
class PasswordLogin final : public Login {
 public:
  PasswordLogin(auth::ServerAuthenticator authenticator, bool version2)
      : authenticator_(std::move(authenticator)), version2_(version2) {}

  std::string initialRequest() override {
    const auth::Method method = *authenticator_.method();
    if (method == auth::Method::Cleartext)
      return version2_ ? postgres2::authenticationCleartextPassword()
                       : postgres::authentication(postgres::kAuthCleartext);
    if (method == auth::Method::Md5) {
      const std::string& salt = authenticator_.salt();
      return version2_ ? postgres2::authenticationMd5Password(salt)
                       : postgres::authentication(postgres::kAuthMd5, salt);
    }
    return postgres::saslMechanisms();
  }

  StepResult onResponse(std::string_view message) override {
    const std::optional<std::string_view> response = parseResponse(message);
    if (!response) return {Step::Reject, {}};
    exchangeStarted_ = true;
    return toResult(authenticator_.receive(*response));
  }

  std::function<std::string()> keyDerivation() const override { return authenticator_.saltingWork(); }

  StepResult onKeyDerived(const std::string& result) override {
    return toResult(authenticator_.passwordSalted(result));
  }

 private:
  // Extracts the authenticator's input from a message; std::nullopt if the message is malformed.
  std::optional<std::string_view> parseResponse(std::string_view message) const {
    if (authenticator_.method() != auth::Method::Scram)
      return version2_ ? std::optional(message) : postgres::parsePassword(message);
    return exchangeStarted_ ? std::optional(message) : postgres::parseSaslInitial(message);
  }

  StepResult toResult(auth::AuthenticationStep step) const {
    const std::string& response = authenticator_.response();
    switch (step) {
      case auth::AuthenticationStep::Continue:
        return {Step::Continue, postgres::authentication(postgres::kAuthSaslContinue, response)};
      case auth::AuthenticationStep::Accepted:
        if (response.empty()) return {Step::Accept, {}};
        return {Step::Accept, postgres::authentication(postgres::kAuthSaslFinal, response)};
      case auth::AuthenticationStep::SaltPassword:
        return {Step::DeriveKey, {}};
      case auth::AuthenticationStep::Rejected:
        break;
    }
    return {Step::Reject, {}};
  }

  auth::ServerAuthenticator authenticator_;
  const bool version2_;
  bool exchangeStarted_ = false;
};

// Returns a random nonce of printable characters without a comma (RFC 5802, section 5.1).
std::string newNonce() { return auth::toBase64(randomBytes(kNonceBytes)); }

}  // namespace
#endif

std::unique_ptr<Login> createLogin([[maybe_unused]] const Config& config,
                                   [[maybe_unused]] const auth::Users& users,
                                   [[maybe_unused]] const std::string& user, [[maybe_unused]] bool version2,
                                   std::string& why) {
#ifdef SABLESPUR_AUTH
  static const std::string processSecret = randomBytes(kSecretBytes);
  auth::ServerAuthenticator authenticator(users, user, config.logins, !version2, processSecret, newNonce(),
                                          randomBytes(kMd5SaltBytes));
  if (authenticator.method()) return std::make_unique<PasswordLogin>(std::move(authenticator), version2);
#endif
  why = "no way to log in that this client and this user have in common";
  return nullptr;
}

}  // namespace sablespur
