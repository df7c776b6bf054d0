#include "auth/scram.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <charconv>
#include <vector>

namespace sablespur::auth {
namespace {

const unsigned char* bytes(std::string_view s) { return reinterpret_cast<const unsigned char*>(s.data()); }

std::string hmac(std::string_view key, std::string_view text) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes(text), text.size(), out, &n);
  return {reinterpret_cast<char*>(out), n};
}
std::string digest(const EVP_MD* which, std::string_view text) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  EVP_Digest(text.data(), text.size(), out, &n, which, nullptr);
  return {reinterpret_cast<char*>(out), n};
}
std::string exclusiveOr(std::string a, std::string_view b) {
  for (std::size_t k = 0; k < a.size() && k < b.size(); ++k) a[k] = static_cast<char>(a[k] ^ b[k]);
  return a;
}
std::string hex(std::string_view s) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : s) {
    text.push_back(kDigits[static_cast<unsigned char>(c) >> 4]);
    text.push_back(kDigits[static_cast<unsigned char>(c) & 15]);
  }
  return text;
}

// "a=...,b=..." as it comes: attributes in order.
struct Attribute {
  char name;
  std::string_view value;
};
std::optional<std::vector<Attribute>> attributes(std::string_view text) {
  std::vector<Attribute> all;
  if (text.size() > kMaxScramMessage) return std::nullopt;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    const std::string_view one = text.substr(0, end);
    if (one.size() < 2 || one[1] != '=') return std::nullopt;
    all.push_back({one[0], one.substr(2)});
    if (end == text.size()) break;
    text.remove_prefix(end + 1);
    if (text.empty()) return std::nullopt;
  }
  return all;
}
// "=" and "," in names (RFC 5802 section 5.1).
std::string escaped(std::string_view name) {
  std::string out;
  for (const char c : name) out += c == '=' ? "=3D" : c == ',' ? "=2C" : std::string(1, c);
  return out;
}
bool printable(std::string_view nonce) {
  for (const char c : nonce)
    if (c < 0x21 || c > 0x7e || c == ',') return false;
  return !nonce.empty();
}

}  // namespace

bool sameSecret(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string toBase64(std::string_view s) {
  std::string out((s.size() + 2) / 3 * 4 + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()), bytes(s), static_cast<int>(s.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}
std::optional<std::string> fromBase64(std::string_view s) {
  if (s.size() % 4 != 0 || s.size() > kMaxScramMessage) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && padding < s.size() && s[s.size() - 1 - padding] == '=') ++padding;
  for (const char c : s.substr(0, s.size() - padding))
    if (!((c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '+' || c == '/'))
      return std::nullopt;
  std::string out(s.size() / 4 * 3, '\0');
  if (EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()), bytes(s), static_cast<int>(s.size())) < 0)
    return std::nullopt;
  out.resize(out.size() - padding);
  return out;
}

std::string saltPassword(std::string_view password, std::string_view salt, std::uint32_t iterations) {
  unsigned char out[kKeySize];
  PKCS5_PBKDF2_HMAC(password.data(), static_cast<int>(password.size()), bytes(salt),
                    static_cast<int>(salt.size()), static_cast<int>(iterations), EVP_sha256(), sizeof out,
                    out);
  return {reinterpret_cast<char*>(out), sizeof out};
}

std::string Verifier::text() const {
  return std::string(kScramMechanism) + "$" + std::to_string(iterations) + ":" + toBase64(salt) + "$" +
         toBase64(storedKey) + ":" + toBase64(serverKey);
}

Verifier makeVerifier(std::string_view password, std::string_view salt, std::uint32_t iterations) {
  const std::string salted = saltPassword(password, salt, iterations);
  return {std::string(salt), digest(EVP_sha256(), hmac(salted, "Client Key")), hmac(salted, "Server Key"),
          iterations};
}

std::optional<Verifier> parseVerifier(std::string_view text) {
  const std::string_view prefix = "SCRAM-SHA-256$";
  if (text.substr(0, prefix.size()) != prefix) return std::nullopt;
  text.remove_prefix(prefix.size());
  const std::size_t colon = text.find(':'), dollar = text.find('$'), last = text.rfind(':');
  if (colon == std::string_view::npos || dollar == std::string_view::npos || last <= dollar || colon > dollar)
    return std::nullopt;
  Verifier v;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + colon, v.iterations);
  const auto salt = fromBase64(text.substr(colon + 1, dollar - colon - 1));
  const auto stored = fromBase64(text.substr(dollar + 1, last - dollar - 1)),
             server = fromBase64(text.substr(last + 1));
  if (error != std::errc() || stop != text.data() + colon || v.iterations < kMinIterations ||
      v.iterations > kMaxIterations || !salt || salt->empty() || !stored || stored->size() != kKeySize ||
      !server || server->size() != kKeySize)
    return std::nullopt;
  v.salt = *salt;
  v.storedKey = *stored;
  v.serverKey = *server;
  return v;
}

// ---- the side that logs in
std::string ScramClient::first() const {
  // No channel binding: there is no TLS below. PostgreSQL takes the name from the startup, not from here.
  return "n,,n=" + escaped(user_) + ",r=" + nonce_;
}

std::optional<ScramClient::Challenge> ScramClient::readChallenge(std::string_view serverFirst,
                                                                 std::string& why) {
  const auto a = attributes(serverFirst);
  const auto wrong = [&](const char* what) {
    why = what;
    return std::nullopt;
  };
  if (!a || a->size() < 3 || (*a)[0].name != 'r' || (*a)[1].name != 's' || (*a)[2].name != 'i')
    return wrong("a malformed challenge");
  const std::string_view nonce = (*a)[0].value;
  // What comes back has to begin with our own, and bring some of the server's: guards against replays.
  if (nonce.size() <= nonce_.size() || nonce.substr(0, nonce_.size()) != nonce_ || !printable(nonce))
    return wrong("a nonce that is not ours");
  Challenge c;
  const auto salt = fromBase64((*a)[1].value);
  const std::string_view count = (*a)[2].value;
  const auto [stop, error] = std::from_chars(count.data(), count.data() + count.size(), c.iterations);
  if (!salt || salt->empty() || error != std::errc() || stop != count.data() + count.size())
    return wrong("a malformed challenge");
  if (c.iterations < kMinIterations || c.iterations > kMaxIterations)
    return wrong("an iteration count out of range");
  c.salt = *salt;
  firstBare_ = "n=" + escaped(user_) + ",r=" + nonce_;
  serverFirst_ = std::string(serverFirst);
  combinedNonce_ = std::string(nonce);
  return c;
}

std::string ScramClient::final(std::string_view salted) {
  const std::string without = "c=biws,r=" + combinedNonce_;  // base64 of "n,,"
  const std::string auth = firstBare_ + "," + serverFirst_ + "," + without;
  const std::string clientKey = hmac(salted, "Client Key");
  const std::string proof = exclusiveOr(clientKey, hmac(digest(EVP_sha256(), clientKey), auth));
  serverSignature_ = hmac(hmac(salted, "Server Key"), auth);
  return without + ",p=" + toBase64(proof);
}

bool ScramClient::verify(std::string_view serverFinal, std::string& why) const {
  const auto a = attributes(serverFinal);
  if (a && !a->empty() && (*a)[0].name == 'e') {
    why = "the server refuses: " + std::string((*a)[0].value.substr(0, 80));
    return false;
  }
  const auto signature = a && !a->empty() && (*a)[0].name == 'v' ? fromBase64((*a)[0].value) : std::nullopt;
  if (!serverSignature_.empty() && signature && sameSecret(*signature, serverSignature_)) return true;
  why = "the server's signature is wrong: it does not know the password";
  return false;
}

// ---- the side that lets in
std::optional<std::string> ScramServer::first(std::string_view m, std::string& why) {
  const auto wrong = [&](const char* what) {
    why = what;
    return std::nullopt;
  };
  // gs2 header: "n,," or "y,,"; with an authorization name or channel binding there is nothing here to do.
  if (m.size() > kMaxScramMessage || m.size() < 3) return wrong("a malformed first message");
  if (m[0] == 'p') return wrong("channel binding is not spoken here");
  if ((m[0] != 'n' && m[0] != 'y') || m.substr(1, 2) != ",,") return wrong("a malformed first message");
  gs2Header_ = std::string(m.substr(0, 3));
  const std::string_view bare = m.substr(3);
  const auto a = attributes(bare);
  if (!a || a->size() < 2 || (*a)[0].name != 'n' || (*a)[1].name != 'r' || !printable((*a)[1].value))
    return wrong("a malformed first message");
  clientFirstBare_ = std::string(bare);
  combinedNonce_ = std::string((*a)[1].value) + nonce_;
  serverFirst_ =
      "r=" + combinedNonce_ + ",s=" + toBase64(verifier_.salt) + ",i=" + std::to_string(verifier_.iterations);
  return serverFirst_;
}

std::optional<std::string> ScramServer::final(std::string_view m, std::string& why) {
  const auto wrong = [&](const char* what) {
    why = what;
    return std::nullopt;
  };
  const std::size_t at = m.rfind(",p=");
  const auto a = attributes(m);
  if (serverFirst_.empty() || !a || a->size() < 3 || (*a)[0].name != 'c' || (*a)[1].name != 'r' ||
      at == std::string_view::npos)
    return wrong("a malformed last message");
  if ((*a)[0].value != toBase64(gs2Header_)) return wrong("another binding than at first");
  if ((*a)[1].value != combinedNonce_) return wrong("another nonce than at first");
  const auto proof = fromBase64(m.substr(at + 3));
  if (!proof || proof->size() != kKeySize) return wrong("a malformed proof");
  const std::string auth = clientFirstBare_ + "," + serverFirst_ + "," + std::string(m.substr(0, at));
  const std::string clientKey = exclusiveOr(*proof, hmac(verifier_.storedKey, auth));
  if (!sameSecret(digest(EVP_sha256(), clientKey), verifier_.storedKey)) return wrong("a wrong password");
  return "v=" + toBase64(hmac(verifier_.serverKey, auth));
}

std::string md5Stored(std::string_view user, std::string_view password) {
  return "md5" + hex(digest(EVP_md5(), std::string(password) + std::string(user)));
}
std::string md5Answer(std::string_view stored, std::string_view salt) {
  return "md5" + hex(digest(EVP_md5(), std::string(stored.substr(3)) + std::string(salt)));
}

}  // namespace sablespur::auth
