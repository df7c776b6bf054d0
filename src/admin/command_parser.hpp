// The admin protocol: parses a command line and formats the response line. Pure: no sockets, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace sablespur::admin {

constexpr std::size_t kMaxLineBytes = 256;  // line terminator not counted
constexpr std::size_t kMaxEndpointIdBytes = 128;

enum class CommandType { Status, Suspend, Restore };

struct Command {
  CommandType type = CommandType::Status;
  std::string endpoint;  // its name; empty with Status
};

struct InvalidCommand {
  std::string reason;
};

// Words are separated by blanks or tabs; the command is case-insensitive.
std::variant<Command, InvalidCommand> parse(std::string_view line);

// A response line with its terminator. Unprintable characters of `text` are replaced, and it is cut to the
// longest line.
std::string success(std::string_view text);
std::string failure(std::string_view text);

// Assembles one command line from pieces of any size; what follows the line is ignored.
class CommandReader {
 public:
  enum class State { More, Line, TooLong };
  State feed(std::string_view bytes);
  // Without its terminator; as far as it has been read before the state is Line.
  const std::string& line() const { return line_; }

 private:
  std::string line_;
  State state_ = State::More;
};

}  // namespace sablespur::admin
