// PostgreSQL messages from either side: heads, errors, parameters, rows, tags and the comment of a statement.
#include "protocol/postgres/pg.hpp"

#include <algorithm>
#include <cstdlib>
#include <string>

#include "fuzz/target.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (size >= pg::kHead) {
    char bytes[pg::kHead];
    std::copy_n(text.data(), pg::kHead, bytes);
    const auto head = pg::parseHead(bytes);
    if (head && head->body > pg::kLongestMessage) std::abort();
  }
  if (size >= pg::kRowHead) {
    char bytes[pg::kRowHead];
    std::copy_n(text.data(), pg::kRowHead, bytes);
    pg::isRowHead(bytes, size);
  }
  pg::parseError(text);
  pg::parseParameter(text);
  pg::parseColumn(text);
  pg::isRowDescription(text);
  pg::isTag(text, true);
  pg::isTag(text, false);
  pg::parseKey(text);
  const pg::Comment c = pg::parseComment(text);
  if (!c.fault && (c.id.empty() || c.waitAt + c.waitLength > text.size())) std::abort();
  return 0;
}
