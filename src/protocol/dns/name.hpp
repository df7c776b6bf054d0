// Domain names in the presentation form of RFC 1035 section 5.1. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sablespur::dns {

// A domain name in canonical form as written by ldns: lower case, escaped, with a trailing dot.
// Names are equal if and only if their texts are. The label of a service instance may hold any
// bytes (RFC 6763 section 4.1.1).
using Name = std::string;

// Returns the canonical form of `text`; std::nullopt if it is not a valid name: a label is empty or
// longer than 63 bytes, or the name is longer than 255 bytes.
std::optional<Name> parseName(std::string_view text);
// Returns the name of a service instance from its unescaped label and the name of the service;
// std::nullopt if the result is not a valid name.
std::optional<Name> instanceName(std::string_view label, const Name& service);
// Returns the first label, unescaped.
std::string firstLabel(const Name& name);
// Whether `name` is `domain` or a subdomain of it.
bool isWithin(const Name& name, const Name& domain);

}  // namespace sablespur::dns
