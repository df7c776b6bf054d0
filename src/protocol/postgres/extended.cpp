#include "protocol/postgres/extended.hpp"

#include <utility>

#include "protocol/postgres/bytes.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur::postgres {
namespace {

constexpr std::int16_t kBinaryFormat = 1;
constexpr char kStatementTarget = 'S';
constexpr char kPortalTarget = 'P';

// Reads the fields of a body in order. After the first malformed field it returns only empty
// values, and done() stays false.
class BodyReader {
 public:
  explicit BodyReader(std::string_view body) : rest_(body) {}

  std::string_view text() {
    const std::optional<std::string_view> taken = takeText(rest_);
    return taken ? *taken : fail();
  }

  std::string_view bytes(std::size_t count) {
    if (rest_.size() < count) return fail();
    const std::string_view taken = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return taken;
  }

  std::uint16_t number16() {
    const std::string_view taken = bytes(2);
    return taken.empty() ? std::uint16_t{0} : read16(taken, 0);
  }

  std::uint32_t number32() {
    const std::string_view taken = bytes(4);
    return taken.empty() ? 0 : readInt32(taken.data());
  }

  // Reads a count and that many two-byte integers.
  std::vector<std::int16_t> numbers16() {
    const std::size_t count = number16();
    std::vector<std::int16_t> numbers;
    if (left() < 2 * count) {
      fail();
      return numbers;
    }
    numbers.reserve(count);
    for (std::size_t k = 0; k < count; ++k) numbers.push_back(static_cast<std::int16_t>(number16()));
    return numbers;
  }

  // Reads a length and that many bytes; std::nullopt for NULL.
  std::optional<std::string_view> value() {
    const std::uint32_t length = number32();
    if (length == kNullLength) return std::nullopt;
    return bytes(length);
  }

  std::size_t left() const { return rest_.size(); }
  bool good() const { return good_; }
  // Whether the whole body has been read without a malformed field.
  bool done() const { return good_ && rest_.empty(); }

 private:
  std::string_view fail() {
    good_ = false;
    rest_ = {};
    return {};
  }

  std::string_view rest_;
  bool good_ = true;
};

void putCount(std::string& to, std::size_t count) { put16(to, static_cast<std::uint16_t>(count)); }

void putNumbers16(std::string& to, const std::vector<std::int16_t>& numbers) {
  putCount(to, numbers.size());
  for (const std::int16_t number : numbers) put16(to, static_cast<std::uint16_t>(number));
}

void putNumbers32(std::string& to, const std::vector<std::uint32_t>& numbers) {
  putCount(to, numbers.size());
  for (const std::uint32_t number : numbers) put32(to, number);
}

std::string targeted(char type, const DescribeTarget& target) {
  std::string body(1, target.portal ? kPortalTarget : kStatementTarget);
  putText(body, target.name);
  return message(type, body);
}

}  // namespace

bool Bind::binary(std::size_t parameter) const {
  if (formats.empty()) return false;
  if (formats.size() == 1) return formats[0] == kBinaryFormat;
  return parameter < formats.size() && formats[parameter] == kBinaryFormat;
}

std::optional<Parse> parseParse(std::string_view body) {
  BodyReader reader(body);
  Parse parse;
  parse.name = reader.text();
  parse.statement = reader.text();
  const std::size_t types = reader.number16();
  if (reader.left() != 4 * types) return std::nullopt;
  for (std::size_t k = 0; k < types; ++k) parse.types.push_back(reader.number32());
  if (!reader.done()) return std::nullopt;
  return parse;
}

std::optional<Bind> parseBind(std::string_view body) {
  BodyReader reader(body);
  Bind bind;
  bind.portal = reader.text();
  bind.statement = reader.text();
  bind.formats = reader.numbers16();
  const std::size_t values = reader.number16();
  if (reader.left() < 4 * values) return std::nullopt;  // every value has a four-byte length
  for (std::size_t k = 0; k < values && reader.good(); ++k) bind.values.push_back(reader.value());
  bind.resultFormats = reader.numbers16();
  const bool formatsFit = bind.formats.size() <= 1 || bind.formats.size() == bind.values.size();
  if (!reader.done() || !formatsFit) return std::nullopt;
  return bind;
}

std::optional<DescribeTarget> parseDescribeTarget(std::string_view body) {
  BodyReader reader(body);
  const std::string_view kind = reader.bytes(1);
  DescribeTarget target;
  target.name = reader.text();
  if (!reader.done() || (kind[0] != kStatementTarget && kind[0] != kPortalTarget)) return std::nullopt;
  target.portal = kind[0] == kPortalTarget;
  return target;
}

std::optional<Execute> parseExecute(std::string_view body) {
  BodyReader reader(body);
  Execute execute;
  execute.portal = reader.text();
  execute.maxRows = static_cast<std::int32_t>(reader.number32());
  if (!reader.done() || execute.maxRows < 0) return std::nullopt;
  return execute;
}

std::string parseComplete() { return message('1', {}); }
std::string bindComplete() { return message('2', {}); }
std::string closeComplete() { return message('3', {}); }
std::string noData() { return message('n', {}); }
std::string portalSuspended() { return message('s', {}); }

std::string parameterDescription(const std::vector<std::uint32_t>& types) {
  std::string body;
  putNumbers32(body, types);
  return message('t', body);
}

std::string parseMessage(std::string_view name, std::string_view statement,
                         const std::vector<std::uint32_t>& types) {
  std::string body;
  putText(body, name);
  putText(body, statement);
  putNumbers32(body, types);
  return message('P', body);
}

std::string bindMessage(const Bind& bind) {
  std::string body;
  putText(body, bind.portal);
  putText(body, bind.statement);
  putNumbers16(body, bind.formats);
  putCount(body, bind.values.size());
  for (const auto& value : bind.values) {
    put32(body, value ? static_cast<std::uint32_t>(value->size()) : kNullLength);
    if (value) body.append(*value);
  }
  putNumbers16(body, bind.resultFormats);
  return message('B', body);
}

std::string describeMessage(const DescribeTarget& target) { return targeted('D', target); }
std::string closeMessage(const DescribeTarget& target) { return targeted('C', target); }

std::string executeMessage(const Execute& execute) {
  std::string body;
  putText(body, execute.portal);
  put32(body, static_cast<std::uint32_t>(execute.maxRows));
  return message('E', body);
}

std::string syncMessage() { return message('S', {}); }
std::string flushMessage() { return message('H', {}); }

}  // namespace sablespur::postgres
