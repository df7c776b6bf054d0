#include "admin/command_parser.hpp"

#include <algorithm>
#include <cctype>

namespace sablespur::admin {
namespace {

std::string answer(const char* word, std::string_view text) {
  std::string line = word;
  if (!text.empty()) line += ' ';
  for (const char c : text.substr(0, kMaxLineBytes))
    line += std::isprint(static_cast<unsigned char>(c)) ? c : '?';
  return line + "\n";
}
std::string_view word(std::string_view& rest) {
  const std::size_t from = std::min(rest.find_first_not_of(" \t"), rest.size());
  const std::size_t to = std::min(rest.find_first_of(" \t", from), rest.size());
  const std::string_view w = rest.substr(from, to - from);
  rest.remove_prefix(to);
  return w;
}

}  // namespace

std::optional<Command> parse(std::string_view line, std::string& why) {
  std::string verb(word(line));
  std::transform(verb.begin(), verb.end(), verb.begin(), [](unsigned char c) { return std::toupper(c); });
  Command call;
  if (verb == "SUSPEND")
    call.type = CommandType::Suspend;
  else if (verb == "RESTORE")
    call.type = CommandType::Restore;
  else if (verb != "STATUS") {
    why = verb.empty() ? "an empty line is no call" : "STATUS, SUSPEND ID and RESTORE ID are known here";
    return std::nullopt;
  }
  call.endpoint = word(line);
  const bool plain = std::all_of(call.endpoint.begin(), call.endpoint.end(),
                                 [](unsigned char c) { return std::isgraph(c); });
  if (call.endpoint.empty() != (call.type == CommandType::Status) || !word(line).empty() ||
      call.endpoint.size() > kMaxEndpointIdBytes || !plain) {
    why =
        call.type == CommandType::Status ? "STATUS stands alone" : verb + " takes the id of one data server";
    return std::nullopt;
  }
  return call;
}

std::string success(std::string_view text) { return answer("SUCCESS", text); }
std::string failure(std::string_view text) { return answer("FAILURE", text); }

CommandReader::State CommandReader::feed(std::string_view bytes) {
  if (state_ != State::More) return state_;
  const std::size_t end = bytes.find('\n');
  line_.append(bytes.substr(0, std::min({end, bytes.size(), kMaxLineBytes + 2})));
  if (end != std::string_view::npos && !line_.empty() && line_.back() == '\r') line_.pop_back();
  if (line_.size() > kMaxLineBytes)
    state_ = State::TooLong;
  else if (end != std::string_view::npos)
    state_ = State::Line;
  return state_;
}

}  // namespace sablespur::admin
