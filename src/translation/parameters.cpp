#include "translation/parameters.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>

#include "translation/scanner.hpp"
#include "translation/values.hpp"

namespace sablespur::translation {
namespace {

constexpr std::size_t kMostParameters = 65535, kLongestWord = 64;

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

namespace {

// A word that can stand in the request's comment. Guards the comment: a value must not end it, or name
// another key.
std::optional<std::string> bareOf(const Parameter& p, std::string& why) {
  std::optional<std::string> text;
  if (p.value && p.binary && (p.type == kInt2 || p.type == kInt4 || p.type == kInt8))
    text = literalOf(p, why);
  else if (p.value && (!p.binary || p.type == kText || p.type == kVarchar))
    text = std::string(*p.value);
  const bool word =
      text && !text->empty() && text->size() <= kLongestWord &&
      text->find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:-") ==
          std::string::npos;
  if (!word) why = "a parameter in the request's comment that is no plain word";
  return word ? text : std::nullopt;
}

// Goes through the last comment: each $n that is a whole value, and what stands between.
template <typename Text, typename Index>
bool eachInComment(std::string_view comment, Text text, Index index) {
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
  std::size_t most = 0;
  const auto count = [&](std::string_view piece) {
    const auto n = indexOf(piece);
    if (n) most = std::max(most, *n);
    return n.has_value();
  };
  Scanner scanner(statement, backslashes);
  std::string_view piece;
  for (Token t; (t = scanner.next(piece)) != Token::End;) {
    if (t == Token::Parameter && !count(piece)) return std::nullopt;
    if (t == Token::Comment && isRequestComment(statement, piece) &&
        !eachInComment(
            piece, [](std::string_view) {}, count))
      return std::nullopt;
  }
  return most;
}

std::optional<std::string> substitute(std::string_view statement, bool backslashes,
                                      const std::vector<Parameter>& parameters, std::size_t most,
                                      std::string& why) {
  std::string out;
  bool good = true;
  const auto put = [&](std::string_view text) {
    if (out.size() + text.size() > most) {
      why = "a statement that is too long with its parameters";
      return good = false;
    }
    out.append(text);
    return true;
  };
  const auto one = [&](std::string_view piece, auto form) {
    const auto n = indexOf(piece);
    if (!n || *n > parameters.size()) return put(piece);
    const std::optional<std::string> text = form(parameters[*n - 1], why);
    return good = good && text && put(*text);
  };
  Scanner scanner(statement, backslashes);
  std::string_view piece;
  for (Token t; good && (t = scanner.next(piece)) != Token::End;) {
    if (t == Token::Parameter)
      one(piece, literalOf);
    else if (t == Token::Comment && isRequestComment(statement, piece))
      eachInComment(piece, put, [&](std::string_view p) { return one(p, bareOf); });
    else
      put(piece);
  }
  return good ? std::make_optional(std::move(out)) : std::nullopt;
}

}  // namespace sablespur::translation
