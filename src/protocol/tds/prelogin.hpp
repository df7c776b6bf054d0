// The PRELOGIN message of TDS, from either side ([MS-TDS] 2.2.6.5). Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::tds {

enum class Encryption : std::uint8_t { Off = 0, On = 1, NotSupported = 2, Required = 3 };

struct PreLogin {
  std::uint32_t version = 0;  // major (8 bits), minor (8), build (16)
  Encryption encryption = Encryption::NotSupported;
  bool mars = false;  // several requests at a time on a connection
};

// std::nullopt: an option lies outside of the message or is malformed, or the version is not the first one.
std::optional<PreLogin> parsePreLogin(std::string_view message);
std::string formatPreLogin(const PreLogin& preLogin);

}  // namespace sablespur::tds
