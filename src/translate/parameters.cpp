#include "translate/parameters.hpp"

#include <charconv>
#include <cmath>
#include <cstring>

#include "translate/scanner.hpp"
#include "translate/values.hpp"

namespace sablespur::translate {
namespace {

constexpr std::size_t kMostParameters = 65535;

// An integer in network order, of as many bytes as it has.
std::optional<std::int64_t> integer(std::string_view bytes, std::size_t size) {
  if (bytes.size() != size) return std::nullopt;
  std::uint64_t v = 0;
  for (const char c : bytes) v = v << 8 | static_cast<unsigned char>(c);
  const unsigned unused = static_cast<unsigned>(64 - 8 * size);
  return static_cast<std::int64_t>(v << unused) >> unused;
}

// Negative numbers stand in parentheses: a minus before them would make a comment of two.
std::string numeral(const std::string& digits) { return digits[0] == '-' ? "(" + digits + ")" : digits; }

template <typename Float, typename Bits>
std::optional<std::string> floating(std::string_view bytes) {
  const auto v = integer(bytes, sizeof(Bits));
  if (!v) return std::nullopt;
  const auto bits = static_cast<Bits>(*v);
  Float f;
  std::memcpy(&f, &bits, sizeof f);
  if (std::isnan(f)) return "'NaN'::float8";
  if (std::isinf(f)) return f > 0 ? "'Infinity'::float8" : "'-Infinity'::float8";
  char text[64];
  const auto [end, error] = std::to_chars(text, text + sizeof text, f);
  return error == std::errc() ? std::make_optional(numeral(std::string(text, end))) : std::nullopt;
}

std::optional<std::string> binary(std::string_view bytes, std::uint32_t type) {
  switch (type) {
    case kBool:
      if (bytes.size() != 1) return std::nullopt;
      return bytes[0] != 0 ? "true" : "false";
    case kBytea:
      return byteaLiteral(bytes);
    case kInt2:
    case kInt4:
    case kInt8: {
      const auto v = integer(bytes, type == kInt2 ? 2 : type == kInt4 ? 4 : 8);
      return v ? std::make_optional(numeral(std::to_string(*v))) : std::nullopt;
    }
    case kOid: {
      const auto v = integer(bytes, 4);
      return v ? std::make_optional(std::to_string(static_cast<std::uint32_t>(*v))) : std::nullopt;
    }
    case kFloat4:
      return floating<float, std::uint32_t>(bytes);
    case kFloat8:
      return floating<double, std::uint64_t>(bytes);
    case kText:
    case kVarchar:
      return quoteLiteral(bytes);
    case kUuid: {
      if (bytes.size() != 16) return std::nullopt;
      std::string text = writeBytea(ByteaForm::Hex, bytes).substr(2);
      for (const std::size_t at : {20, 16, 12, 8}) text.insert(at, "-");
      return "'" + text + "'::uuid";
    }
    default:
      return std::nullopt;
  }
}

std::optional<std::size_t> indexOf(std::string_view piece) {
  std::size_t n = 0;
  const auto [stop, error] = std::from_chars(piece.data() + 1, piece.data() + piece.size(), n);
  return error == std::errc() && stop == piece.data() + piece.size() && n > 0 && n <= kMostParameters
             ? std::make_optional(n)
             : std::nullopt;
}

}  // namespace

std::optional<std::string> literalOf(const Parameter& p, std::string& why) {
  if (!p.value) return "NULL";
  if (p.binary) {
    const auto literal = binary(*p.value, p.type);
    if (!literal)
      why = p.type == 0 ? "a binary parameter whose type was not said"
                        : "a binary parameter of type " + std::to_string(p.type) + " that cannot be read";
    return literal;
  }
  const auto literal = quoteLiteral(*p.value);
  if (!literal) why = "a parameter with a NUL";
  return literal;
}

std::optional<std::size_t> countParameters(std::string_view statement, bool backslashes) {
  std::size_t most = 0;
  Scanner scanner(statement, backslashes);
  std::string_view piece;
  for (Token t; (t = scanner.next(piece)) != Token::End;) {
    if (t != Token::Parameter) continue;
    const auto n = indexOf(piece);
    if (!n) return std::nullopt;
    most = std::max(most, *n);
  }
  return most;
}

std::optional<std::string> substitute(std::string_view statement, bool backslashes,
                                      const std::vector<std::string>& literals, std::size_t most) {
  std::string out;
  Scanner scanner(statement, backslashes);
  std::string_view piece;
  for (Token t; (t = scanner.next(piece)) != Token::End;) {
    const auto n = t == Token::Parameter ? indexOf(piece) : std::nullopt;
    const std::string_view with = n && *n <= literals.size() ? std::string_view(literals[*n - 1]) : piece;
    if (out.size() + with.size() > most) return std::nullopt;
    out.append(with);
  }
  return out;
}

}  // namespace sablespur::translate
