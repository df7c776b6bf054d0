#include "protocol/http/http.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <utility>

namespace sablespur::http {
namespace {

constexpr std::size_t kMaxLineLength = 8192;  // bytes; bounds the memory a peer can make us use

bool equalIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text) {
  const auto isBlank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && isBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && isBlank(text.back())) text.remove_suffix(1);
  return text;
}

}  // namespace

std::string formatGet(std::string_view target, std::string_view host) {
  std::string text("GET ");
  text.append(target)
      .append(" HTTP/1.1\r\nHost: ")
      .append(host)
      .append("\r\nAccept: application/json\r\n\r\n");
  return text;
}

void Response::endHeaders() {
  const bool interim = status_ >= 100 && status_ < 200;
  const bool withoutBody = status_ == 204 || status_ == 304;
  if (interim)
    state_ = State::StatusLine;
  else if (withoutBody || (!chunked_ && hasLength_ && bytesLeft_ == 0))
    state_ = State::Complete;
  else if (chunked_)
    state_ = State::ChunkSize;
  else
    state_ = hasLength_ ? State::SizedBody : State::BodyUntilClose;
}

// Example: "HTTP/1.1 200 OK"
bool Response::parseStatusLine(std::string_view line) {
  constexpr std::size_t kCode = 9;
  constexpr std::size_t kCodeEnd = 12;
  if (line.size() < kCodeEnd || line.substr(0, 7) != "HTTP/1.") return false;
  const char* const codeEnd = line.data() + kCodeEnd;
  if (std::from_chars(line.data() + kCode, codeEnd, status_).ptr != codeEnd) return false;
  chunked_ = false;
  hasLength_ = false;
  state_ = State::HeaderLine;
  return true;
}

bool Response::parseHeaderLine(std::string_view line) {
  if (line.empty()) {
    endHeaders();
    return true;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trimmed(line.substr(colon + 1));
  if (equalIgnoringCase(name, "Transfer-Encoding")) {
    chunked_ = equalIgnoringCase(value, "chunked");
    return chunked_;
  }
  if (equalIgnoringCase(name, "Retry-After")) {
    std::uint32_t seconds = 0;
    const char* const end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, seconds);
    if (error == std::errc() && stop == end) retryAfter_ = std::chrono::seconds(seconds);
    return true;
  }
  if (equalIgnoringCase(name, "Content-Length")) {
    hasLength_ = true;
    const char* const end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, bytesLeft_);
    return error == std::errc() && stop == end;
  }
  return true;
}

bool Response::parseChunkSize(std::string_view line) {
  const char* const end = line.data() + line.size();
  const auto [stop, error] = std::from_chars(line.data(), end, bytesLeft_, 16);
  // Chunk extensions may follow the size.
  if (error != std::errc() || (stop != end && *stop != ';' && *stop != ' ')) return false;
  state_ = bytesLeft_ > 0 ? State::ChunkData : State::Trailer;
  return true;
}

bool Response::parseLine(std::string_view line) {
  switch (state_) {
    case State::StatusLine:
      return parseStatusLine(line);
    case State::HeaderLine:
      return parseHeaderLine(line);
    case State::ChunkSize:
      return parseChunkSize(line);
    case State::ChunkEnd:
      state_ = State::ChunkSize;
      return line.empty();
    case State::Trailer:
      if (line.empty()) state_ = State::Complete;
      return true;
    default:
      return false;
  }
}

bool Response::inBody() const {
  return state_ == State::ChunkData || state_ == State::SizedBody || state_ == State::BodyUntilClose;
}

std::size_t Response::appendBody(std::string_view bytes, std::string& body) {
  if (state_ == State::BodyUntilClose) {
    body.append(bytes);
    return bytes.size();
  }
  const std::size_t size = std::min(bytesLeft_, bytes.size());
  body.append(bytes.substr(0, size));
  bytesLeft_ -= size;
  if (bytesLeft_ == 0) state_ = state_ == State::ChunkData ? State::ChunkEnd : State::Complete;
  return size;
}

bool Response::feed(std::string_view bytes, std::string& body) {
  while (!bytes.empty()) {
    if (state_ == State::Complete) return false;  // only one response is expected
    if (inBody()) {
      bytes.remove_prefix(appendBody(bytes, body));
      continue;
    }
    const std::size_t end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end);
    if (line_.size() + part.size() > kMaxLineLength) return false;
    line_.append(part);
    if (end == std::string_view::npos) return true;
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    const std::string line = std::exchange(line_, {});
    if (!parseLine(line)) return false;
  }
  return true;
}

}  // namespace sablespur::http
