// Domain names in the presentation form of RFC 1035 section 5.1. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sablespur::dns {

// A name as ldns writes it: lower case, escaped, with the dot at the end. Two names are the same when their
// texts are. The label of a service instance may hold any bytes (RFC 6763 section 4.1.1); firstLabel gives
// them back unescaped.
using Name = std::string;

// The canonical form of `text`; std::nullopt where it is not a name: a label over 63 bytes, a whole over 255,
// or an empty label.
std::optional<Name> parseName(std::string_view text);
// The name of a service instance, from its label, which may hold any bytes, and the name of the service.
std::optional<Name> instanceName(std::string_view label, const Name& service);
// The first label, unescaped.
std::string firstLabel(const Name& name);
// Whether `name` is `domain` or below it.
bool isWithin(const Name& name, const Name& domain);

}  // namespace sablespur::dns
