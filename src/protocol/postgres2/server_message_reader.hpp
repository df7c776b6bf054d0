// Reads what a server sends in protocol 2.0, for stand-in clients and tests. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/postgres2/messages.hpp"

namespace sablespur::postgres2 {

// Reads one message at a time. Rows have no lengths of their own, so it keeps the number of columns of the
// last RowDescription.
class Reader {
 public:
  struct Message {
    char type = 0;
    std::string text;                             // of E, N, C, I, P and A; of R: the salt
    std::uint32_t number = 0;                     // of R: the kind of request; of A: the process
    Cancel key;                                   // of K
    std::vector<Column> columns;                  // of T
    std::vector<std::optional<std::string>> row;  // of D and B
  };

  // The first message of `in`, and its `size`. std::nullopt: it has not arrived whole, or, with `bad`, is
  // malformed.
  std::optional<Message> take(std::string_view in, std::size_t& size, bool& bad);

 private:
  std::size_t columns_ = 0;
};

}  // namespace sablespur::postgres2
