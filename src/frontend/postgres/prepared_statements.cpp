#include "frontend/postgres/prepared_statements.hpp"

#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/pg.hpp"
#include "translation/parameters.hpp"

namespace sablespur {
namespace {

// Guards the memory: a client that never closes what it prepares.
constexpr std::size_t kMostNames = 256, kLongestColumns = 8192;

PreparedStatements::Reply fault(const char* code, std::string text) { return {{}, code, std::move(text)}; }
PreparedStatements::Reply malformed(const char* what) {
  return fault("08P01", std::string("malformed ") + what + " message");
}
std::string quoted(std::string_view name) { return "\"" + std::string(name) + "\""; }

bool blank(std::string_view text) { return text.find_first_not_of(" \t\r\n;") == std::string_view::npos; }

// A RowDescription as the asker gets it, with its formats.
std::string described(const std::string& body, const translation::ResultFormat& wanted) {
  std::vector<translation::Column> columns;
  if (!postgres::readColumns(body, columns)) return postgres::noData();
  for (std::size_t k = 0; k < columns.size(); ++k) {
    const auto& r = wanted.columnFormats;
    columns[k].binary = r.size() == 1 ? r[0] == 1 : k < r.size() && r[k] == 1;
  }
  return postgres::Codec(0).columns(columns);
}

}  // namespace

void PreparedStatements::drop(std::map<std::string, Statement, std::less<>>::iterator it) {
  bytes_ -= it->second.text.size() + it->second.columns.size();
  statements_.erase(it);
}
void PreparedStatements::drop(std::map<std::string, Portal, std::less<>>::iterator it) {
  bytes_ -= it->second.text.size();
  portals_.erase(it);
}

PreparedStatements::Reply PreparedStatements::parse(std::string_view body, bool backslashes) {
  auto m = postgres::parseParse(body);
  if (!m) return malformed("Parse");
  if (const auto old = statements_.find(m->name); old != statements_.end()) {
    if (!m->name.empty()) return fault("42P05", "prepared statement " + quoted(m->name) + " already exists");
    drop(old);
  }
  if (statements_.size() >= kMostNames)
    return fault("53400", "too many prepared statements, " + std::to_string(kMostNames) + " at most");
  const auto n = translation::countParameters(m->statement, backslashes);
  if (!n) return fault("42P02", "a parameter's number is out of range");
  Statement s;
  s.text = std::string(m->statement);
  s.types = std::move(m->types);
  s.parameters = std::max(*n, s.types.size());
  bytes_ += s.text.size();
  statements_.emplace(std::string(m->name), std::move(s));
  return {postgres::parseComplete(), nullptr, {}};
}

PreparedStatements::Reply PreparedStatements::bind(std::string_view body, bool backslashes,
                                                   std::size_t longest) {
  auto m = postgres::parseBind(body);
  if (!m) return malformed("Bind");
  const auto it = statements_.find(m->statement);
  if (it == statements_.end())
    return fault("26000", "prepared statement " + quoted(m->statement) + " does not exist");
  const Statement& s = it->second;
  if (m->values.size() != s.parameters)
    return fault("08P01", "bind message supplies " + std::to_string(m->values.size()) +
                              " parameters, but prepared statement " + quoted(m->statement) + " requires " +
                              std::to_string(s.parameters));
  for (const std::int16_t f : m->resultFormats)
    if (f != 0 && f != 1) return malformed("Bind");
  if (const auto old = portals_.find(m->portal); old != portals_.end()) {
    if (!m->portal.empty()) return fault("42P03", "portal " + quoted(m->portal) + " already exists");
    drop(old);
  }
  if (portals_.size() >= kMostNames)
    return fault("53400", "too many portals, " + std::to_string(kMostNames) + " at most");
  std::vector<translation::Parameter> parameters;
  for (std::size_t k = 0; k < m->values.size(); ++k)
    parameters.push_back({m->values[k], k < s.types.size() ? s.types[k] : 0, m->binary(k)});
  std::string why;
  auto text = translation::substitute(s.text, backslashes, parameters, longest, why);
  if (!text) return fault("0A000", why);
  Portal p;
  p.statement = std::string(m->statement);
  p.text = std::move(*text);
  p.resultFormat.columnFormats = std::move(m->resultFormats);
  bytes_ += p.text.size();
  portals_.emplace(std::string(m->portal), std::move(p));
  return {postgres::bindComplete(), nullptr, {}};
}

PreparedStatements::Reply PreparedStatements::describe(std::string_view body) {
  const auto m = postgres::parseDescribeTarget(body);
  if (!m) return malformed("Describe");
  if (m->portal) {
    const auto it = portals_.find(m->name);
    if (it == portals_.end()) return fault("34000", "portal " + quoted(m->name) + " does not exist");
    it->second.describe = true;  // told with the answer of its Execute
    return {};
  }
  const auto it = statements_.find(m->name);
  if (it == statements_.end())
    return fault("26000", "prepared statement " + quoted(m->name) + " does not exist");
  const Statement& s = it->second;
  if (!s.ran && !blank(s.text))
    return fault("0A000",
                 "Describe of a statement that has not run here is not supported; describe its portal");
  std::vector<std::uint32_t> types = s.types;
  types.resize(s.parameters);
  for (std::uint32_t& t : types)
    if (t == 0) t = translation::kText;
  return {postgres::parameterDescription(types) +
              (s.columns.empty() ? postgres::noData() : described(s.columns, {})),
          nullptr,
          {}};
}

PreparedStatements::Reply PreparedStatements::flush() {
  std::string answer;
  for (auto& [name, p] : portals_) {
    if (!p.describe) continue;
    p.describe = false;
    const auto s = statements_.find(p.statement);
    if (s == statements_.end() || !s->second.ran)
      return fault("0A000", "Describe of a portal without its Execute is not supported");
    answer += s->second.columns.empty() ? postgres::noData() : described(s->second.columns, p.resultFormat);
  }
  return {answer, nullptr, {}};
}

PreparedStatements::Reply PreparedStatements::close(std::string_view body) {
  const auto m = postgres::parseDescribeTarget(body);
  if (!m) return malformed("Close");
  if (m->portal) {
    if (const auto it = portals_.find(m->name); it != portals_.end()) drop(it);
  } else if (const auto it = statements_.find(m->name); it != statements_.end()) {
    drop(it);
  }
  return {postgres::closeComplete(), nullptr, {}};
}

PreparedStatements::Reply PreparedStatements::execute(std::string_view body,
                                                      std::optional<Execution>& asked) {
  const auto m = postgres::parseExecute(body);
  if (!m) return malformed("Execute");
  const auto it = portals_.find(m->portal);
  if (it == portals_.end()) return fault("34000", "portal " + quoted(m->portal) + " does not exist");
  Portal& p = it->second;
  if (p.suspended) return fault("0A000", "Execute that goes on where a row limit stopped is not supported");
  if (p.ran) return fault("55000", "portal " + quoted(m->portal) + " cannot be run anymore");
  Execution a;
  a.statement = blank(p.text) ? std::string() : p.text;
  a.resultFormat = p.resultFormat;
  a.sendRowDescription = p.describe;
  a.maxRows = static_cast<std::size_t>(m->maxRows);
  p.describe = false;
  p.ran = true;
  lastPortal_ = std::string(m->portal);
  asked = std::move(a);
  return {};
}

void PreparedStatements::onExecuted(std::string_view columns, bool suspended) {
  const auto p = portals_.find(lastPortal_);
  if (p == portals_.end()) return;
  p->second.suspended = suspended;
  const auto s = statements_.find(p->second.statement);
  if (s == statements_.end() || columns.size() > kLongestColumns) return;
  s->second.ran = true;
  bytes_ -= s->second.columns.size();
  s->second.columns = std::string(columns);
  bytes_ += columns.size();
}

PreparedStatements::Reply PreparedStatements::sync() {
  Reply owed = flush();
  while (!portals_.empty()) drop(portals_.begin());
  return owed;
}

void PreparedStatements::onSimpleQuery() {
  if (const auto p = portals_.find(""); p != portals_.end()) drop(p);
  if (const auto s = statements_.find(""); s != statements_.end()) drop(s);
}

}  // namespace sablespur
