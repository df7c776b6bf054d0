// PostgreSQL startup, login and extended query messages: parses client messages, and converts
// server answers for clients of protocol versions 3 and 2.
#include "protocol/postgres/extended.hpp"

#include <cstdlib>

#include "fuzz/target.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/login.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/startup.hpp"
#include "protocol/postgres2/codec.hpp"
#include "translation/answer.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (const auto s = postgres::parseStartup(text)) {
    const auto reparsed = postgres::parseStartup(postgres::startup(*s));
    if (!reparsed || reparsed->user != s->user || reparsed->settings != s->settings) std::abort();
  }
  if (const auto k = postgres::parseCancel(text); k && postgres::cancel(*k) != text) std::abort();
  if (const auto k = postgres::parseKeyData(text);
      k && std::string_view(postgres::keyData(*k)).substr(postgres::kHeaderSize) != text)
    std::abort();
  if (const auto minor = postgres::parseNegotiate(text); minor && (*minor < 0 || *minor > 0xffff))
    std::abort();
  postgres::parsePassword(text);
  postgres::parseSaslInitial(text);
  postgres::offersScram(text);
  postgres::parseParse(text);
  postgres::parseDescribeTarget(text);
  postgres::parseExecute(text);
  if (const auto b = postgres::parseBind(text)) {
    // Parsing and encoding must round-trip.
    const std::string m = postgres::bindMessage(*b);
    if (std::string_view(m).substr(postgres::kHeaderSize) != text) std::abort();
  }
  const postgres::Codec version3(0);
  const postgres2::Codec version2;
  for (const translation::ClientCodec* codec : {static_cast<const translation::ClientCodec*>(&version3),
                                                static_cast<const translation::ClientCodec*>(&version2)})
    for (const std::int16_t format : {0, 1}) {
      translation::AnswerConverter c(*codec, {translation::ByteaForm::Escape, {format}}, true, 4096, 3);
      const bool ok = postgres::readAnswer(text, c);
      if (!c.failure().empty() && ok) std::abort();
      if (c.take().size() > 4096) std::abort();
    }
  const auto p = postgres::parseErrorReport(text);
  if (!p.code.empty() &&
      postgres::parseErrorReport(std::string_view(version3.errorResponse(p)).substr(postgres::kHeaderSize))
              .code != p.code)
    std::abort();
  return 0;
}
