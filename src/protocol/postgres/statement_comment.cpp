#include "protocol/postgres/statement_comment.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace sablespur::postgres {
namespace {

// The largest cluster number in an endpoint list. Without this limit a client could exhaust memory
// by naming clusters that do not exist.
constexpr std::uint32_t kMaxCluster = 65535;

template <typename T>
bool toNumber(std::string_view text, T& value) {
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && stop == end && !text.empty();
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// Returns the text between the last "/*" and the last "*/"; std::nullopt if there is none.
std::optional<std::string_view> lastComment(std::string_view text) {
  constexpr std::size_t kMarkLength = 2;
  const std::size_t open = text.rfind("/*");
  const std::size_t close = text.rfind("*/");
  if (open == std::string_view::npos || close == std::string_view::npos || close < open + kMarkLength)
    return std::nullopt;
  return text.substr(open + kMarkLength, close - open - kMarkLength);
}

// Collects the entries of one comment.
class CommentReader {
 public:
  // `text`: the whole text, to which offsets are relative.
  explicit CommentReader(std::string_view text) : text_(text) {}

  // Reads a "name=value" entry, which may be surrounded by spaces; anything else is skipped.
  void readEntry(std::string_view entry) {
    entry = trimmed(entry);
    const std::size_t equals = entry.find('=');
    if (equals == std::string_view::npos) return;
    readValue(entry.substr(0, equals), entry.substr(equals + 1));
  }

  Comment finish() {
    if (comment_.id.empty()) comment_.fault = "the comment has no id";
    if (!hasCluster_) comment_.fault = "the comment has no usable cluster";
    return comment_;
  }

 private:
  void readValue(std::string_view name, std::string_view value) {
    if (name == "id") {
      comment_.id = value;
    } else if (name == "c") {
      comment_.className = value;
    } else if (name == "k") {
      comment_.key = value;
    } else if (name == "d") {
      if (!toNumber(value, comment_.timeLeftMs)) comment_.fault = "d is no number of milliseconds";
      comment_.timeLeftOffset = static_cast<std::size_t>(value.data() - text_.data());
      comment_.timeLeftLength = value.size();
    } else if (name == "cluster") {
      hasCluster_ = toNumber(value, comment_.cluster) && comment_.cluster <= kMaxCluster;
    } else if (name == "after") {
      if (!toNumber(value, comment_.after)) comment_.fault = "after is no position";
    }
  }

  const std::string_view text_;
  Comment comment_;
  bool hasCluster_ = false;
};

}  // namespace

Comment parseComment(std::string_view text) {
  const std::optional<std::string_view> entries = lastComment(text);
  if (!entries) {
    Comment none;
    none.fault = "no comment at the end of the statement";
    return none;
  }
  CommentReader reader(text);
  std::string_view rest = *entries;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(','), rest.size());
    reader.readEntry(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return reader.finish();
}

std::string_view parseKey(std::string_view text) {
  const std::size_t open = text.find('\'');
  if (open == std::string_view::npos) return {};
  const std::size_t close = text.find('\'', open + 1);
  if (close == std::string_view::npos) return {};
  return text.substr(open + 1, close - open - 1);
}

}  // namespace sablespur::postgres
