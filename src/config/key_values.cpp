// Parses the text of a value according to the kind of its key.
#include <algorithm>
#include <charconv>
#include <sstream>

#include "config/keys.hpp"
#include "support/nearest_word.hpp"

namespace sablespur {
namespace {

// RFC 1035 section 2.3.4, without the final dot.
constexpr std::size_t kMaxDomainLength = 253;
constexpr std::size_t kMaxLabelLength = 63;

template <typename T>
ParseResult<KeyValue> asKeyValue(const ParseResult<T>& read) {
  if (const ValueError* error = std::get_if<ValueError>(&read)) return *error;
  return KeyValue(std::get<T>(read));
}

// Splits a list and returns its non-empty items without surrounding whitespace.
std::vector<std::string> splitItems(const std::string& text, char separator) {
  std::vector<std::string> items;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, separator);) {
    item.erase(0, item.find_first_not_of(" \t"));
    item.erase(item.find_last_not_of(" \t") + 1);
    if (!item.empty()) items.push_back(item);
  }
  return items;
}

ParseResult<KeyValue> readAddress(const std::string& text) {
  if (const auto address = Address::parse(text)) return KeyValue(*address);
  return ValueError{"'" + text + "' is not an address with a port",
                    "write it as 10.1.0.18:5432 or [fd00::18]:5432; host names are not resolved"};
}

ParseResult<KeyValue> readAddresses(const std::string& text) {
  std::vector<Address> addresses;
  for (const std::string& item : splitItems(text, ',')) {
    const auto address = readAddress(item);
    if (const ValueError* error = std::get_if<ValueError>(&address)) return *error;
    addresses.push_back(std::get<Address>(std::get<KeyValue>(address)));
  }
  return KeyValue(addresses);
}

// Reads a hexadecimal number; `random` is returned as 0.
ParseResult<KeyValue> readHex(const std::string& text) {
  if (text == "random") return KeyValue(std::uint64_t{0});
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, 16);
  if (error == std::errc() && stop == end) return KeyValue(value);
  return ValueError{"'" + text + "' is not a hexadecimal number",
                    "write up to 16 hexadecimal digits, or random"};
}

ParseResult<KeyValue> readChoice(const std::string& text, const char* choices) {
  const std::vector<std::string> words = splitItems(choices, ' ');
  if (std::find(words.begin(), words.end(), text) != words.end()) return KeyValue(text);
  std::string list;
  for (const std::string& word : words) list += (list.empty() ? "" : ", ") + word;
  const std::string near = nearestWord(text, words.data(), words.data() + words.size());
  return ValueError{"'" + text + "' is not one of " + list,
                    near.empty() ? "write one of them" : "did you mean '" + near + "'?"};
}

bool isLabelCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

bool isDomainName(const std::string& text) {
  if (text.size() > kMaxDomainLength) return false;
  std::size_t labelLength = 0;
  for (const char c : text) {
    const bool endsLabel = c == '.' && labelLength > 0;
    if (!endsLabel && !isLabelCharacter(c)) return false;
    labelLength = endsLabel ? 0 : labelLength + 1;
    if (labelLength > kMaxLabelLength) return false;
  }
  return true;
}

ParseResult<KeyValue> readDomain(const std::string& text) {
  if (isDomainName(text)) return KeyValue(text);
  return ValueError{"'" + text + "' is not a domain name",
                    "write labels of letters, digits, - and _ separated by dots, such as ruwi.example.org"};
}

ParseResult<KeyValue> readText(const Key& key, const std::string& text) {
  if (text.empty() && !key.defaultText) return ValueError{"it is empty", "give it a value"};
  return KeyValue(text);
}

ParseResult<KeyValue> readUnbounded(const Key& key, const std::string& text) {
  switch (key.kind) {
    case KeyKind::Address:
      return text.empty() ? ParseResult<KeyValue>(KeyValue(Address())) : readAddress(text);
    case KeyKind::Addresses:
      return readAddresses(text);
    case KeyKind::Duration:
      return asKeyValue(readTime(text));
    case KeyKind::Size:
      return asKeyValue(readSize(text));
    case KeyKind::Count:
      return asKeyValue(readCount(text));
    case KeyKind::Number:
      return asKeyValue(readNumber(text));
    case KeyKind::Share:
      return asKeyValue(readShare(text));
    case KeyKind::Flag:
      return asKeyValue(readFlag(text));
    case KeyKind::Words:
      return KeyValue(splitItems(text, ','));
    case KeyKind::Hex:
      return readHex(text);
    case KeyKind::Choice:
      return readChoice(text, key.choices);
    case KeyKind::Domain:
      return readDomain(text);
    case KeyKind::Text:
      break;
  }
  return readText(key, text);
}

// Converts a value to the number that is compared with the bounds of its key.
struct BoundedNumber {
  double operator()(Time time) const { return static_cast<double>(time.count()); }
  double operator()(std::uint64_t value) const { return static_cast<double>(value); }
  double operator()(std::int64_t value) const { return static_cast<double>(value); }
  double operator()(double value) const { return value; }
  template <typename T>
  double operator()(const T&) const {
    return 0;
  }
};

}  // namespace

ParseResult<KeyValue> readValue(const Key& key, const std::string& text) {
  ParseResult<KeyValue> value = readUnbounded(key, text);
  if (std::holds_alternative<ValueError>(value) || !key.bounds) return value;
  const double number = std::visit(BoundedNumber{}, std::get<KeyValue>(value));
  const auto [min, max] = *key.bounds;
  if (number >= min && number <= max) return value;
  return ValueError{"'" + text + "' is out of range",
                    "write " + writeBound(key.kind, min) + " to " + writeBound(key.kind, max)};
}

std::string writeBound(KeyKind kind, double bound) {
  if (kind == KeyKind::Duration) return writeTime(Time(static_cast<std::int64_t>(bound)));
  if (kind == KeyKind::Size) return writeSize(static_cast<std::uint64_t>(bound));
  std::ostringstream text;
  if (kind == KeyKind::Share)
    text << bound * 100 << "%";
  else
    text << bound;
  return text.str();
}

}  // namespace sablespur
