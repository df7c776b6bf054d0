#include "protocol/postgres/login.hpp"

#include "protocol/postgres/bytes.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur::postgres {
namespace {

using namespace std::string_view_literals;
constexpr std::string_view kMechanism = "SCRAM-SHA-256\0"sv;  // NUL included
constexpr std::size_t kLengthSize = 4;

}  // namespace

std::string authentication(std::uint32_t request, std::string_view data) {
  std::string body;
  put32(body, request);
  return message('R', body.append(data));
}

std::string saslMechanisms() { return authentication(kAuthSasl, std::string(kMechanism) + '\0'); }

bool offersScram(std::string_view mechanisms) {
  while (!mechanisms.empty() && mechanisms[0] != '\0') {
    const std::size_t end = mechanisms.find('\0');
    if (end == std::string_view::npos) return false;
    if (mechanisms.substr(0, end + 1) == kMechanism) return true;
    mechanisms.remove_prefix(end + 1);
  }
  return false;
}

std::string passwordMessage(std::string_view text) { return message('p', std::string(text) + '\0'); }

std::string saslInitialResponse(std::string_view first) {
  std::string body(kMechanism);
  put32(body, static_cast<std::uint32_t>(first.size()));
  return message('p', body.append(first));
}

std::string saslResponse(std::string_view data) { return message('p', data); }

std::optional<std::string_view> parsePassword(std::string_view body) {
  if (body.empty() || body.find('\0') != body.size() - 1) return std::nullopt;
  return body.substr(0, body.size() - 1);
}

std::optional<std::string_view> parseSaslInitial(std::string_view body) {
  if (body.substr(0, kMechanism.size()) != kMechanism) return std::nullopt;
  body.remove_prefix(kMechanism.size());
  if (body.size() < kLengthSize || readInt32(body.data()) != body.size() - kLengthSize) return std::nullopt;
  return body.substr(kLengthSize);
}

}  // namespace sablespur::postgres
