// The handshake of a session: PROXY header, startup message in any protocol version, login.
#include <algorithm>
#include <cstring>

#include "frontend/postgres/session.hpp"
#include "frontend/postgres/session_common.hpp"
#include "logging/log.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres2/messages.hpp"
#include "protocol/proxy_protocol/header.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kMaxLoggedUserName = 63;  // bytes, as in PostgreSQL (NAMEDATALEN)
constexpr std::size_t kStartupHeaderSize = 8;   // length and code
// A TLS record of type handshake, major version 3 (RFC 8446, section 5.1).
constexpr std::string_view kTlsHandshake("\x16\x03", 2);
// The alert handshake_failure, fatal (RFC 8446, section 6).
constexpr std::string_view kTlsHandshakeFailure("\x15\x03\x01\x00\x02\x02\x28", 7);

}  // namespace

bool Session::readProxyHeader() {
  const std::size_t available = std::min(evbuffer_get_length(input()), proxy_protocol::kMaxVersion2Size);
  if (available == 0) return false;
  const proxy_protocol::Header header = proxy_protocol::parse(peekInput(available));
  if (header.malformed) {
    reject("08P01", "expected a PROXY header", true);
    return false;
  }
  if (header.length == 0) return false;
  evbuffer_drain(input(), header.length);
  startup_.awaitingProxyHeader = false;
  if (header.client) client_.address = *header.client;
  owner_.setUnadmitted(*this, false);
  requestAdmission();
  return true;
}

// Handles a client that starts a TLS handshake without sending SSLRequest first. It would not
// understand an ErrorResponse, so it gets a TLS alert.
bool Session::rejectTls() {
  char head[kTlsHandshake.size()];
  if (evbuffer_copyout(input(), head, sizeof head) < static_cast<ev_ssize_t>(sizeof head)) return false;
  if (std::string_view(head, sizeof head) != kTlsHandshake) return false;
  append(output(), kTlsHandshakeFailure);
  startLingeringClose();
  return true;
}

bool Session::readStartup() {
  if (rejectTls()) return false;
  char head[kStartupHeaderSize];
  if (evbuffer_copyout(input(), head, sizeof head) < static_cast<ev_ssize_t>(sizeof head)) return false;
  const std::uint32_t length = postgres::readInt32(head);
  const std::uint32_t code = postgres::readInt32(head + 4);
  if (length < sizeof head || length > postgres::kMaxStartup) {
    reject("08P01", "malformed startup message", true);
    return false;
  }
  if (evbuffer_get_length(input()) < length) return false;
  if (code == postgres::kSslRequest || code == postgres::kGssEncRequest) {
    evbuffer_drain(input(), length);
    append(output(), "N");
    return true;
  }
  const std::string packet(peekInput(length));
  evbuffer_drain(input(), length);
  return dispatchStartup(code, packet);
}

bool Session::dispatchStartup(std::uint32_t code, std::string_view packet) {
  if (code == postgres::kCancelRequest) {
    // Same format in every protocol version except for the length of the key. No response is sent,
    // whether the key matches or not.
    if (const auto key = postgres::parseCancel(packet)) owner_.cancel(*key);
    beginClose();
    return false;
  }
  const std::uint32_t major = code >> 16;
  const bool version2 = services_.config.version2;
  if (major == 3) return startVersion3(packet);
  if (major == 2 && version2) return startVersion2(packet);
  reject("0A000",
         version2 ? "versions 2 and 3 of the protocol are spoken here"
                  : "only version 3 of the protocol is spoken here",
         true);
  return false;
}

// Applies the known settings and ignores all others. Returns false if a value was invalid and the
// startup has been rejected.
bool Session::applyStartupSettings(const postgres::Startup& startup) {
  for (const auto& [name, value] : startup.settings) {
    const bool known =
        name == "standard_conforming_strings" || name == "bytea_output" || name == "client_encoding";
    std::optional<std::string> error;
    if (name == "options")
      error = translation::applyOptions(protocol_.settings, value);
    else if (known)
      error = translation::apply(protocol_.settings, name, value);
    if (!error) continue;
    reject("22023", *error, true);
    return false;
  }
  return true;
}

bool Session::startVersion3(std::string_view packet) {
  const auto startup = postgres::parseStartup(packet);
  if (!startup) {
    reject("08P01", "malformed startup message", true);
    return false;
  }
  if (!applyStartupSettings(*startup)) return false;
  const int minor = postgres::agreedMinor(startup->minor);
  if (minor != startup->minor || !startup->extensions.empty())
    append(output(), postgres::negotiate(minor, startup->extensions));
  protocol_.version = ProtocolVersion::Version3;
  if (minor > 0) protocol_.codec = &kVersion32;
  authenticate(startup->user);
  return !closing();
}

bool Session::startVersion2(std::string_view packet) {
  protocol_.codec = &kVersion20;
  const auto startup = postgres2::parseStartup(packet);
  // Servers of the time of protocol 2.0 had neither standard_conforming_strings nor hexadecimal
  // bytea.
  protocol_.settings.backslashes = true;
  protocol_.settings.bytea = translation::ByteaForm::Escape;
  const auto error = startup ? translation::applyOptions(protocol_.settings, startup->options) : std::nullopt;
  if (!startup || error) {
    reject("08P01", error ? *error : "malformed startup packet", true);
    return false;
  }
  protocol_.version = ProtocolVersion::Version2;
  authenticate(startup->user);
  return !closing();
}

void Session::authenticate(const std::string& user) {
  const bool password = wantsPassword(services_.config);
  // A client that was rejected by its address may still be admitted by its user name after the
  // login.
  const bool mayBeAdmittedLater = password && services_.admission && services_.admission->admitsByUser();
  if (services_.admission && !client_.permit && !mayBeAdmittedLater && !ensureAdmitted()) return;
  if (!password) return completeStartup();
  startup_.user = user;
  std::string why;
  startup_.login = createLogin(services_.config, *owner_.users(), user,
                               protocol_.version == ProtocolVersion::Version2, why);
  if (!startup_.login) return reject("28000", why, true);
  append(output(), startup_.login->initialRequest());
}

bool Session::ensureAdmitted() {
  if (!services_.admission) return true;
  if (!startup_.user.empty() || client_.permit) {
    const AdmissionDecision decision =
        services_.admission->userAuthenticated(*this, client_.permit, client_.address, startup_.user);
    client_.permit = decision.permit;
    if (decision.retryAfter > Time(0)) client_.retryAfter = decision.retryAfter;
    owner_.setUnadmitted(*this, !client_.permit);
  }
  if (client_.permit) return true;
  translation::ErrorReport error =
      makeErrorReport("FATAL", "53300", "too many connections of this client's group");
  error.retryAfterMs = retryAfterMs(client_.retryAfter).value_or(1);
  writeError(error);
  startLingeringClose();
  return false;
}

std::optional<std::string> Session::readPasswordV2() {
  const std::size_t available = std::min(evbuffer_get_length(input()), postgres2::kMaxPassword);
  std::size_t length = 0;
  bool malformed = false;
  const auto password = postgres2::parsePassword(peekInput(available), length, malformed);
  if (malformed) {
    reject("08P01", "malformed password packet", true);
    return std::nullopt;
  }
  if (!password) return std::nullopt;
  std::string body(*password);
  evbuffer_drain(input(), length);
  return body;
}

std::optional<std::string> Session::readPasswordV3() {
  char bytes[postgres::kHeaderSize];
  if (evbuffer_copyout(input(), bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes))
    return std::nullopt;
  const auto head = postgres::parseHeader(bytes);
  if (!head || head->type != 'p' || head->bodySize > kMaxLoginMessage) {
    reject("08P01", "expected a password", true);
    return std::nullopt;
  }
  const std::size_t length = sizeof bytes + head->bodySize;
  if (evbuffer_get_length(input()) < length) return std::nullopt;
  std::string body(peekInput(length).substr(sizeof bytes));
  evbuffer_drain(input(), length);
  return body;
}

// Reads a password or a SCRAM message.
bool Session::readLogin() {
  if (startup_.passwordWork) return false;
  const auto response = protocol_.version == ProtocolVersion::Version2 ? readPasswordV2() : readPasswordV3();
  if (!response) return false;
  applyLoginStep(startup_.login->onResponse(*response));
  return !closing();
}

void Session::applyLoginStep(const Login::StepResult& result) {
  append(output(), result.messages);
  switch (result.step) {
    case Login::Step::Continue:
      return;
    case Login::Step::Accept:
      startup_.login.reset();
      if (ensureAdmitted()) completeStartup();
      return;
    case Login::Step::DeriveKey:
      // Takes milliseconds, so it runs on a worker thread. Destroying the ticket cancels the
      // callback.
      startup_.passwordWork =
          services_.workers.run(startup_.login->keyDerivation(), [this](const std::string& derived) {
            startup_.passwordWork.reset();
            inputState_.partialMessageSince.reset();  // recomputed for the next message
            applyLoginStep(startup_.login->onKeyDerived(derived));
            if (!closing()) scheduleInput();
          });
      if (!startup_.passwordWork) reject("53300", "too many logins at once", true);
      return;
    case Login::Step::Reject:
      const std::string user = startup_.user.substr(0, kMaxLoggedUserName);
      logEvent(LogLevel::Warning, "login_failed", {{"user", user}});
      return reject("28P01", "password authentication failed for user \"" + user + "\"", true);
  }
}

void Session::completeStartup() {
  protocol_.cancelKey =
      owner_.newKey(*this, protocol_.codec == &kVersion32 ? postgres::kLongKey : postgres::kShortKey);
  if (protocol_.version == ProtocolVersion::Version3)
    append(output(), postgres::loginComplete(protocol_.cancelKey, protocol_.settings.backslashes));
  else
    append(output(), postgres2::authenticationOk() +
                         postgres2::keyData({protocol_.cancelKey.process,
                                             postgres::readInt32(protocol_.cancelKey.secret.data())}) +
                         postgres2::ready());
  lastActive_ = services_.engine.now();
  onSettingsChanged();
  if (services_.admission) services_.admission->connectionIdle(client_.permit);
  resumeOrDrain();
}

void Session::onSettingsChanged() {
  protocol_.sharedSettings = protocol_.settings.backslashes
                                 ? std::make_shared<const translation::SessionSettings>(protocol_.settings)
                                 : nullptr;
  request_.format.bytea = protocol_.settings.bytea;
}

}  // namespace sablespur
