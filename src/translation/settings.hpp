// What a side says of itself: in its startup, or by SET. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "translation/terms.hpp"

namespace sablespur::translation {

struct SessionSettings {
  bool backslashes = false;        // they escape in '...': standard_conforming_strings is off
  std::optional<ByteaForm> bytea;  // bytea_output; nothing: not said
};

// "SET name = value", "SET SESSION name TO 'value'"; names in lower case. Nothing: it is no such statement.
std::optional<std::pair<std::string, std::string>> parseSet(std::string_view statement);

// Takes a setting over. What is wrong with it, or nothing; what is known and changes nothing here is taken as
// well.
std::optional<std::string> apply(SessionSettings&, const std::string& name, const std::string& value);

// "-c name=value --name=value" of a startup's options, taken over in order.
std::optional<std::string> applyOptions(SessionSettings&, std::string_view options);

}  // namespace sablespur::translation
