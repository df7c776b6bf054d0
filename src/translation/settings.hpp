// Session settings of a client or server that affect translation, given in its startup message or
// by SET. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "translation/terms.hpp"

namespace sablespur::translation {

struct SessionSettings {
  bool backslashes = false;        // are escapes in '...': standard_conforming_strings is off
  std::optional<ByteaForm> bytea;  // bytea_output; std::nullopt: not set
};

// Parses "SET name = value" or "SET SESSION name TO 'value'" into the name, in lower case, and the
// value. std::nullopt for any other statement.
std::optional<std::pair<std::string, std::string>> parseSet(std::string_view statement);

// Applies one setting. Returns the text of the error, or std::nullopt on success. Known settings
// that do not affect translation are accepted and ignored.
std::optional<std::string> apply(SessionSettings&, const std::string& name, const std::string& value);

// Applies the settings in the `options` of a startup message ("-c name=value --name=value") in
// order. Returns the text of the first error, or std::nullopt on success.
std::optional<std::string> applyOptions(SessionSettings&, std::string_view options);

}  // namespace sablespur::translation
