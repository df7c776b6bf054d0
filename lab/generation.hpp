// The server's side of one generation of data servers, for stand-ins: how it greets, lets in, answers and
// complains. Pure; written from the protocol's description, apart from the proxy's own pool.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::lab {

struct Generation {
  std::string name = "plain";
  int minor = 0;             // of version 3
  bool backslashes = false;  // standard_conforming_strings is off
  bool escape = false;       // bytea in escape form, not in hex
  std::string login;         // scram, md5, cleartext; empty: trust
  bool chatty = false;       // notices, parameters amid answers, error fields of today
};
// "plain", "old" (before 9.0: escape form, backslashes, MD5), "modern" (3.2, SCRAM, chatty).
std::optional<Generation> generationOf(std::string_view name);

// What the stand-ins that want a password let in.
constexpr const char* kInnerUser = "proxy";
constexpr const char* kInnerPassword = "inner-word";

class ServerSpeaker {
 public:
  ServerSpeaker(const Generation& g, std::uint32_t number);
  ~ServerSpeaker();
  // Startup and login. Cancel: it was a CancelRequest, for number(); Out: end the connection once `send` is
  // out.
  enum class Got { More, In, Cancel, Out };
  Got take(std::string& in, std::string& send);
  std::uint32_t cancelled() const { return cancelled_; }
  bool askedForMore() const { return askedMinor_ > generation_.minor; }

  // An answer of a number, the value and a null; of bytea where that is wanted, else of text.
  std::string row(std::string_view bytes) const;
  std::string between() const;  // what may stand amid an answer
  std::string problem(const char* code, const char* text) const;
  // A literal of a statement as this generation reads it, from its opening on ("'a''b'", "E'a\\'b'").
  std::optional<std::string> literal(std::string_view statement, std::size_t at) const;

 private:
  std::string greeting() const;
  bool login(char type, const std::string& body, std::string& send, Got& got);
  const Generation generation_;
  const std::uint32_t number_;
  int askedMinor_ = 0;
  std::uint32_t cancelled_ = 0;
  bool started_ = false;
  std::string nonce_;
  struct Scram;
  std::unique_ptr<Scram> scram_;
};

// Bytes that only this request has: all 256 values, quotes and backslashes among them.
std::string bytesOf(std::string_view id, std::size_t size);
// A text that only this request has, hard to quote.
std::string textOf(std::string_view id);

}  // namespace sablespur::lab
