// The PRELOGIN message of TDS, as clients and servers send it ([MS-TDS] 2.2.6.5). Pure.
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
  bool mars = false;  // multiple active result sets: concurrent requests on one connection
};

// Returns std::nullopt when an option is malformed or its value lies outside of the message, when
// the version is not the first option, or when the terminator is missing.
std::optional<PreLogin> parsePreLogin(std::string_view message);
std::string formatPreLogin(const PreLogin& preLogin);

}  // namespace sablespur::tds
