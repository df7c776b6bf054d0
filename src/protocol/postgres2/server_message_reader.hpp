// Parses the messages of a server in protocol 2.0, for stand-in clients and tests. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/postgres2/messages.hpp"

namespace sablespur::postgres2 {

// Parses one message at a time. Rows don't contain their number of columns, so the reader remembers
// that of the last RowDescription.
class Reader {
 public:
  struct Message {
    char type = 0;
    std::string text;                             // of E, N, C, I, P and A; of R: the salt
    std::uint32_t number = 0;                     // of R: the request code; of A: the process ID
    Cancel key;                                   // of K
    std::vector<Column> columns;                  // of T
    std::vector<std::optional<std::string>> row;  // of D and B
  };

  // Returns the first message of `in` and sets `size` to its length. std::nullopt: the message is
  // incomplete or, with `malformed` set, malformed.
  std::optional<Message> take(std::string_view in, std::size_t& size, bool& malformed);

 private:
  std::size_t columns_ = 0;
};

}  // namespace sablespur::postgres2
