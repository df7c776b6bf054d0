// The admin protocol: parses a command line and formats the response line, without sockets or a
// clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace sablespur::admin {

constexpr std::size_t kMaxLineBytes = 256;  // without the line terminator
constexpr std::size_t kMaxEndpointIdBytes = 128;

enum class CommandType { Status, Suspend, Restore };

struct Command {
  CommandType type = CommandType::Status;
  std::string endpoint;  // name of the endpoint; empty with Status
};

struct InvalidCommand {
  std::string reason;
};

// Parses a line without its terminator. Words are separated by spaces or tabs; the command word is
// case-insensitive.
std::variant<Command, InvalidCommand> parse(std::string_view line);

// Return a response line with its terminator. Unprintable characters of `text` are replaced by '?',
// and it is truncated to kMaxLineBytes.
std::string success(std::string_view text);
std::string failure(std::string_view text);

// Assembles one command line from pieces of any size and ignores all bytes after it.
class CommandReader {
 public:
  enum class State { More, Line, TooLong };
  State feed(std::string_view bytes);
  // Returns the line without its terminator; incomplete until the state is Line.
  const std::string& line() const { return line_; }

 private:
  std::string line_;
  State state_ = State::More;
};

}  // namespace sablespur::admin
