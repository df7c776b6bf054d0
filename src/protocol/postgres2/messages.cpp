#include "protocol/postgres2/messages.hpp"

#include <algorithm>

namespace sablespur::postgres2 {
namespace {

// Of the startup packet: database, user, command line options, unused, tty.
constexpr std::size_t kDatabase = 64, kUser = 32, kOptions = 64, kUnused = 64, kTty = 64;
static_assert(8 + kDatabase + kUser + kOptions + kUnused + kTty == kStartupLength);
constexpr std::size_t kLongestText = 8192;  // of a message that is one string
constexpr std::size_t kLongestValue = 1 << 20;

void put32(std::string& to, std::uint32_t v) {
  for (int shift = 24; shift >= 0; shift -= 8) to.push_back(static_cast<char>(v >> shift));
}
void put16(std::string& to, std::uint16_t v) {
  to.push_back(static_cast<char>(v >> 8));
  to.push_back(static_cast<char>(v));
}
std::uint32_t get32(std::string_view from, std::size_t at) {
  std::uint32_t v = 0;
  for (std::size_t k = 0; k < 4; ++k) v = v << 8 | static_cast<unsigned char>(from[at + k]);
  return v;
}
std::uint16_t get16(std::string_view from, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(from[at]) << 8 |
                                    static_cast<unsigned char>(from[at + 1]));
}
// A text in a field of fixed size: to its first NUL, or all of it.
std::string limited(std::string_view field) { return std::string(field.substr(0, field.find('\0'))); }
std::string padded(std::string_view text, std::size_t size) {
  std::string field(text.substr(0, size - 1));
  field.resize(size, '\0');
  return field;
}
std::string one(char type, std::string_view text) {
  std::string m(1, type);
  m.append(text.substr(0, text.find('\0')));
  m.push_back('\0');
  return m;
}

}  // namespace

std::optional<Startup> parseStartup(std::string_view p) {
  if (p.size() != kStartupLength || get32(p, 0) != kStartupLength || get32(p, 4) >> 16 != kVersion >> 16)
    return std::nullopt;
  Startup s;
  s.version = get32(p, 4);
  s.database = limited(p.substr(8, kDatabase));
  s.user = limited(p.substr(8 + kDatabase, kUser));
  s.options = limited(p.substr(8 + kDatabase + kUser, kOptions));
  return s;
}
std::string startup(const Startup& s) {
  std::string p;
  put32(p, kStartupLength);
  put32(p, s.version);
  return p + padded(s.database, kDatabase) + padded(s.user, kUser) + padded(s.options, kOptions) +
         std::string(kUnused + kTty, '\0');
}

std::optional<Cancel> parseCancel(std::string_view p) {
  if (p.size() != kCancelLength || get32(p, 0) != kCancelLength || get32(p, 4) != kCancelCode)
    return std::nullopt;
  return Cancel{get32(p, 8), get32(p, 12)};
}
std::string cancel(const Cancel& c) {
  std::string p;
  put32(p, kCancelLength);
  put32(p, kCancelCode);
  put32(p, c.process);
  put32(p, c.key);
  return p;
}

std::optional<ClientMessage> parseClientMessage(std::string_view in, bool& bad) {
  bad = false;
  if (in.empty()) return std::nullopt;
  if (in[0] == 'X') return ClientMessage{'X', {}, 1};
  if (in[0] == 'F') return ClientMessage{'F', {}, 1};
  if (in[0] != 'Q') {
    bad = true;
    return std::nullopt;
  }
  const std::size_t end = in.find('\0', 1);
  if (end == std::string_view::npos) {
    bad = in.size() > kMaxQuery;
    return std::nullopt;
  }
  if (end > kMaxQuery) {
    bad = true;
    return std::nullopt;
  }
  return ClientMessage{'Q', in.substr(1, end - 1), end + 1};
}
std::string query(std::string_view statement) { return one('Q', statement); }

std::optional<std::string_view> parsePassword(std::string_view in, std::size_t& size, bool& bad) {
  bad = false;
  if (in.size() < 4) return std::nullopt;
  const std::uint32_t length = get32(in, 0);
  if (length < 5 || length > kMaxPassword) {
    bad = true;
    return std::nullopt;
  }
  if (in.size() < length) return std::nullopt;
  size = length;
  const std::string_view text = in.substr(4, length - 4);
  return text.substr(0, text.find('\0'));
}
std::string password(std::string_view text) {
  std::string p;
  put32(p, static_cast<std::uint32_t>(text.size() + 5));
  p.append(text);
  p.push_back('\0');
  return p;
}

std::string authenticationOk() { return std::string("R\0\0\0\0", 5); }
std::string askCleartext() { return std::string("R\0\0\0\3", 5); }
std::string askMd5(std::string_view salt) { return std::string("R\0\0\0\5", 5).append(salt.substr(0, 4)); }
std::string keyData(const Cancel& c) {
  std::string m = "K";
  put32(m, c.process);
  put32(m, c.key);
  return m;
}
std::string ready() { return "Z"; }
std::string emptyQuery() { return one('I', ""); }
std::string cursor() { return one('P', "blank"); }
std::string completed(std::string_view tag) { return one('C', tag); }
std::string error(std::string_view text) { return one('E', text.substr(0, kLongestText - 2)); }
std::string notice(std::string_view text) { return one('N', text.substr(0, kLongestText - 2)); }

std::string rowDescription(const std::vector<Column>& columns) {
  std::string m = "T";
  put16(m, static_cast<std::uint16_t>(columns.size()));
  for (const Column& c : columns) {
    m.append(c.name.substr(0, c.name.find('\0'))).push_back('\0');
    put32(m, c.type);
    put16(m, static_cast<std::uint16_t>(c.size));
    put32(m, static_cast<std::uint32_t>(c.modifier));
  }
  return m;
}

// A bit a column, from the highest of the first byte on: 1 is a value, 0 is null. A text's length counts
// itself, a binary one's does not.
void appendRow(std::string& to, const std::vector<Value>& values, bool binary) {
  std::size_t size = 1 + (values.size() + 7) / 8;
  for (const Value& v : values) size += v ? 4 + v->size() : 0;
  to.reserve(to.size() + size);
  to.push_back(binary ? 'B' : 'D');
  const std::size_t bitmap = to.size();
  to.resize(bitmap + (values.size() + 7) / 8, '\0');
  for (std::size_t k = 0; k < values.size(); ++k)
    if (values[k])
      to[bitmap + k / 8] = static_cast<char>(static_cast<unsigned char>(to[bitmap + k / 8]) | 0x80u >> k % 8);
  for (const Value& v : values) {
    if (!v) continue;
    put32(to, static_cast<std::uint32_t>(v->size() + (binary ? 0 : 4)));
    to.append(*v);
  }
}
std::string row(const std::vector<Value>& values, bool binary) {
  std::string one;
  appendRow(one, values, binary);
  return one;
}

std::optional<Reader::Message> Reader::take(std::string_view in, std::size_t& size, bool& bad) {
  bad = false;
  if (in.empty()) return std::nullopt;
  Message m;
  m.type = in[0];
  std::size_t at = 1;
  const auto have = [&](std::size_t n) { return in.size() >= at + n; };
  const auto text = [&](std::string& to) {
    const std::size_t end = in.find('\0', at);
    if (end == std::string_view::npos) {
      bad = in.size() - at > kLongestText;
      return false;
    }
    to = std::string(in.substr(at, end - at));
    at = end + 1;
    return true;
  };
  switch (m.type) {
    case 'R':
      if (!have(4)) return std::nullopt;
      m.number = get32(in, at);
      at += 4;
      if (m.number == 5 || m.number == 4) {
        const std::size_t salt = m.number == 5 ? 4 : 2;
        if (!have(salt)) return std::nullopt;
        m.text = std::string(in.substr(at, salt));
        at += salt;
      }
      break;
    case 'K':
      if (!have(8)) return std::nullopt;
      m.key = {get32(in, at), get32(in, at + 4)};
      at += 8;
      break;
    case 'Z':
      break;
    case 'A':
      if (!have(4)) return std::nullopt;
      m.number = get32(in, at);
      at += 4;
      if (!text(m.text)) return std::nullopt;
      break;
    case 'C':
    case 'E':
    case 'I':
    case 'N':
    case 'P':
      if (!text(m.text)) return std::nullopt;
      break;
    case 'T': {
      if (!have(2)) return std::nullopt;
      const std::size_t n = get16(in, at);
      at += 2;
      bad = n > kMaxColumns;
      for (std::size_t k = 0; k < n && !bad; ++k) {
        Column c;
        if (!text(c.name) || !have(10)) return std::nullopt;
        c.type = get32(in, at);
        c.size = static_cast<std::int16_t>(get16(in, at + 4));
        c.modifier = static_cast<std::int32_t>(get32(in, at + 6));
        at += 10;
        m.columns.push_back(std::move(c));
      }
      if (bad) return std::nullopt;
      columns_ = n;
      break;
    }
    case 'B':
    case 'D': {
      const std::size_t bitmap = (columns_ + 7) / 8, from = at;
      if (!have(bitmap)) return std::nullopt;
      at += bitmap;
      for (std::size_t k = 0; k < columns_; ++k) {
        if ((static_cast<unsigned char>(in[from + k / 8]) & 0x80u >> k % 8) == 0) {
          m.row.push_back(std::nullopt);
          continue;
        }
        if (!have(4)) return std::nullopt;
        const std::uint32_t length = get32(in, at), own = m.type == 'D' ? 4 : 0;
        if (length < own || length - own > kLongestValue) {
          bad = true;
          return std::nullopt;
        }
        at += 4;
        if (!have(length - own)) return std::nullopt;
        m.row.emplace_back(std::string(in.substr(at, length - own)));
        at += length - own;
      }
      break;
    }
    default:
      bad = true;
      return std::nullopt;
  }
  size = at;
  return m;
}

}  // namespace sablespur::postgres2
