#include "protocol/tds/prelogin.hpp"

#include <cstddef>

#include "protocol/tds/bytes.hpp"

namespace sablespur::tds {
namespace {

enum class Token : std::uint8_t { Version = 0, Encryption = 1, Mars = 4, Terminator = 0xff };

constexpr std::size_t kOptionSize = 5;   // token, offset, length
constexpr std::size_t kVersionSize = 6;  // version, then a sub-build of two bytes
constexpr std::uint8_t kMaxEncryption = static_cast<std::uint8_t>(Encryption::Required);

// Returns the value of the option at `at`; std::nullopt when it lies outside of the message.
std::optional<std::string_view> valueOf(std::string_view message, std::size_t at) {
  if (message.size() - at < kOptionSize) return std::nullopt;
  const std::size_t offset = read16(message, at + 1);
  const std::size_t length = read16(message, at + 3);
  if (offset > message.size() || length > message.size() - offset) return std::nullopt;
  return message.substr(offset, length);
}

// Reads one option; false when its value is malformed. Other options are ignored.
bool readOption(Token token, std::string_view value, PreLogin& preLogin) {
  switch (token) {
    case Token::Version:
      if (value.size() != kVersionSize) return false;
      preLogin.version = static_cast<std::uint32_t>(read16(value, 0) << 16 | read16(value, 2));
      return true;
    case Token::Encryption:
      if (value.size() != 1 || read8(value, 0) > kMaxEncryption) return false;
      preLogin.encryption = static_cast<Encryption>(read8(value, 0));
      return true;
    case Token::Mars:
      if (value.size() != 1) return false;
      preLogin.mars = value[0] != 0;
      return true;
    default:
      return true;
  }
}

// Builds a message from a number of options known in advance, as the offsets of the values depend
// on it.
class OptionWriter {
 public:
  explicit OptionWriter(std::size_t options) : valuesOffset_(options * kOptionSize + 1) {}

  void add(Token token, std::string_view value) {
    put8(options_, static_cast<std::uint8_t>(token));
    put16(options_, valuesOffset_ + values_.size());
    put16(options_, value.size());
    values_ += value;
  }

  std::string finish() const { return options_ + static_cast<char>(Token::Terminator) + values_; }

 private:
  const std::size_t valuesOffset_;
  std::string options_;
  std::string values_;
};

}  // namespace

std::optional<PreLogin> parsePreLogin(std::string_view message) {
  PreLogin preLogin;
  std::size_t at = 0;
  while (at < message.size()) {
    const auto token = static_cast<Token>(read8(message, at));
    const bool first = at == 0;
    if (token == Token::Terminator) return first ? std::nullopt : std::make_optional(preLogin);
    const bool isVersion = token == Token::Version;
    if (isVersion != first) return std::nullopt;  // the version must be the first option and occur once
    const auto value = valueOf(message, at);
    if (!value || !readOption(token, *value, preLogin)) return std::nullopt;
    at += kOptionSize;
  }
  return std::nullopt;  // no terminator
}

std::string formatPreLogin(const PreLogin& preLogin) {
  std::string version;
  put16(version, preLogin.version >> 16);
  put16(version, preLogin.version & 0xffff);
  put16(version, 0);  // sub-build
  OptionWriter writer(3);
  writer.add(Token::Version, version);
  writer.add(Token::Encryption, std::string(1, static_cast<char>(preLogin.encryption)));
  writer.add(Token::Mars, std::string(1, preLogin.mars ? '\1' : '\0'));
  return writer.finish();
}

}  // namespace sablespur::tds
