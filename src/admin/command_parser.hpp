// What operators' staff say to a running proxy: one line in, one line out. Pure: no sockets, no clock.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sablespur::admin {

constexpr std::size_t kMaxLineBytes = 256;  // bytes, its end not counted
constexpr std::size_t kMaxEndpointIdBytes = 128;

enum class CommandType { Status, Suspend, Restore };
struct Command {
  CommandType type = CommandType::Status;
  std::string endpoint;  // of a data server; empty with Status
};
// Words are separated by blanks; verbs are taken in any case. Nothing where the line is no call: `why` says
// so.
std::optional<Command> parse(std::string_view line, std::string& why);

// One line, with its end; what `text` holds cannot break it.
std::string success(std::string_view text);
std::string failure(std::string_view text);

// Gathers what comes of a call, in pieces of any size. One line is taken, whatever stands behind it.
class CommandReader {
 public:
  enum class State { More, Line, TooLong };
  State feed(std::string_view bytes);
  const std::string& line() const { return line_; }  // without its end

 private:
  std::string line_;
  State state_ = State::More;
};

}  // namespace sablespur::admin
