// The client side of one version of the PostgreSQL protocol, for stand-in clients: encodes messages
// to the proxy and decodes its answers. Performs no I/O. Written from the protocol's documentation,
// independently of the proxy's frontend, so that a fault of the frontend is not repeated.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sablespur::lab {

enum class Version { V20, V30, V32 };
std::optional<Version> versionOf(std::string_view text);  // "2.0", "3.0", "3.2"

struct Reply {
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::vector<std::uint32_t> types;
  std::string tag, code, error;  // protocol 2.0 has no code
  std::optional<int> retryAfterMs;
  std::string seen;    // types of the received messages, in order
  std::string fields;  // letters of an error's fields
};

struct Identity {
  std::string user = "desk", database = "ledger", password;
  std::vector<std::pair<std::string, std::string>> settings;
  std::string options;
};

constexpr const char* kDeskPassword = "desk-word";  // of the user "desk", in runs with client logins

// A parameter of an extended query; a value of std::nullopt is NULL.
struct Bound {
  std::optional<std::string> value;
  std::uint32_t type = 0;
  bool binary = false;
};

class ClientProtocol {
 public:
  ClientProtocol(Version v, Identity who) : version_(v), who_(std::move(who)) {}
  Version version() const { return version_; }
  std::string startupMessage() const;
  std::string query(std::string_view statement) const;
  // Returns Parse, Bind, Describe (portal), Execute and Sync for the unnamed statement; 3.x only.
  std::string extended(std::string_view statement, const std::vector<Bound>&,
                       bool binaryResults = false) const;
  std::string cancel() const;  // with the key from the proxy's BackendKeyData
  std::string cancelWith(std::uint32_t process, std::string_view secret) const;

  // Consumes the messages in `in` and appends the login's answers to `send`. More: needs more
  // bytes; Ready: the proxy waits for the next request, and reply() is complete; Broken: protocol
  // error, see why().
  enum class Result { More, Ready, Broken };
  Result take(std::string& in, std::string& send);
  const Reply& reply() const { return reply_; }
  Reply takeReply();
  std::uint32_t process() const { return process_; }
  const std::string& secret() const { return secret_; }
  int minor() const { return minor_; }             // the negotiated minor version
  const std::string& why() const { return why_; }  // the protocol error

 private:
  Result take2(std::string& in, std::string& send);
  Result take3(std::string& in, std::string& send);
  bool login(std::uint32_t request, std::string_view body, std::string& send);

  const Version version_;
  const Identity who_;
  Reply reply_;
  std::uint32_t process_ = 0;
  std::string secret_, why_;
  int minor_ = 0;
  struct Login;
  std::shared_ptr<Login> login_;
  std::size_t columns_ = 0;
  std::shared_ptr<void> reader_;  // reader of protocol 2.0
};

}  // namespace sablespur::lab
