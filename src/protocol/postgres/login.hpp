// The login messages of protocol 3: AuthenticationRequest and the responses of clients. Does no
// I/O; returned views point into the given message.
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
// AuthenticationSASL that offers only SCRAM-SHA-256.
std::string saslMechanisms();
// Whether the data of an AuthenticationSASL (NUL-terminated names, then a NUL) includes
// SCRAM-SHA-256.
bool offersScram(std::string_view mechanisms);

// PasswordMessage, with a NUL-terminated text.
std::string passwordMessage(std::string_view text);
// SASLInitialResponse for SCRAM-SHA-256, with the client-first-message.
std::string saslInitialResponse(std::string_view first);
std::string saslResponse(std::string_view data);

// Returns the text in the body of a PasswordMessage; std::nullopt unless the last byte is the only
// NUL.
std::optional<std::string_view> parsePassword(std::string_view body);
// Returns the client-first-message in the body of a SASLInitialResponse; std::nullopt if the body
// is malformed or for a mechanism other than SCRAM-SHA-256.
std::optional<std::string_view> parseSaslInitial(std::string_view body);

}  // namespace sablespur::postgres
