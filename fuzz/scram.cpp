// Parses SCRAM messages of clients and servers. No input may authenticate, as none is derived from
// the password.
#include "auth/scram.hpp"

#include <cstdlib>

#include "auth/users.hpp"
#include "fuzz/target.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  std::string why;
  auth::ScramClient client("user", "clientnonce");
  if (const auto c = client.readChallenge(text, why); c && c->iterations > auth::kMaxIterations) std::abort();
  client.final("a salted password of thirty-two b");
  if (client.verify(text, why)) std::abort();
  static const auth::Verifier verifier = auth::makeVerifier("pencil", "salt", 1);
  auth::ScramServer server(verifier, "servernonce");
  if (server.first(text, why) && server.final(text, why)) std::abort();
  std::vector<auth::Users::Fault> faults;
  auth::Users::parse(text, faults);
  if (const auto v = auth::parseVerifier(text); v && auth::parseVerifier(v->text())->text() != v->text())
    std::abort();
  if (const auto b = auth::fromBase64(text); b && auth::fromBase64(auth::toBase64(*b)) != *b) std::abort();
  return 0;
}
