// Messages of logins in version 3: AuthenticationRequest and what clients answer. Pure. PostgreSQL's
// documentation, "Message Formats" and "SASL Authentication".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::postgres {

enum Authentication : std::uint32_t {
  kAuthOk = 0,
  kAuthCleartext = 3,
  kAuthMd5 = 5,
  kAuthSasl = 10,
  kAuthSaslContinue = 11,
  kAuthSaslFinal = 12
};

std::string authentication(std::uint32_t request, std::string_view data = {});
std::string saslMechanisms();                   // AuthenticationSASL: SCRAM-SHA-256 alone
bool offersScram(std::string_view mechanisms);  // its data: names, each with its NUL, and a NUL behind

std::string passwordMessage(std::string_view text);  // of a text, with its NUL
std::string saslInitialResponse(std::string_view first);
std::string saslResponse(std::string_view word);
// The body of a 'p' message as a text; nothing: it does not end with its only NUL.
std::optional<std::string_view> parsePassword(std::string_view body);
std::optional<std::string_view> parseSaslInitial(std::string_view body);  // of SCRAM-SHA-256

}  // namespace sablespur::postgres
