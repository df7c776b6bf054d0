// Values between the forms that generations of servers and clients write them in. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "translation/terms.hpp"

namespace sablespur::translation {

// bytea as text: hex since 9.0 ("\x4142"), escape before ("AB\000", backslash doubled); PostgreSQL's
// documentation, "Binary Data Types". Servers say which by bytea_output; a value tells its own form by how it
// begins.
std::optional<std::string> readBytea(std::string_view text);  // nothing where the text is in neither form
std::size_t byteaLength(ByteaForm, std::string_view bytes);   // of what writeBytea makes, without making it
std::string writeBytea(ByteaForm, std::string_view bytes);

// A literal that means these characters whatever standard_conforming_strings says: '...', or E'...' where
// there is a backslash. Nothing for a text with a NUL, which no literal can hold.
std::optional<std::string> quoteLiteral(std::string_view text);
std::string byteaLiteral(std::string_view bytes);

// The statement with every '...' rewritten that would mean something else to the other side: where
// backslashes escape on one side only. Everything else stays byte for byte. `fromBackslashes`: they escape
// for who wrote it.
std::string rewriteLiterals(std::string_view statement, bool fromBackslashes, bool toBackslashes);

}  // namespace sablespur::translation
