#include "auth/scram.hpp"

#include <algorithm>
#include <charconv>
#include <vector>

#include "auth/digest.hpp"
#include "support/secret.hpp"

namespace sablespur::auth {
namespace {

constexpr std::size_t kGs2HeaderLength = 3;  // "n,," or "y,,"
constexpr std::size_t kMaxServerError = 80;  // bytes of the server's text that `why` quotes

std::string exclusiveOr(std::string a, std::string_view b) {
  for (std::size_t k = 0; k < a.size() && k < b.size(); ++k) a[k] = static_cast<char>(a[k] ^ b[k]);
  return a;
}

// One "name=value" attribute of a message.
struct Attribute {
  char name;
  std::string_view value;
};
using Attributes = std::vector<Attribute>;

// Returns the attributes of a message in order, or std::nullopt if it is malformed or too long.
std::optional<Attributes> parseAttributes(std::string_view text) {
  Attributes attributes;
  if (text.size() > kMaxScramMessage) return std::nullopt;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    const std::string_view attribute = text.substr(0, end);
    if (attribute.size() < 2 || attribute[1] != '=') return std::nullopt;
    attributes.push_back({attribute[0], attribute.substr(2)});
    if (end == text.size()) break;
    text.remove_prefix(end + 1);
    if (text.empty()) return std::nullopt;
  }
  return attributes;
}

// Returns whether the message begins with attributes of these names.
bool beginsWith(const std::optional<Attributes>& attributes, std::string_view names) {
  if (!attributes || attributes->size() < names.size()) return false;
  for (std::size_t k = 0; k < names.size(); ++k)
    if ((*attributes)[k].name != names[k]) return false;
  return true;
}

// Escapes "=" and "," in a user name (RFC 5802 section 5.1).
std::string escaped(std::string_view name) {
  std::string out;
  for (const char c : name) {
    if (c == '=')
      out += "=3D";
    else if (c == ',')
      out += "=2C";
    else
      out += c;
  }
  return out;
}

bool isNonce(std::string_view text) {
  const auto printable = [](char c) { return c >= 0x21 && c <= 0x7e && c != ','; };
  return !text.empty() && std::all_of(text.begin(), text.end(), printable);
}

std::nullopt_t fail(std::string& why, const char* reason) {
  why = reason;
  return std::nullopt;
}

}  // namespace

std::string ScramClient::firstBare() const { return "n=" + escaped(user_) + ",r=" + nonce_; }

std::string ScramClient::first() const {
  // "n,,": no channel binding, as the connection has no TLS.
  return "n,," + firstBare();
}

std::optional<ScramClient::Challenge> ScramClient::readChallenge(std::string_view serverFirst,
                                                                 std::string& why) {
  const auto attributes = parseAttributes(serverFirst);
  if (!beginsWith(attributes, "rsi")) return fail(why, "a malformed challenge");
  const std::string_view nonce = (*attributes)[0].value;
  const std::string_view count = (*attributes)[2].value;
  // The nonce has to extend the client's nonce, which protects against replays.
  if (nonce.size() <= nonce_.size() || nonce.substr(0, nonce_.size()) != nonce_ || !isNonce(nonce))
    return fail(why, "a nonce that is not ours");
  Challenge challenge;
  const auto salt = fromBase64((*attributes)[1].value);
  const char* const countEnd = count.data() + count.size();
  const auto [stop, error] = std::from_chars(count.data(), countEnd, challenge.iterations);
  if (!salt || salt->empty() || error != std::errc() || stop != countEnd)
    return fail(why, "a malformed challenge");
  if (challenge.iterations < kMinIterations || challenge.iterations > kMaxIterations)
    return fail(why, "an iteration count out of range");
  challenge.salt = *salt;
  serverFirst_ = std::string(serverFirst);
  combinedNonce_ = std::string(nonce);
  return challenge;
}

std::string ScramClient::final(std::string_view saltedPassword) {
  const std::string withoutProof = "c=biws,r=" + combinedNonce_;  // "biws" is "n,," in base64
  const std::string authMessage = firstBare() + "," + serverFirst_ + "," + withoutProof;
  const std::string clientKey = hmacSha256(saltedPassword, "Client Key");
  const std::string proof = exclusiveOr(clientKey, hmacSha256(sha256(clientKey), authMessage));
  serverSignature_ = hmacSha256(hmacSha256(saltedPassword, "Server Key"), authMessage);
  return withoutProof + ",p=" + toBase64(proof);
}

bool ScramClient::verify(std::string_view serverFinal, std::string& why) const {
  const auto attributes = parseAttributes(serverFinal);
  if (beginsWith(attributes, "e")) {
    why = "the server rejected the login: " + std::string((*attributes)[0].value.substr(0, kMaxServerError));
    return false;
  }
  const auto signature = beginsWith(attributes, "v") ? fromBase64((*attributes)[0].value) : std::nullopt;
  if (!serverSignature_.empty() && signature && sameSecret(*signature, serverSignature_)) return true;
  why = "the server's signature is wrong: it does not know the password";
  return false;
}

std::optional<std::string> ScramServer::first(std::string_view clientFirst, std::string& why) {
  if (clientFirst.size() > kMaxScramMessage || clientFirst.size() < kGs2HeaderLength)
    return fail(why, "a malformed first message");
  const char binding = clientFirst[0];
  if (binding == 'p') return fail(why, "channel binding is not supported");
  // The field between the commas is an authorization name, which PostgreSQL does not accept either.
  if ((binding != 'n' && binding != 'y') || clientFirst.substr(1, 2) != ",,")
    return fail(why, "a malformed first message");
  gs2Header_ = std::string(clientFirst.substr(0, kGs2HeaderLength));
  const std::string_view bare = clientFirst.substr(kGs2HeaderLength);
  const auto attributes = parseAttributes(bare);
  if (!beginsWith(attributes, "nr") || !isNonce((*attributes)[1].value))
    return fail(why, "a malformed first message");
  clientFirstBare_ = std::string(bare);
  combinedNonce_ = std::string((*attributes)[1].value) + nonce_;
  serverFirst_ =
      "r=" + combinedNonce_ + ",s=" + toBase64(verifier_.salt) + ",i=" + std::to_string(verifier_.iterations);
  return serverFirst_;
}

std::optional<std::string> ScramServer::final(std::string_view clientFinal, std::string& why) {
  constexpr std::string_view kProof = ",p=";
  const std::size_t proofStart = clientFinal.rfind(kProof);
  const auto attributes = parseAttributes(clientFinal);
  if (serverFirst_.empty() || !beginsWith(attributes, "cr") || attributes->size() < 3 ||
      proofStart == std::string_view::npos)
    return fail(why, "a malformed final message");
  if ((*attributes)[0].value != toBase64(gs2Header_))
    return fail(why, "the channel binding differs from the first message");
  if ((*attributes)[1].value != combinedNonce_) return fail(why, "the nonce differs from the first message");
  const auto proof = fromBase64(clientFinal.substr(proofStart + kProof.size()));
  if (!proof || proof->size() != kKeySize) return fail(why, "a malformed proof");
  const std::string withoutProof(clientFinal.substr(0, proofStart));
  const std::string authMessage = clientFirstBare_ + "," + serverFirst_ + "," + withoutProof;
  const std::string clientKey = exclusiveOr(*proof, hmacSha256(verifier_.storedKey, authMessage));
  if (!sameSecret(sha256(clientKey), verifier_.storedKey)) return fail(why, "a wrong password");
  return "v=" + toBase64(hmacSha256(verifier_.serverKey, authMessage));
}

}  // namespace sablespur::auth
