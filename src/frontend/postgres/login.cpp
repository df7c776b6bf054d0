#include "frontend/postgres/login.hpp"

#ifdef SABLESPUR_AUTH
#include <optional>

#include "auth/login.hpp"
#include "protocol/postgres/login.hpp"
#include "protocol/postgres2/pg2.hpp"
#include "support/secret.hpp"
#endif

namespace sablespur {

#ifdef SABLESPUR_AUTH
namespace {

class ByPassword final : public Login {
 public:
  ByPassword(auth::ServerAuthenticator host, bool version2) : host_(std::move(host)), version2_(version2) {}

  std::string initialRequest() override {
    switch (*host_.method()) {
      case auth::Method::Cleartext:
        return version2_ ? postgres2::askCleartext() : postgres::authentication(postgres::kAuthCleartext);
      case auth::Method::Md5:
        return version2_ ? postgres2::askMd5(host_.salt())
                         : postgres::authentication(postgres::kAuthMd5, host_.salt());
      default:
        break;
    }
    return postgres::saslMechanisms();
  }
  StepResult onResponse(std::string_view message) override {
    std::optional<std::string_view> word = message;
    if (host_.method() == auth::Method::Scram) {
      if (!begun_) word = postgres::parseSaslInitial(message);
    } else if (!version2_) {
      word = postgres::parsePassword(message);
    }
    if (!word) return {Step::Reject, {}};
    begun_ = true;
    return said(host_.receive(*word));
  }
  std::function<std::string()> keyDerivation() const override { return host_.saltingWork(); }
  StepResult onKeyDerived(const std::string& result) override { return said(host_.passwordSalted(result)); }

 private:
  StepResult said(auth::AuthenticationStep n) {
    const std::string& word = host_.response();
    if (n == auth::AuthenticationStep::Continue)
      return {Step::Continue, postgres::authentication(postgres::kAuthSaslContinue, word)};
    if (n == auth::AuthenticationStep::Accepted)
      return {Step::Accept, word.empty() ? "" : postgres::authentication(postgres::kAuthSaslFinal, word)};
    return {n == auth::AuthenticationStep::SaltPassword ? Step::DeriveKey : Step::Reject, {}};
  }
  auth::ServerAuthenticator host_;
  const bool version2_;
  bool begun_ = false;
};

// Printable, without a comma (RFC 5802 section 5.1).
std::string nonce() { return auth::toBase64(randomBytes(18)); }

}  // namespace
#endif

std::unique_ptr<Login> createLogin([[maybe_unused]] const Config& config,
                                   [[maybe_unused]] const auth::Users& users,
                                   [[maybe_unused]] const std::string& user, [[maybe_unused]] bool version2,
                                   std::string& why) {
#ifdef SABLESPUR_AUTH
  static const std::string secret = randomBytes(32);  // of this process
  auth::ServerAuthenticator host(users, user, config.logins, !version2, secret, nonce(), randomBytes(4));
  if (host.method()) return std::make_unique<ByPassword>(std::move(host), version2);
#endif
  why = "no way to log in that this client and this user have in common";
  return nullptr;
}

}  // namespace sablespur
