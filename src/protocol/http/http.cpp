#include "protocol/http/http.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace sablespur::http {
namespace {

constexpr std::size_t kLongestLine = 8192;

bool sameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
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

bool Response::endHead() {
  if (status_ >= 100 && status_ < 200) {  // an interim response; the real one follows
    state_ = State::Status;
    return true;
  }
  if (status_ == 204 || status_ == 304 || (!chunked_ && hasLength_ && bytesLeft_ == 0))
    state_ = State::End;
  else
    state_ = chunked_ ? State::Size : hasLength_ ? State::Counted : State::Rest;
  return true;
}

bool Response::parseLine(std::string_view text) {
  const char* const end = text.data() + text.size();
  switch (state_) {
    case State::Status:
      if (text.size() < 12 || text.substr(0, 7) != "HTTP/1.") return false;
      if (std::from_chars(text.data() + 9, text.data() + 12, status_).ptr != text.data() + 12) return false;
      chunked_ = hasLength_ = false;
      state_ = State::Header;
      return true;
    case State::Header: {
      if (text.empty()) return endHead();
      const std::size_t colon = text.find(':');
      if (colon == std::string_view::npos) return false;
      std::string_view value = text.substr(colon + 1);
      while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) value.remove_prefix(1);
      while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) value.remove_suffix(1);
      const std::string_view name = text.substr(0, colon);
      if (sameName(name, "Transfer-Encoding")) {
        if (!sameName(value, "chunked")) return false;
        chunked_ = true;
      } else if (sameName(name, "Content-Length")) {
        hasLength_ = true;
        const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), bytesLeft_);
        return error == std::errc() && stop == value.data() + value.size();
      }
      return true;
    }
    case State::Size: {
      const auto [stop, error] = std::from_chars(text.data(), end, bytesLeft_, 16);
      if (error != std::errc() || (stop != end && *stop != ';' && *stop != ' ')) return false;
      state_ = bytesLeft_ > 0 ? State::Chunk : State::Trailer;
      return true;
    }
    case State::ChunkEnd:
      state_ = State::Size;
      return text.empty();
    case State::Trailer:
      if (text.empty()) state_ = State::End;
      return true;
    default:
      return false;
  }
}

bool Response::feed(std::string_view bytes, std::string& body) {
  while (!bytes.empty()) {
    if (state_ == State::End) return false;  // nothing more was asked for
    if (state_ == State::Chunk || state_ == State::Counted || state_ == State::Rest) {
      const std::size_t n = state_ == State::Rest ? bytes.size() : std::min(bytesLeft_, bytes.size());
      body.append(bytes.substr(0, n));
      bytes.remove_prefix(n);
      if (state_ != State::Rest && (bytesLeft_ -= n) == 0)
        state_ = state_ == State::Chunk ? State::ChunkEnd : State::End;
      continue;
    }
    const std::size_t end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end);
    if (line_.size() + part.size() > kLongestLine) return false;
    line_.append(part);
    if (end == std::string_view::npos) return true;
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    std::string text;
    text.swap(line_);
    if (!parseLine(text)) return false;
  }
  return true;
}

}  // namespace sablespur::http
