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

std::string get(std::string_view target, std::string_view host) {
  std::string text("GET ");
  text.append(target)
      .append(" HTTP/1.1\r\nHost: ")
      .append(host)
      .append("\r\nAccept: application/json\r\n\r\n");
  return text;
}

bool Response::headEnds() {
  if (status_ >= 100 && status_ < 200) {  // an interim response; the real one follows
    at_ = At::Status;
    return true;
  }
  if (status_ == 204 || status_ == 304 || (!chunked_ && counted_ && left_ == 0))
    at_ = At::End;
  else
    at_ = chunked_ ? At::Size : counted_ ? At::Counted : At::Rest;
  return true;
}

bool Response::line(std::string_view text) {
  const char* const end = text.data() + text.size();
  switch (at_) {
    case At::Status:
      if (text.size() < 12 || text.substr(0, 7) != "HTTP/1.") return false;
      if (std::from_chars(text.data() + 9, text.data() + 12, status_).ptr != text.data() + 12) return false;
      chunked_ = counted_ = false;
      at_ = At::Header;
      return true;
    case At::Header: {
      if (text.empty()) return headEnds();
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
        counted_ = true;
        const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), left_);
        return error == std::errc() && stop == value.data() + value.size();
      }
      return true;
    }
    case At::Size: {
      const auto [stop, error] = std::from_chars(text.data(), end, left_, 16);
      if (error != std::errc() || (stop != end && *stop != ';' && *stop != ' ')) return false;
      at_ = left_ > 0 ? At::Chunk : At::Trailer;
      return true;
    }
    case At::ChunkEnd:
      at_ = At::Size;
      return text.empty();
    case At::Trailer:
      if (text.empty()) at_ = At::End;
      return true;
    default:
      return false;
  }
}

bool Response::feed(std::string_view bytes, std::string& body) {
  while (!bytes.empty()) {
    if (at_ == At::End) return false;  // nothing more was asked for
    if (at_ == At::Chunk || at_ == At::Counted || at_ == At::Rest) {
      const std::size_t n = at_ == At::Rest ? bytes.size() : std::min(left_, bytes.size());
      body.append(bytes.substr(0, n));
      bytes.remove_prefix(n);
      if (at_ != At::Rest && (left_ -= n) == 0) at_ = at_ == At::Chunk ? At::ChunkEnd : At::End;
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
    if (!line(text)) return false;
  }
  return true;
}

}  // namespace sablespur::http
