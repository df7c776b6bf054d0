#include "lab/generation.hpp"

#include "auth/scram.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/login.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/startup.hpp"
#include "translation/values.hpp"

namespace sablespur::lab {
namespace {

constexpr const char* kSalt = "0123456789abcdef";

}  // namespace

struct ServerProtocol::Scram {
  auth::ScramServer server;
};

std::optional<ServerGeneration> serverGenerationOf(std::string_view name) {
  if (name == "plain") return ServerGeneration{};
  if (name == "old") return ServerGeneration{"old", 0, true, true, "md5", false};
  if (name == "modern") return ServerGeneration{"modern", 2, false, false, "scram", true};
  return std::nullopt;
}

ServerProtocol::ServerProtocol(const ServerGeneration& g, std::uint32_t number)
    : generation_(g), number_(number), nonce_("standin" + std::to_string(number)) {}
ServerProtocol::~ServerProtocol() = default;

std::string ServerProtocol::greeting() const {
  std::string m = postgres::authentication(postgres::kAuthOk);
  m += postgres::parameterStatus("server_version", generation_.backslashes ? "8.4.22"
                                                   : generation_.minor > 0 ? "18.1"
                                                                           : "12.4");
  m += postgres::parameterStatus("client_encoding", "UTF8");
  m += postgres::parameterStatus("standard_conforming_strings", generation_.backslashes ? "off" : "on");
  if (generation_.chatty)
    m += postgres::parameterStatus("search_path", "\"$user\", public");  // reported since 18
  m += postgres::keyData({number_, std::string(generation_.minor > 0 ? 32 : 4, 'k')});
  return m + postgres::readyForQuery();
}

ServerProtocol::Result ServerProtocol::take(std::string& in, std::string& send) {
  if (!started_) {
    if (in.size() < 8 || in.size() < postgres::readInt32(in.data())) return Result::More;
    const std::string packet = in.substr(0, postgres::readInt32(in.data()));
    in.erase(0, packet.size());
    if (const auto key = postgres::parseCancel(packet)) {
      cancelled_ = key->process;
      const bool right = key->secret == std::string(generation_.minor > 0 ? 32 : 4, 'k');
      return right ? Result::Cancel : Result::Out;
    }
    const auto hello = postgres::parseStartup(packet);
    if (!hello) return Result::Out;
    started_ = true;
    askedMinor_ = hello->minor;
    if (hello->minor > generation_.minor) send += postgres::negotiate(generation_.minor, {});
    if (generation_.login.empty()) {
      send += greeting();
      return Result::In;
    }
    if (hello->user != kInnerUser) return Result::Out;
    send += generation_.login == "scram" ? postgres::saslMechanisms()
            : generation_.login == "md5" ? postgres::authentication(postgres::kAuthMd5, "salt")
                                         : postgres::authentication(postgres::kAuthCleartext);
  }
  if (in.size() < 5 || in.size() < 1 + postgres::readInt32(in.data() + 1)) return Result::More;
  const std::size_t length = postgres::readInt32(in.data() + 1);
  const char type = in[0];
  const std::string body = in.substr(5, length - 4);
  in.erase(0, 1 + length);
  Result got = Result::More;
  if (!login(type, body, send, got)) {
    send += postgres::error("FATAL", "28P01", "password authentication failed");
    return Result::Out;
  }
  if (got == Result::In) send += greeting();
  return got;
}

bool ServerProtocol::login(char type, const std::string& body, std::string& send, Result& got) {
  if (type != 'p') return false;
  if (generation_.login == "cleartext" || generation_.login == "md5") {
    const std::string wanted = generation_.login == "md5"
                                   ? auth::md5Answer(auth::md5Stored(kInnerUser, kInnerPassword), "salt")
                                   : std::string(kInnerPassword);
    got = Result::In;
    return body == wanted + '\0';
  }
  std::string why;
  if (!scram_) {
    static const auth::Verifier verifier = auth::makeVerifier(kInnerPassword, kSalt, 4096);
    scram_ = std::make_unique<Scram>(Scram{auth::ScramServer(verifier, nonce_)});
    const auto initial = postgres::parseSaslInitial(body);
    const auto first = initial ? scram_->server.first(*initial, why) : std::nullopt;
    if (first) send += postgres::authentication(postgres::kAuthSaslContinue, *first);
    return first.has_value();
  }
  const auto last = scram_->server.final(body, why);
  if (!last) return false;
  send += postgres::authentication(postgres::kAuthSaslFinal, *last);
  got = Result::In;
  return true;
}

std::string ServerProtocol::row(std::string_view bytes) const {
  const postgres::Codec codec(generation_.minor);
  const std::string value = translation::writeBytea(
      generation_.escape ? translation::ByteaForm::Escape : translation::ByteaForm::Hex, bytes);
  const std::string size = std::to_string(bytes.size());
  return codec.columns(
             {{"size", 23, 4, -1, false}, {"blob", 17, -1, -1, false}, {"note", 25, -1, -1, false}}) +
         codec.row({std::string_view(size), std::string_view(value), std::nullopt}, false);
}

std::string ServerProtocol::between() const {
  if (!generation_.chatty) return {};
  std::string notice = postgres::error("NOTICE", "01000", "the weather is fine");
  notice[0] = 'N';
  return postgres::parameterStatus("in_hot_standby", "on") + notice;
}

std::string ServerProtocol::problem(const char* code, const char* text) const {
  translation::ErrorReport p;
  p.code = code;
  p.text = text;
  if (generation_.chatty) {
    p.schema = "public";
    p.table = "rows";
    p.constraint = "rows_pkey";
  }
  return postgres::Codec(generation_.chatty ? 2 : 0).errorResponse(p);
}

std::optional<std::string> ServerProtocol::literal(std::string_view s, std::size_t at) const {
  const bool escape = at < s.size() && (s[at] == 'E' || s[at] == 'e');
  if (escape) ++at;
  if (at >= s.size() || s[at] != '\'') return std::nullopt;
  std::string text;
  for (++at; at < s.size(); ++at) {
    if (s[at] == '\\' && (escape || generation_.backslashes)) {
      if (++at < s.size()) text.push_back(s[at]);
    } else if (s[at] == '\'') {
      if (at + 1 >= s.size() || s[at + 1] != '\'') return text;
      text.push_back(s[at++]);
    } else {
      text.push_back(s[at]);
    }
  }
  return std::nullopt;
}

std::string bytesOf(std::string_view id, std::size_t size) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const unsigned char c : id) h = (h ^ c) * 0x100000001b3ull;
  std::string bytes(size, '\0');
  for (std::size_t k = 0; k < size; ++k) {
    h = h * 6364136223846793005ull + 1442695040888963407ull;
    bytes[k] = static_cast<char>(h >> 56);
  }
  return bytes;
}
std::string textOf(std::string_view id) { return "it's a \\ and \\' for " + std::string(id); }

}  // namespace sablespur::lab
