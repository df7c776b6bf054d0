#include "backend/postgres/query.hpp"

#include <cstddef>
#include <string>

#include "protocol/postgres/messages.hpp"
#include "translation/values.hpp"

namespace sablespur {
namespace {

void appendCopy(std::string& to, evbuffer* from) {
  const std::size_t at = to.size();
  const std::size_t length = evbuffer_get_length(from);
  to.resize(at + length);
  evbuffer_copyout(from, to.data() + at, length);
}

}  // namespace

Buffer composeQuery(const RequestMessage& message, std::chrono::milliseconds left) {
  // If the part before the remaining time is empty, the statement contains none.
  const std::size_t before = evbuffer_get_length(message.before.get());
  const std::string digits = before > 0 ? std::to_string(left.count()) : std::string();
  const std::size_t length = before + digits.size() + evbuffer_get_length(message.after.get());
  Buffer query = newBuffer();
  append(query.get(), postgres::queryHeader(length));
  evbuffer_add_buffer_reference(query.get(), message.before.get());
  append(query.get(), digits);
  evbuffer_add_buffer_reference(query.get(), message.after.get());
  return query;
}

std::optional<Buffer> composeRewrittenQuery(const RequestMessage& message, std::chrono::milliseconds left,
                                            bool serverBackslashes) {
  std::string statement;
  appendCopy(statement, message.before.get());
  if (!statement.empty()) statement += std::to_string(left.count());
  appendCopy(statement, message.after.get());
  statement.pop_back();  // the terminating NUL
  const std::string rewritten =
      translation::rewriteLiterals(statement, !serverBackslashes, serverBackslashes);
  if (rewritten.size() + 1 > postgres::kMaxMessage) return std::nullopt;
  Buffer query = newBuffer();
  append(query.get(), postgres::query(rewritten));
  return query;
}

}  // namespace sablespur
