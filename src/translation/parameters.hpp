// Parameters put into a statement as literals, for servers that are asked by simple queries. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::translation {

// Types by their ids in pg_type, those whose binary form is read here; of others only text is taken.
constexpr std::uint32_t kBool = 16, kBytea = 17, kInt8 = 20, kInt2 = 21, kInt4 = 23, kText = 25, kOid = 26,
                        kFloat4 = 700, kFloat8 = 701, kUnknown = 705, kVarchar = 1043, kUuid = 2950;

struct Parameter {
  std::optional<std::string_view> value;  // nothing: NULL
  std::uint32_t type = 0;                 // 0: not said
  bool binary = false;
};

// The literal that stands for it. Nothing and `why`: a binary form that is not known, or a value that does
// not fit.
std::optional<std::string> literalOf(const Parameter&, std::string& why);

// How many parameters a statement names, its comment included: the greatest $n. Nothing: a $n beyond 65535.
std::optional<std::size_t> countParameters(std::string_view statement, bool backslashes);

// The statement with each $n replaced by its literal; there are at least as many parameters as
// countParameters says. In the last comment, which tells the proxy about the request ("id=$2,c=read"), $n
// stands for the bare text: a prepared statement names each of its runs. Nothing and `why`: a value has no
// literal, or the result would be longer than `most`.
std::optional<std::string> substitute(std::string_view statement, bool backslashes,
                                      const std::vector<Parameter>&, std::size_t most, std::string& why);

}  // namespace sablespur::translation
