// Translates statements and values between server generations: literals, parameters and encodings.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "translation/answer.hpp"
#include "translation/parameters.hpp"
#include "translation/scanner.hpp"
#include "translation/values.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  for (const bool backslashes : {false, true}) {
    translation::Scanner scanner(text, backslashes);
    std::string_view piece;
    std::size_t covered = 0;
    while (scanner.next(piece) != translation::Token::End) {
      if (piece.empty() || piece.data() != text.data() + covered) std::abort();
      covered += piece.size();
    }
    if (covered != size) std::abort();
    // Rewriting literals for the other setting never shortens the text; for the same setting it
    // changes nothing.
    const std::string rewritten = translation::rewriteLiterals(text, backslashes, !backslashes);
    if (translation::rewriteLiterals(text, backslashes, backslashes) != text) std::abort();
    if (rewritten.size() < size) std::abort();
    const auto n = translation::countParameters(text, backslashes);
    if (n && *n < 64) {
      std::string why;
      const std::vector<translation::Parameter> parameters(*n, {std::string_view("it's"), 0, false});
      if (const auto out = translation::substitute(text, backslashes, parameters, 4096, why);
          out && out->size() > 4096)
        std::abort();
    }
  }
  if (const auto bytes = translation::readBytea(text))
    for (const auto form : {translation::ByteaForm::Hex, translation::ByteaForm::Escape})
      if (translation::readBytea(translation::writeBytea(form, *bytes)) != *bytes) std::abort();
  for (const std::uint32_t type : {16u, 17u, 20u, 21u, 23u, 26u, 700u, 701u, 2950u, 1700u}) {
    translation::toBinary(type, text);
    std::string why;
    translation::literalOf({text, type, true}, why);
  }
  return 0;
}
