#include "backend/postgres/login.hpp"

#ifdef SABLESPUR_AUTH
#include <optional>

#include "auth/login.hpp"
#include "protocol/postgres/login.hpp"
#include "support/secret.hpp"
#endif

namespace sablespur {

#ifdef SABLESPUR_AUTH
namespace {

class ByPassword final : public ServerLogin {
 public:
  explicit ByPassword(const Config& c)
      : guest_(c.serverUser, c.serverPassword, c.serverLogins, auth::toBase64(randomBytes(18))) {}

  Said request(std::uint32_t code, std::string_view data) override {
    std::string why;
    switch (code) {
      case postgres::kAuthCleartext:
        if (!guest_.allows(auth::Method::Cleartext))
          return {Next::Out, {}, "it wants the password in cleartext"};
        return {Next::Send, postgres::passwordMessage(guest_.cleartext()), {}};
      case postgres::kAuthMd5:
        if (!guest_.allows(auth::Method::Md5) || data.size() != 4) return {Next::Out, {}, "it wants MD5"};
        return {Next::Send, postgres::passwordMessage(guest_.md5(data)), {}};
      case postgres::kAuthSasl:
        if (!guest_.allows(auth::Method::Scram) || !postgres::offersScram(data))
          return {Next::Out, {}, "it offers no SASL mechanism that is allowed here"};
        return {Next::Send, postgres::saslInitialResponse(guest_.scramFirst()), {}};
      case postgres::kAuthSaslContinue:
        challenge_ = guest_.readChallenge(data, why);
        return challenge_ ? Said{Next::Salt, {}, {}} : Said{Next::Out, {}, why};
      case postgres::kAuthSaslFinal:
        return guest_.verifyServer(data, why) ? Said{Next::Wait, {}, {}} : Said{Next::Out, {}, why};
      default:
        return {Next::Out, {}, "it wants a login that is not spoken here: " + std::to_string(code)};
    }
  }
  std::function<std::string()> slow() const override { return guest_.saltingWork(*challenge_); }
  std::string challenge() const override {
    return challenge_ ? std::to_string(challenge_->iterations) + ":" + challenge_->salt : std::string();
  }
  Said salted(const std::string& result) override {
    return {Next::Send, postgres::saslResponse(guest_.scramFinal(result)), {}};
  }
  bool mayEnter() const override { return guest_.serverTrusted(); }

 private:
  auth::ClientAuthenticator guest_;
  std::optional<auth::ScramClient::Challenge> challenge_;
};

}  // namespace
#endif

std::unique_ptr<ServerLogin> openServerLogin([[maybe_unused]] const Config& c) {
#ifdef SABLESPUR_AUTH
  if (!c.serverPassword.empty()) return std::make_unique<ByPassword>(c);
#endif
  return nullptr;
}

}  // namespace sablespur
