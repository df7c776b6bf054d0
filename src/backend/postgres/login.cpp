#include "backend/postgres/login.hpp"

#ifdef SABLESPUR_AUTH
#include <cstddef>
#include <optional>
#include <string>

#include "auth/login.hpp"
#include "protocol/postgres/login.hpp"
#include "support/secret.hpp"
#endif

namespace sablespur {

#ifdef SABLESPUR_AUTH
namespace {

constexpr std::size_t kNonceLength = 18;  // bytes; 24 characters in base64

// Logs in with the password from the settings, by the method that the server requests if the
// settings allow it.
class PasswordLogin final : public ServerLogin {
 public:
  explicit PasswordLogin(const Config& c)
      : client_(c.serverUser, c.serverPassword, c.serverLogins, auth::toBase64(randomBytes(kNonceLength))) {}

  Step request(std::uint32_t code, std::string_view data) override {
    std::string why;
    switch (code) {
      case postgres::kAuthCleartext:
        if (!client_.allows(auth::Method::Cleartext))
          return {Action::Fail, {}, "it wants the password in cleartext"};
        return {Action::Send, postgres::passwordMessage(client_.cleartext()), {}};
      case postgres::kAuthMd5:
        if (!client_.allows(auth::Method::Md5) || data.size() != 4) return {Action::Fail, {}, "it wants MD5"};
        return {Action::Send, postgres::passwordMessage(client_.md5(data)), {}};
      case postgres::kAuthSasl:
        if (!client_.allows(auth::Method::Scram) || !postgres::offersScram(data))
          return {Action::Fail, {}, "it offers no SASL mechanism that is allowed here"};
        return {Action::Send, postgres::saslInitialResponse(client_.scramFirst()), {}};
      case postgres::kAuthSaslContinue:
        challenge_ = client_.readChallenge(data, why);
        return challenge_ ? Step{Action::DeriveKey, {}, {}} : Step{Action::Fail, {}, why};
      case postgres::kAuthSaslFinal:
        return client_.verifyServer(data, why) ? Step{Action::Wait, {}, {}} : Step{Action::Fail, {}, why};
      default:
        return {Action::Fail, {}, "it wants a login that is not spoken here: " + std::to_string(code)};
    }
  }
  std::function<std::string()> keyDerivation() const override { return client_.saltingWork(*challenge_); }
  std::string challenge() const override {
    return challenge_ ? std::to_string(challenge_->iterations) + ":" + challenge_->salt : std::string();
  }
  Step keyDerived(const std::string& result) override {
    return {Action::Send, postgres::saslResponse(client_.scramFinal(result)), {}};
  }
  bool acceptsAuthenticationOk() const override { return client_.serverTrusted(); }

 private:
  auth::ClientAuthenticator client_;
  std::optional<auth::ScramClient::Challenge> challenge_;
};

}  // namespace
#endif

std::unique_ptr<ServerLogin> openServerLogin([[maybe_unused]] const Config& c) {
#ifdef SABLESPUR_AUTH
  if (!c.serverPassword.empty()) return std::make_unique<PasswordLogin>(c);
#endif
  return nullptr;
}

}  // namespace sablespur
