// Parameters put into a statement as literals, for servers that are asked by simple queries. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::translate {

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

// How many parameters a statement names: the greatest $n. Nothing: a $n beyond 65535.
std::optional<std::size_t> countParameters(std::string_view statement, bool backslashes);

// The statement with each $n replaced; literals.size() is at least what countParameters says. Nothing where
// the result would be longer than `most`.
std::optional<std::string> substitute(std::string_view statement, bool backslashes,
                                      const std::vector<std::string>& literals, std::size_t most);

}  // namespace sablespur::translate
