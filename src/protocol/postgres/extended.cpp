#include "protocol/postgres/extended.hpp"

#include "protocol/postgres/bytes.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur::postgres {
namespace {

// Reads a body from its start; after a fault everything it gives is empty, and done() is false.
class Body {
 public:
  explicit Body(std::string_view text) : rest_(text) {}
  std::string_view text() {
    const std::size_t end = rest_.find('\0');
    if (end == std::string_view::npos) return fail();
    const std::string_view t = rest_.substr(0, end);
    rest_.remove_prefix(end + 1);
    return t;
  }
  std::string_view bytes(std::size_t n) {
    if (rest_.size() < n) return fail();
    const std::string_view b = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return b;
  }
  std::uint16_t number16() {
    const std::string_view b = bytes(2);
    return b.empty() ? std::uint16_t{0}
                     : static_cast<std::uint16_t>(static_cast<unsigned char>(b[0]) << 8 |
                                                  static_cast<unsigned char>(b[1]));
  }
  std::uint32_t number32() {
    const std::string_view b = bytes(4);
    return b.empty() ? 0 : readInt32(b.data());
  }
  std::size_t left() const { return rest_.size(); }
  bool good() const { return good_; }
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

// A count and so many numbers of two bytes.
std::vector<std::int16_t> numbers(Body& b) {
  const std::size_t n = b.number16();
  std::vector<std::int16_t> all;
  if (b.left() < 2 * n) {
    b.bytes(b.left() + 1);  // a count that lies
    return all;
  }
  for (std::size_t k = 0; k < n; ++k) all.push_back(static_cast<std::int16_t>(b.number16()));
  return all;
}

}  // namespace

bool Bind::binary(std::size_t k) const {
  if (formats.empty()) return false;
  return formats.size() == 1 ? formats[0] == 1 : k < formats.size() && formats[k] == 1;
}

std::optional<Parse> parseParse(std::string_view body) {
  Body b(body);
  Parse p;
  p.name = b.text();
  p.statement = b.text();
  const std::size_t n = b.number16();
  if (b.left() != 4 * n) return std::nullopt;
  for (std::size_t k = 0; k < n; ++k) p.types.push_back(b.number32());
  return b.done() ? std::make_optional(std::move(p)) : std::nullopt;
}

std::optional<Bind> parseBind(std::string_view body) {
  Body b(body);
  Bind m;
  m.portal = b.text();
  m.statement = b.text();
  m.formats = numbers(b);
  const std::size_t n = b.number16();
  if (b.left() < 4 * n) return std::nullopt;
  for (std::size_t k = 0; k < n && b.good(); ++k) {
    const std::uint32_t length = b.number32();
    if (length == 0xffffffff)
      m.values.emplace_back(std::nullopt);
    else
      m.values.emplace_back(b.bytes(length));
  }
  m.resultFormats = numbers(b);
  // A format code for each parameter, for all, or none.
  const bool fits = m.formats.size() <= 1 || m.formats.size() == m.values.size();
  return b.done() && fits ? std::make_optional(std::move(m)) : std::nullopt;
}

std::optional<DescribeTarget> parseDescribeTarget(std::string_view body) {
  Body b(body);
  const std::string_view kind = b.bytes(1);
  DescribeTarget t;
  t.name = b.text();
  if (!b.done() || (kind[0] != 'S' && kind[0] != 'P')) return std::nullopt;
  t.portal = kind[0] == 'P';
  return t;
}

std::optional<Execute> parseExecute(std::string_view body) {
  Body b(body);
  Execute e;
  e.portal = b.text();
  e.maxRows = static_cast<std::int32_t>(b.number32());
  return b.done() && e.maxRows >= 0 ? std::make_optional(e) : std::nullopt;
}

std::string parseComplete() { return message('1', {}); }
std::string bindComplete() { return message('2', {}); }
std::string closeComplete() { return message('3', {}); }
std::string noData() { return message('n', {}); }
std::string portalSuspended() { return message('s', {}); }
std::string parameterDescription(const std::vector<std::uint32_t>& types) {
  std::string body;
  put16(body, static_cast<std::uint16_t>(types.size()));
  for (const std::uint32_t t : types) put32(body, t);
  return message('t', body);
}

std::string parseMessage(std::string_view name, std::string_view statement,
                         const std::vector<std::uint32_t>& types) {
  std::string body;
  putText(body, name);
  putText(body, statement);
  put16(body, static_cast<std::uint16_t>(types.size()));
  for (const std::uint32_t t : types) put32(body, t);
  return message('P', body);
}
std::string bindMessage(const Bind& m) {
  std::string body;
  putText(body, m.portal);
  putText(body, m.statement);
  put16(body, static_cast<std::uint16_t>(m.formats.size()));
  for (const std::int16_t f : m.formats) put16(body, static_cast<std::uint16_t>(f));
  put16(body, static_cast<std::uint16_t>(m.values.size()));
  for (const auto& v : m.values) {
    put32(body, v ? static_cast<std::uint32_t>(v->size()) : 0xffffffff);
    if (v) body.append(*v);
  }
  put16(body, static_cast<std::uint16_t>(m.resultFormats.size()));
  for (const std::int16_t f : m.resultFormats) put16(body, static_cast<std::uint16_t>(f));
  return message('B', body);
}
namespace {
std::string targeted(char type, const DescribeTarget& t) {
  std::string body(1, t.portal ? 'P' : 'S');
  putText(body, t.name);
  return message(type, body);
}
}  // namespace
std::string describeMessage(const DescribeTarget& t) { return targeted('D', t); }
std::string closeMessage(const DescribeTarget& t) { return targeted('C', t); }
std::string executeMessage(const Execute& e) {
  std::string body;
  putText(body, e.portal);
  put32(body, static_cast<std::uint32_t>(e.maxRows));
  return message('E', body);
}
std::string syncMessage() { return message('S', {}); }
std::string flushMessage() { return message('H', {}); }

}  // namespace sablespur::postgres
