// Parses PostgreSQL messages of clients and servers: headers, errors, parameters, rows, command
// tags and statement comments.
#include <algorithm>
#include <cstdlib>
#include <string>

#include "fuzz/target.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/statement_comment.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (size >= postgres::kHeaderSize) {
    char bytes[postgres::kHeaderSize];
    std::copy_n(text.data(), postgres::kHeaderSize, bytes);
    const auto header = postgres::parseHeader(bytes);
    if (header && header->bodySize > postgres::kMaxMessage) std::abort();
  }
  if (size >= postgres::kRowHeaderSize) {
    char bytes[postgres::kRowHeaderSize];
    std::copy_n(text.data(), postgres::kRowHeaderSize, bytes);
    postgres::isRowHeader(bytes, size);
  }
  postgres::parseError(text);
  postgres::parseParameter(text);
  postgres::parseColumn(text);
  postgres::isRowDescription(text);
  postgres::isCommandTag(text, true);
  postgres::isCommandTag(text, false);
  postgres::parseKey(text);
  const postgres::Comment comment = postgres::parseComment(text);
  if (!comment.fault && (comment.id.empty() || comment.timeLeftOffset + comment.timeLeftLength > text.size()))
    std::abort();
  return 0;
}
