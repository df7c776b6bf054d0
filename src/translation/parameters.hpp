// Replaces the parameters of a prepared statement by literals, as servers receive simple queries
// only. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::translation {

// OIDs in pg_type of the types whose binary format is supported; parameters of other types must be
// text.
constexpr std::uint32_t kBool = 16, kBytea = 17, kInt8 = 20, kInt2 = 21, kInt4 = 23, kText = 25, kOid = 26,
                        kFloat4 = 700, kFloat8 = 701, kUnknown = 705, kVarchar = 1043, kUuid = 2950;

struct Parameter {
  std::optional<std::string_view> value;  // std::nullopt: NULL
  std::uint32_t type = 0;                 // 0: unspecified
  bool binary = false;
};

// Returns the parameter as a literal. std::nullopt, with the reason in `why`, when the type's
// binary format is not supported or the value is invalid for the type.
std::optional<std::string> literalOf(const Parameter&, std::string& why);

// Returns the highest $n in the statement, its request comment included; std::nullopt when an n is
// 0 or above 65535. `backslashes`: see Scanner.
std::optional<std::size_t> countParameters(std::string_view statement, bool backslashes);

// Returns the statement with each $n replaced by its literal. There must be at least as many
// parameters as countParameters returns. In the request comment, the last /* */ comment
// ("id=$2,c=read"), $n is replaced by the value without quotes, so that each execution of a
// prepared statement can have its own id. std::nullopt, with the reason in `why`, when a value has
// no literal or the result would exceed `maxBytes`.
std::optional<std::string> substitute(std::string_view statement, bool backslashes,
                                      const std::vector<Parameter>&, std::size_t maxBytes, std::string& why);

}  // namespace sablespur::translation
