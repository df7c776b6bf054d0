#include "translation/answer.hpp"

#include <charconv>
#include <cmath>
#include <cstring>

#include "translation/parameters.hpp"
#include "translation/values.hpp"

namespace sablespur::translation {
namespace {

constexpr const char* kTooLong = "an answer that is too long in the form that was asked for";
// Upper bounds on the bytes that any protocol version adds to a row and to each of its values.
constexpr std::size_t kMaxRowOverhead = 16, kMaxValueOverhead = 8;

std::string bigEndian(std::uint64_t v, std::size_t size) {
  std::string bytes;
  for (std::size_t k = size; k-- > 0;) bytes.push_back(static_cast<char>(v >> 8 * k));
  return bytes;
}
template <typename T>
std::optional<T> parseNumber(std::string_view text) {
  T v{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, v);
  return error == std::errc() && stop == end ? std::make_optional(v) : std::nullopt;
}
template <typename T>
std::optional<std::string> integerToBinary(std::string_view text) {
  const auto v = parseNumber<T>(text);
  return v ? std::make_optional(bigEndian(static_cast<std::uint64_t>(*v), sizeof(T))) : std::nullopt;
}
template <typename Float, typename Bits>
std::optional<std::string> floatToBinary(std::string_view text) {
  std::optional<Float> v = parseNumber<Float>(text);  // accepts "NaN" and "Infinity", too
  if (!v) return std::nullopt;
  Bits bits;
  std::memcpy(&bits, &*v, sizeof bits);
  return bigEndian(bits, sizeof bits);
}
std::optional<std::string> uuidToBinary(std::string_view text) {
  std::string digits;
  for (const char c : text)
    if (c != '-') digits.push_back(c);
  const auto bytes = digits.size() == 32 ? readBytea("\\x" + digits) : std::nullopt;
  return bytes;
}

}  // namespace

std::optional<std::string> toBinary(std::uint32_t type, std::string_view text) {
  switch (type) {
    case kBool:
      if (text != "t" && text != "f") return std::nullopt;
      return std::string(1, text == "t" ? '\1' : '\0');
    case kBytea:
      return readBytea(text);
    case kInt2:
      return integerToBinary<std::int16_t>(text);
    case kInt4:
      return integerToBinary<std::int32_t>(text);
    case kInt8:
      return integerToBinary<std::int64_t>(text);
    case kOid:
      return integerToBinary<std::uint32_t>(text);
    case kFloat4:
      return floatToBinary<float, std::uint32_t>(text);
    case kFloat8:
      return floatToBinary<double, std::uint64_t>(text);
    case kText:
    case kVarchar:
    case kUnknown:
      return std::string(text);
    case kUuid:
      return uuidToBinary(text);
    default:
      return std::nullopt;
  }
}

bool AnswerConverter::fail(std::string why) {
  failure_ = std::move(why);
  out_.clear();
  return false;
}

bool AnswerConverter::wantsBinary(std::size_t column) const {
  const auto& formats = format_.columnFormats;
  if (formats.empty()) return false;
  return formats.size() == 1 ? formats[0] == 1 : column < formats.size() && formats[column] == 1;
}

// Bounds the memory in use: a conversion can make an answer longer.
bool AnswerConverter::append(const std::string& message) {
  if (out_.size() + message.size() > maxBytes_) return fail(kTooLong);
  out_ += message;
  return true;
}

bool AnswerConverter::columns(const std::vector<Column>& columns) {
  if (format_.columnFormats.size() > 1 && format_.columnFormats.size() != columns.size())
    return fail("formats for " + std::to_string(format_.columnFormats.size()) + " columns where there are " +
                std::to_string(columns.size()));
  std::vector<Column> converted = columns;
  for (std::size_t k = 0; k < converted.size(); ++k) {
    types_.push_back(converted[k].type);
    converted[k].binary = wantsBinary(k);
    binary_.push_back(converted[k].binary);
  }
  return !describeColumns_ || append(codec_.columns(converted));
}

bool AnswerConverter::row(const std::vector<Value>& values) {
  if (values.size() != types_.size()) return fail("a row of other columns than were described");
  if (maxRows_ > 0 && rows_ == maxRows_) {
    suspended_ = true;
    return true;
  }
  ++rows_;
  std::vector<std::string> convertedValues(values.size());
  std::vector<Value> row = values;
  bool binary = !values.empty();
  for (std::size_t k = 0; k < values.size(); ++k) {
    binary = binary && binary_[k];
    if (!values[k]) continue;
    if (binary_[k]) {
      auto bytes = toBinary(types_[k], *values[k]);
      if (!bytes)
        return fail("a value of type " + std::to_string(types_[k]) + " that cannot be told in binary");
      convertedValues[k] = std::move(*bytes);
      row[k] = convertedValues[k];
    } else if (types_[k] == kBytea && format_.bytea) {
      const auto bytes = readBytea(*values[k]);
      if (!bytes) return fail("a bytea that is in neither of its forms");
      if (byteaLength(*format_.bytea, *bytes) > maxBytes_)
        return fail("a value that is too long in the form that was asked for");
      convertedValues[k] = writeBytea(*format_.bytea, *bytes);
      row[k] = convertedValues[k];
    }
  }
  // The row is checked against the bound before it is encoded.
  std::size_t size = kMaxRowOverhead;
  for (const Value& v : row) size += kMaxValueOverhead + (v ? v->size() : 0);
  if (out_.size() + size > maxBytes_) return fail(kTooLong);
  codec_.appendRow(out_, row, binary);
  return true;
}

bool AnswerConverter::completed(std::string_view tag) {
  return suspended_ || append(codec_.commandComplete(tag));
}

}  // namespace sablespur::translation
