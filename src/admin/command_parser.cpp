#include "admin/command_parser.hpp"

#include <algorithm>
#include <cctype>
#include <optional>

namespace sablespur::admin {
namespace {

std::string responseLine(const char* status, std::string_view text) {
  std::string line = status;
  if (!text.empty()) line += ' ';
  for (const char c : text.substr(0, kMaxLineBytes))
    line += std::isprint(static_cast<unsigned char>(c)) ? c : '?';
  return line + "\n";
}

// Removes the first word from `rest` and returns it, or an empty string if there is none.
std::string_view takeWord(std::string_view& rest) {
  const std::size_t begin = std::min(rest.find_first_not_of(" \t"), rest.size());
  const std::size_t end = std::min(rest.find_first_of(" \t", begin), rest.size());
  const std::string_view word = rest.substr(begin, end - begin);
  rest.remove_prefix(end);
  return word;
}

std::string upperCase(std::string_view text) {
  std::string upper(text);
  std::transform(upper.begin(), upper.end(), upper.begin(), [](unsigned char c) { return std::toupper(c); });
  return upper;
}

std::optional<CommandType> commandTypeOf(const std::string& verb) {
  if (verb == "STATUS") return CommandType::Status;
  if (verb == "SUSPEND") return CommandType::Suspend;
  if (verb == "RESTORE") return CommandType::Restore;
  return std::nullopt;
}

bool isEndpointId(std::string_view text) {
  const auto graphical = [](unsigned char c) { return std::isgraph(c) != 0; };
  return !text.empty() && text.size() <= kMaxEndpointIdBytes &&
         std::all_of(text.begin(), text.end(), graphical);
}

}  // namespace

std::variant<Command, InvalidCommand> parse(std::string_view line) {
  const std::string verb = upperCase(takeWord(line));
  if (verb.empty()) return InvalidCommand{"an empty line is no call"};
  const std::optional<CommandType> type = commandTypeOf(verb);
  if (!type) return InvalidCommand{"STATUS, SUSPEND ID and RESTORE ID are known here"};
  const std::string_view argument = takeWord(line);
  const bool atEnd = takeWord(line).empty();
  if (*type == CommandType::Status) {
    if (!argument.empty()) return InvalidCommand{"STATUS stands alone"};
    return Command{};
  }
  if (!isEndpointId(argument) || !atEnd) return InvalidCommand{verb + " takes the id of one data server"};
  return Command{*type, std::string(argument)};
}

std::string success(std::string_view text) { return responseLine("SUCCESS", text); }
std::string failure(std::string_view text) { return responseLine("FAILURE", text); }

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
