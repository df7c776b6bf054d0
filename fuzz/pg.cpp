// PostgreSQL messages from either side: heads, errors, parameters, rows, tags and the comment of a statement.
#include "protocol/postgres/pg.hpp"

#include <algorithm>
#include <cstdlib>
#include <string>

#include "fuzz/target.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (size >= postgres::kHead) {
    char bytes[postgres::kHead];
    std::copy_n(text.data(), postgres::kHead, bytes);
    const auto head = postgres::parseHead(bytes);
    if (head && head->body > postgres::kLongestMessage) std::abort();
  }
  if (size >= postgres::kRowHead) {
    char bytes[postgres::kRowHead];
    std::copy_n(text.data(), postgres::kRowHead, bytes);
    postgres::isRowHead(bytes, size);
  }
  postgres::parseError(text);
  postgres::parseParameter(text);
  postgres::parseColumn(text);
  postgres::isRowDescription(text);
  postgres::isTag(text, true);
  postgres::isTag(text, false);
  postgres::parseKey(text);
  const postgres::Comment c = postgres::parseComment(text);
  if (!c.fault && (c.id.empty() || c.waitAt + c.waitLength > text.size())) std::abort();
  return 0;
}
