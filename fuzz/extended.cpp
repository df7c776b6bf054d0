// Startups, logins and the extended sub-protocol: what clients send, and answers as they are read and written
// again.
#include "protocol/postgres/extended.hpp"

#include <cstdlib>

#include "fuzz/target.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/login.hpp"
#include "protocol/postgres/pg.hpp"
#include "protocol/postgres/startup.hpp"
#include "protocol/postgres2/codec.hpp"
#include "translation/answer.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (const auto s = pg::parseStartup(text)) {
    const auto again = pg::parseStartup(pg::startup(*s));
    if (!again || again->user != s->user || again->settings != s->settings) std::abort();
  }
  if (const auto k = pg::parseCancel(text); k && pg::cancel(*k) != text) std::abort();
  if (const auto k = pg::parseKeyData(text); k && std::string_view(pg::keyData(*k)).substr(pg::kHead) != text)
    std::abort();
  if (const auto minor = pg::parseNegotiate(text); minor && (*minor < 0 || *minor > 0xffff)) std::abort();
  pg::parsePassword(text);
  pg::parseSaslInitial(text);
  pg::offersScram(text);
  pg::parseParse(text);
  pg::parseTarget(text);
  pg::parseExecute(text);
  if (const auto b = pg::parseBind(text)) {
    const std::string m = pg::bindMessage(*b);
    if (std::string_view(m).substr(pg::kHead) != text) std::abort();  // read back, it is the same
  }
  const pg::Codec three(0);
  const pg2::Codec two;
  for (const translate::ClientCodec* codec :
       {static_cast<const translate::ClientCodec*>(&three), static_cast<const translate::ClientCodec*>(&two)})
    for (const std::int16_t format : {0, 1}) {
      translate::Conversion c(*codec, {translate::ByteaForm::Escape, {format}}, true, 4096, 3);
      const bool good = pg::readAnswer(text, c);
      if (!c.why().empty() && good) std::abort();
      if (c.take().size() > 4096) std::abort();
    }
  const auto p = pg::readProblem(text);
  if (!p.code.empty() && pg::readProblem(std::string_view(three.problem(p)).substr(pg::kHead)).code != p.code)
    std::abort();
  return 0;
}
