// Conversion of values and literals between the formats of older and newer servers and clients.
// Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "translation/terms.hpp"

namespace sablespur::translation {

// bytea as text: hex format since PostgreSQL 9.0 ("\x4142"), escape format before ("AB\000",
// backslash doubled); see PostgreSQL's documentation, "Binary Data Types". The setting bytea_output
// selects the format that a server writes; when reading, the prefix "\x" identifies hex.

// Decodes either format; std::nullopt when the text is valid in neither.
std::optional<std::string> readBytea(std::string_view text);
// Returns the length of writeBytea's result without building it.
std::size_t byteaLength(ByteaForm, std::string_view bytes);
std::string writeBytea(ByteaForm, std::string_view bytes);

// Returns a literal that has the same value for either setting of standard_conforming_strings:
// '...', or E'...' when the text contains a backslash. std::nullopt for a text with a NUL, which no
// literal can hold.
std::optional<std::string> quoteLiteral(std::string_view text);
std::string byteaLiteral(std::string_view bytes);

// Rewrites the '...' literals that contain a backslash when backslashes are escapes for only one of
// sender and receiver; everything else stays byte for byte. `fromBackslashes` and `toBackslashes`:
// whether they are escapes for the sender and for the receiver of the statement.
std::string rewriteLiterals(std::string_view statement, bool fromBackslashes, bool toBackslashes);

}  // namespace sablespur::translation
