#include "translation/parameters.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>

#include "translation/scanner.hpp"
#include "translation/values.hpp"

namespace sablespur::translation {
namespace {

constexpr std::size_t kMaxParameters = 65535, kMaxCommentValue = 64;

// Reads a signed big-endian integer of `size` bytes; std::nullopt when the length differs.
std::optional<std::int64_t> parseInteger(std::string_view bytes, std::size_t size) {
  if (bytes.size() != size) return std::nullopt;
  std::uint64_t v = 0;
  for (const char c : bytes) v = v << 8 | static_cast<unsigned char>(c);
  const unsigned unused = static_cast<unsigned>(64 - 8 * size);
  return static_cast<std::int64_t>(v << unused) >> unused;
}

// Puts negative numbers in parentheses: after a minus sign in the statement, theirs would begin a
// comment.
std::string numberLiteral(const std::string& digits) {
  return digits[0] == '-' ? "(" + digits + ")" : digits;
}

template <typename Float, typename Bits>
std::optional<std::string> floatLiteral(std::string_view bytes) {
  const auto v = parseInteger(bytes, sizeof(Bits));
  if (!v) return std::nullopt;
  const auto bits = static_cast<Bits>(*v);
  Float f;
  std::memcpy(&f, &bits, sizeof f);
  if (std::isnan(f)) return "'NaN'::float8";
  if (std::isinf(f)) return f > 0 ? "'Infinity'::float8" : "'-Infinity'::float8";
  char text[64];
  const auto [end, error] = std::to_chars(text, text + sizeof text, f);
  return error == std::errc() ? std::make_optional(numberLiteral(std::string(text, end))) : std::nullopt;
}

std::optional<std::string> binaryLiteral(std::string_view bytes, std::uint32_t type) {
  switch (type) {
    case kBool:
      if (bytes.size() != 1) return std::nullopt;
      return bytes[0] != 0 ? "true" : "false";
    case kBytea:
      return byteaLiteral(bytes);
    case kInt2:
    case kInt4:
    case kInt8: {
      const auto v = parseInteger(bytes, type == kInt2 ? 2 : type == kInt4 ? 4 : 8);
      return v ? std::make_optional(numberLiteral(std::to_string(*v))) : std::nullopt;
    }
    case kOid: {
      const auto v = parseInteger(bytes, 4);
      return v ? std::make_optional(std::to_string(static_cast<std::uint32_t>(*v))) : std::nullopt;
    }
    case kFloat4:
      return floatLiteral<float, std::uint32_t>(bytes);
    case kFloat8:
      return floatLiteral<double, std::uint64_t>(bytes);
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
  return error == std::errc() && stop == piece.data() + piece.size() && n > 0 && n <= kMaxParameters
             ? std::make_optional(n)
             : std::nullopt;
}

}  // namespace

std::optional<std::string> literalOf(const Parameter& p, std::string& why) {
  if (!p.value) return "NULL";
  if (p.binary) {
    const auto literal = binaryLiteral(*p.value, p.type);
    if (!literal)
      why = p.type == 0 ? "a binary parameter whose type was not said"
                        : "a binary parameter of type " + std::to_string(p.type) + " that cannot be read";
    return literal;
  }
  const auto literal = quoteLiteral(*p.value);
  if (!literal) why = "a parameter with a NUL";
  return literal;
}

namespace {

// Returns the value without quotes, for the request comment. Only letters, digits and _.:- are
// allowed, as a value must not end the comment or add another key to it.
std::optional<std::string> unquotedValueOf(const Parameter& p, std::string& why) {
  std::optional<std::string> text;
  if (p.value && p.binary && (p.type == kInt2 || p.type == kInt4 || p.type == kInt8))
    text = literalOf(p, why);
  else if (p.value && (!p.binary || p.type == kText || p.type == kVarchar))
    text = std::string(*p.value);
  const bool allowed =
      text && !text->empty() && text->size() <= kMaxCommentValue &&
      text->find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:-") ==
          std::string::npos;
  if (!allowed) why = "a parameter in the request's comment that is no plain word";
  return allowed ? text : std::nullopt;
}

// Calls `index` for each $n in the request comment that follows a '=' and `text` for the text
// between them. False when `index` returned false.
template <typename Text, typename Index>
bool forEachInComment(std::string_view comment, Text text, Index index) {
  std::size_t from = 0;
  for (std::size_t at = 0; (at = comment.find("=$", at)) != std::string_view::npos;) {
    std::size_t end = at + 2;
    while (end < comment.size() && comment[end] >= '0' && comment[end] <= '9') ++end;
    if (end == at + 2) {
      at = end;
      continue;
    }
    text(comment.substr(from, at + 1 - from));
    if (!index(comment.substr(at + 1, end - at - 1))) return false;
    from = at = end;
  }
  text(comment.substr(from));
  return true;
}

bool isRequestComment(std::string_view statement, std::string_view piece) {
  const std::size_t open = statement.rfind("/*"),
                    at = static_cast<std::size_t>(piece.data() - statement.data());
  return open != std::string_view::npos && open >= at && open < at + piece.size();
}

}  // namespace

std::optional<std::size_t> countParameters(std::string_view statement, bool backslashes) {
  std::size_t highest = 0;
  const auto count = [&](std::string_view piece) {
    const auto n = indexOf(piece);
    if (n) highest = std::max(highest, *n);
    return n.has_value();
  };
  Scanner scanner(statement, backslashes);
  std::string_view piece;
  for (Token t; (t = scanner.next(piece)) != Token::End;) {
    if (t == Token::Parameter && !count(piece)) return std::nullopt;
    if (t == Token::Comment && isRequestComment(statement, piece) &&
        !forEachInComment(
            piece, [](std::string_view) {}, count))
      return std::nullopt;
  }
  return highest;
}

std::optional<std::string> substitute(std::string_view statement, bool backslashes,
                                      const std::vector<Parameter>& parameters, std::size_t maxBytes,
                                      std::string& why) {
  std::string out;
  bool ok = true;
  const auto put = [&](std::string_view text) {
    if (out.size() + text.size() > maxBytes) {
      why = "a statement that is too long with its parameters";
      return ok = false;
    }
    out.append(text);
    return true;
  };
  const auto putParameter = [&](std::string_view piece, auto format) {
    const auto n = indexOf(piece);
    if (!n || *n > parameters.size()) return put(piece);
    const std::optional<std::string> text = format(parameters[*n - 1], why);
    return ok = ok && text && put(*text);
  };
  Scanner scanner(statement, backslashes);
  std::string_view piece;
  for (Token t; ok && (t = scanner.next(piece)) != Token::End;) {
    if (t == Token::Parameter)
      putParameter(piece, literalOf);
    else if (t == Token::Comment && isRequestComment(statement, piece))
      forEachInComment(piece, put, [&](std::string_view p) { return putParameter(p, unquotedValueOf); });
    else
      put(piece);
  }
  return ok ? std::make_optional(std::move(out)) : std::nullopt;
}

}  // namespace sablespur::translation
