// PostgreSQL messages from either side: heads, errors, parameters, rows, tags and the comment of a statement.
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
    const auto head = postgres::parseHeader(bytes);
    if (head && head->bodySize > postgres::kMaxMessage) std::abort();
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
  const postgres::Comment c = postgres::parseComment(text);
  if (!c.fault && (c.id.empty() || c.timeLeftOffset + c.timeLeftLength > text.size())) std::abort();
  return 0;
}
