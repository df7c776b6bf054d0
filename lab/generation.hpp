// The server side of the PostgreSQL protocol as one generation of data servers speaks it, for
// stand-in data servers: startup, authentication, rows, notices and errors. Performs no I/O.
// Written from the protocol's documentation, independently of the proxy's connection pool, so that
// a fault of the pool is not repeated.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::lab {

struct ServerGeneration {
  std::string name = "plain";
  int minor = 0;             // minor version of protocol 3
  bool backslashes = false;  // standard_conforming_strings is off
  bool escape = false;       // bytea in escape form, not in hex
  std::string login;         // authentication: scram, md5, cleartext; empty: trust
  bool chatty = false;       // notices and ParameterStatus within answers; all error fields
};
// "plain", "old" (before 9.0: escape form, backslashes, MD5), "modern" (3.2, SCRAM, chatty).
std::optional<ServerGeneration> serverGenerationOf(std::string_view name);

// The credentials that stand-ins with password authentication accept.
constexpr const char* kInnerUser = "proxy";
constexpr const char* kInnerPassword = "inner-word";

class ServerProtocol {
 public:
  ServerProtocol(const ServerGeneration& g, std::uint32_t number);
  ~ServerProtocol();
  // Consumes the startup and login messages in `in` and appends the answers to `send`. In: logged
  // in; Cancel: a CancelRequest, for the connection cancelled(); Out: close the connection after
  // `send` is sent.
  enum class Result { More, In, Cancel, Out };
  Result take(std::string& in, std::string& send);
  std::uint32_t cancelled() const { return cancelled_; }
  bool requestedNewerVersion() const { return askedMinor_ > generation_.minor; }

  // An answer with one row: a number, the value (bytea if requested, else text) and a null.
  std::string row(std::string_view bytes) const;
  std::string between() const;  // messages that may arrive within an answer
  std::string problem(const char* code, const char* text) const;
  // Decodes a string literal of a statement as this generation reads it, opening quote included
  // ("'a''b'", "E'a\\'b'").
  std::optional<std::string> literal(std::string_view statement, std::size_t at) const;

 private:
  std::string greeting() const;
  bool login(char type, const std::string& body, std::string& send, Result& got);
  const ServerGeneration generation_;
  const std::uint32_t number_;
  int askedMinor_ = 0;
  std::uint32_t cancelled_ = 0;
  bool started_ = false;
  std::string nonce_;
  struct Scram;
  std::unique_ptr<Scram> scram_;
};

// Returns bytes unique to the request: all 256 values, including quotes and backslashes.
std::string bytesOf(std::string_view id, std::size_t size);
// Returns a text unique to the request, with characters that need escaping.
std::string textOf(std::string_view id);

}  // namespace sablespur::lab
