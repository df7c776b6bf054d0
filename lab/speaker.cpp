#include "lab/speaker.hpp"

#include <cstdlib>
#include <map>

#include "auth/scram.hpp"
#include "protocol/postgres/extended.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/startup.hpp"
#include "protocol/postgres2/messages.hpp"
#include "protocol/postgres2/server_message_reader.hpp"

namespace sablespur::lab {
namespace {

std::string withType(char type, std::string_view body) { return postgres::message(type, body); }

}  // namespace

struct ClientProtocol::Login {
  auth::ScramClient scram;
  bool verified = false;
};

std::optional<Version> versionOf(std::string_view text) {
  if (text == "2.0") return Version::V20;
  if (text == "3.0") return Version::V30;
  if (text == "3.2") return Version::V32;
  return std::nullopt;
}

std::string ClientProtocol::startupMessage() const {
  if (version_ == Version::V20)
    return postgres2::startup({postgres2::kVersion, who_.database, who_.user, who_.options});
  postgres::Startup s;
  s.minor = version_ == Version::V32 ? 2 : 0;
  s.user = who_.user;
  s.database = who_.database;
  s.settings = who_.settings;
  if (!who_.options.empty()) s.settings.emplace_back("options", who_.options);
  return postgres::startup(s);
}
std::string ClientProtocol::query(std::string_view statement) const {
  return version_ == Version::V20 ? postgres2::query(statement) : postgres::query(statement);
}
std::string ClientProtocol::extended(std::string_view statement, const std::vector<Bound>& bound,
                                     bool binaryResults) const {
  std::vector<std::uint32_t> types;
  postgres::Bind b;
  for (const Bound& p : bound) {
    types.push_back(p.type);
    b.formats.push_back(p.binary ? 1 : 0);
    b.values.push_back(p.value ? std::optional<std::string_view>(*p.value) : std::nullopt);
  }
  if (binaryResults) b.resultFormats = {1};
  return postgres::parseMessage("", statement, types) + postgres::bindMessage(b) +
         postgres::describeMessage({true, ""}) + postgres::executeMessage({"", 0}) + postgres::syncMessage();
}
std::string ClientProtocol::cancel() const { return cancelWith(process_, secret_); }
std::string ClientProtocol::cancelWith(std::uint32_t process, std::string_view secret) const {
  if (version_ == Version::V20) return postgres2::cancel({process, postgres::readInt32(secret.data())});
  return postgres::cancel({process, std::string(secret)});
}

Reply ClientProtocol::takeReply() {
  Reply r = std::move(reply_);
  reply_ = {};
  return r;
}

ClientProtocol::Result ClientProtocol::take(std::string& in, std::string& send) {
  return version_ == Version::V20 ? take2(in, send) : take3(in, send);
}

// Answers an authentication request. Returns false if the request is unsupported or invalid.
bool ClientProtocol::login(std::uint32_t request, std::string_view body, std::string& send) {
  const auto say = [&](const std::string& text) {
    send += version_ == Version::V20 ? postgres2::password(text) : withType('p', text + '\0');
  };
  switch (request) {
    case 0:
      return !login_ || login_->verified;
    case 3:
      say(who_.password);
      return true;
    case 5:
      say(auth::md5Answer(auth::md5Stored(who_.user, who_.password), body.substr(0, 4)));
      return true;
    case 10: {
      if (body.find(auth::kScramMechanism) == std::string_view::npos) return false;
      login_ =
          std::make_shared<Login>(Login{auth::ScramClient("", "standinnonce" + std::to_string(std::rand()))});
      const std::string first = login_->scram.first();
      std::string m = std::string(auth::kScramMechanism) + '\0';
      for (int shift = 24; shift >= 0; shift -= 8) m.push_back(static_cast<char>(first.size() >> shift));
      send += withType('p', m + first);
      return true;
    }
    case 11: {
      const auto c = login_ ? login_->scram.readChallenge(body, why_) : std::nullopt;
      if (!c) return false;
      // The salted password is cached for all connections, so that a burst of logins does not
      // measure the stand-in's own key derivation.
      static std::map<std::string, std::string> salted;
      std::string& known = salted[who_.password + "/" + c->salt + "/" + std::to_string(c->iterations)];
      if (known.empty()) known = auth::saltPassword(who_.password, c->salt, c->iterations);
      send += withType('p', login_->scram.final(known));
      return true;
    }
    case 12:
      return login_ && (login_->verified = login_->scram.verify(body, why_));
    default:
      return false;
  }
}

ClientProtocol::Result ClientProtocol::take2(std::string& in, std::string& send) {
  if (!reader_) reader_ = std::make_shared<postgres2::Reader>();
  auto& reader = *static_cast<postgres2::Reader*>(reader_.get());
  std::size_t size = 0;
  bool bad = false;
  while (const auto m = reader.take(in, size, bad)) {
    in.erase(0, size);
    reply_.seen += m->type;
    if (m->type == 'R' && !login(m->number, m->text, send)) return Result::Broken;
    if (m->type == 'K') {
      process_ = m->key.process;
      secret_.clear();
      for (int shift = 24; shift >= 0; shift -= 8) secret_.push_back(static_cast<char>(m->key.key >> shift));
    }
    if (m->type == 'T') {
      reply_.types.clear();
      for (const auto& c : m->columns) reply_.types.push_back(c.type);
    }
    if (m->type == 'D' || m->type == 'B') reply_.rows.push_back(m->row);
    if (m->type == 'C') reply_.tag = m->text;
    if (m->type == 'E') {
      reply_.error = m->text;
      const std::size_t retry = m->text.find("\nRETRY:  ");
      if (retry != std::string::npos) reply_.retryAfterMs = std::atoi(m->text.c_str() + retry + 9);
    }
    if (m->type == 'Z') return Result::Ready;
  }
  if (bad) why_ = "invalid protocol 2.0 message";
  return bad ? Result::Broken : Result::More;
}

ClientProtocol::Result ClientProtocol::take3(std::string& in, std::string& send) {
  const auto broken = [&](const char* why) {
    why_ = why;
    return Result::Broken;
  };
  for (;;) {
    if (in.size() < 5) return Result::More;
    const std::size_t length = postgres::readInt32(in.data() + 1);
    if (length < 4 || length > (8u << 20)) return broken("invalid message length");
    if (in.size() < 1 + length) return Result::More;
    const char type = in[0];
    const std::string body = in.substr(5, length - 4);
    in.erase(0, 1 + length);
    reply_.seen += type;
    switch (type) {
      case 'R':
        if (body.size() < 4 ||
            !login(postgres::readInt32(body.data()), std::string_view(body).substr(4), send))
          return broken("unsupported or failed authentication request");
        break;
      case 'K': {
        const auto key = postgres::parseKeyData(body);
        if (!key || (version_ == Version::V30 && key->secret.size() != 4))
          return broken("malformed BackendKeyData");
        process_ = key->process;
        secret_ = key->secret;
        break;
      }
      case 'v': {
        const auto minor = postgres::parseNegotiate(body);
        if (!minor) return broken("malformed NegotiateProtocolVersion");
        minor_ = *minor;
        break;
      }
      case 'T': {
        reply_.types.clear();
        columns_ = static_cast<unsigned char>(body[0]) << 8 | static_cast<unsigned char>(body[1]);
        std::size_t at = 2;
        for (std::size_t k = 0; k < columns_; ++k) {
          at = body.find('\0', at);
          if (at == std::string::npos || body.size() < at + 19) return broken("malformed RowDescription");
          reply_.types.push_back(postgres::readInt32(body.data() + at + 7));
          at += 19;
        }
        break;
      }
      case 'D': {
        if (body.size() < 2) return broken("malformed DataRow");
        const std::size_t n = static_cast<unsigned char>(body[0]) << 8 | static_cast<unsigned char>(body[1]);
        std::vector<std::optional<std::string>> row;
        std::size_t at = 2;
        for (std::size_t k = 0; k < n; ++k) {
          if (body.size() < at + 4) return broken("malformed DataRow");
          const std::uint32_t size = postgres::readInt32(body.data() + at);
          at += 4;
          if (size == 0xffffffff) {
            row.emplace_back();
            continue;
          }
          if (size > body.size() - at) return broken("malformed DataRow");
          row.emplace_back(body.substr(at, size));
          at += size;
        }
        reply_.rows.push_back(std::move(row));
        break;
      }
      case 'C':
        reply_.tag = body.c_str();
        break;
      case 'E':
        for (std::size_t at = 0; at < body.size() && body[at] != '\0';) {
          const char field = body[at];
          const std::string text = body.c_str() + at + 1;
          at += text.size() + 2;
          reply_.fields += field;
          if (field == 'C') reply_.code = text;
          if (field == 'M') reply_.error = text;
          if (field == 'D' && !text.empty() && text.find_first_not_of("0123456789") == std::string::npos)
            reply_.retryAfterMs = std::atoi(text.c_str());
        }
        break;
      case 'Z':
        return Result::Ready;
      default:
        if (std::string_view("SNI123nst").find(type) == std::string_view::npos)
          return broken("message type unknown in protocol 3.0");
    }
  }
}

}  // namespace sablespur::lab
