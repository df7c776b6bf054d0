// Messages of logins in protocol 3: AuthenticationRequest and what clients answer. Pure; views point into the
// message given.
//
// PostgreSQL's documentation, "Message Formats" and "SASL Authentication".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::postgres {

// Kinds of AuthenticationRequest.
constexpr std::uint32_t kAuthOk = 0;
constexpr std::uint32_t kAuthCleartext = 3;
constexpr std::uint32_t kAuthMd5 = 5;
constexpr std::uint32_t kAuthSasl = 10;
constexpr std::uint32_t kAuthSaslContinue = 11;
constexpr std::uint32_t kAuthSaslFinal = 12;

// An AuthenticationRequest of this kind, with its data.
std::string authentication(std::uint32_t request, std::string_view data = {});
// AuthenticationSASL that offers SCRAM-SHA-256 alone.
std::string saslMechanisms();
// Whether the data of an AuthenticationSASL (names, each with its NUL, and a NUL at the end) names
// SCRAM-SHA-256.
bool offersScram(std::string_view mechanisms);

// PasswordMessage: a text with its NUL.
std::string passwordMessage(std::string_view text);
// SASLInitialResponse for SCRAM-SHA-256, with the client-first-message.
std::string saslInitialResponse(std::string_view first);
std::string saslResponse(std::string_view data);

// The body of a PasswordMessage; std::nullopt where its only NUL isn't its last byte.
std::optional<std::string_view> parsePassword(std::string_view body);
// The client-first-message in the body of a SASLInitialResponse; std::nullopt where it is malformed or for
// another mechanism than SCRAM-SHA-256.
std::optional<std::string_view> parseSaslInitial(std::string_view body);

}  // namespace sablespur::postgres
