#include "frontend/postgres/prepared_statements.hpp"

#include <algorithm>
#include <utility>

#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/messages.hpp"
#include "translation/parameters.hpp"

namespace sablespur {
namespace {

// Limits on the memory used by a client that never closes its prepared statements and portals.
constexpr std::size_t kMaxNames = 256;         // of statements, and as many of portals
constexpr std::size_t kMaxColumnsSize = 8192;  // bytes of a stored RowDescription

constexpr std::int16_t kBinaryFormat = 1;

using Reply = PreparedStatements::Reply;

Reply success(std::string messages) { return {std::move(messages), nullptr, {}}; }
Reply failure(const char* code, std::string text) { return {{}, code, std::move(text)}; }
Reply malformed(const char* message) {
  return failure("08P01", std::string("malformed ") + message + " message");
}

std::string quoted(std::string_view name) { return "\"" + std::string(name) + "\""; }

Reply noSuchStatement(std::string_view name) {
  return failure("26000", "prepared statement " + quoted(name) + " does not exist");
}
Reply noSuchPortal(std::string_view name) {
  return failure("34000", "portal " + quoted(name) + " does not exist");
}

bool isBlank(std::string_view text) { return text.find_first_not_of(" \t\r\n;") == std::string_view::npos; }

bool isResultFormat(std::int16_t format) { return format == 0 || format == kBinaryFormat; }

// A single format applies to all columns; a column without a format is sent as text.
bool isBinary(const std::vector<std::int16_t>& formats, std::size_t column) {
  if (formats.size() == 1) return formats[0] == kBinaryFormat;
  return column < formats.size() && formats[column] == kBinaryFormat;
}

// Builds a RowDescription from the body of a stored one, with the formats that the client
// requested.
std::string rowDescription(const std::string& body, const translation::ResultFormat& format) {
  std::vector<translation::Column> columns;
  if (!postgres::readColumns(body, columns)) return postgres::noData();
  for (std::size_t k = 0; k < columns.size(); ++k) columns[k].binary = isBinary(format.columnFormats, k);
  return postgres::Codec(0).columns(columns);
}

std::vector<translation::Parameter> parametersOf(const postgres::Bind& bind,
                                                 const std::vector<std::uint32_t>& types) {
  std::vector<translation::Parameter> parameters;
  parameters.reserve(bind.values.size());
  for (std::size_t k = 0; k < bind.values.size(); ++k)
    parameters.push_back({bind.values[k], k < types.size() ? types[k] : 0, bind.binary(k)});
  return parameters;
}

}  // namespace

void PreparedStatements::erase(Statements::iterator statement) {
  bytes_ -= statement->second.text.size() + statement->second.columns.size();
  statements_.erase(statement);
}

void PreparedStatements::erase(Portals::iterator portal) {
  bytes_ -= portal->second.text.size();
  portals_.erase(portal);
}

Reply PreparedStatements::parse(std::string_view body, bool backslashes) {
  auto message = postgres::parseParse(body);
  if (!message) return malformed("Parse");
  if (const auto existing = statements_.find(message->name); existing != statements_.end()) {
    if (!message->name.empty())
      return failure("42P05", "prepared statement " + quoted(message->name) + " already exists");
    erase(existing);
  }
  if (statements_.size() >= kMaxNames)
    return failure("53400", "too many prepared statements, " + std::to_string(kMaxNames) + " at most");
  const auto parameterCount = translation::countParameters(message->statement, backslashes);
  if (!parameterCount) return failure("42P02", "a parameter's number is out of range");
  Statement statement;
  statement.text = std::string(message->statement);
  statement.parameterTypes = std::move(message->types);
  statement.parameterCount = std::max(*parameterCount, statement.parameterTypes.size());
  bytes_ += statement.text.size();
  statements_.emplace(std::string(message->name), std::move(statement));
  return success(postgres::parseComplete());
}

Reply PreparedStatements::bind(std::string_view body, bool backslashes, std::size_t maxStatementSize) {
  auto message = postgres::parseBind(body);
  if (!message) return malformed("Bind");
  const auto found = statements_.find(message->statement);
  if (found == statements_.end()) return noSuchStatement(message->statement);
  const Statement& statement = found->second;
  if (message->values.size() != statement.parameterCount)
    return failure("08P01", "bind message supplies " + std::to_string(message->values.size()) +
                                " parameters, but prepared statement " + quoted(message->statement) +
                                " requires " + std::to_string(statement.parameterCount));
  const auto& formats = message->resultFormats;
  if (!std::all_of(formats.begin(), formats.end(), isResultFormat)) return malformed("Bind");
  if (const auto existing = portals_.find(message->portal); existing != portals_.end()) {
    if (!message->portal.empty())
      return failure("42P03", "portal " + quoted(message->portal) + " already exists");
    erase(existing);
  }
  if (portals_.size() >= kMaxNames)
    return failure("53400", "too many portals, " + std::to_string(kMaxNames) + " at most");
  std::string why;
  auto text = translation::substitute(
      statement.text, backslashes, parametersOf(*message, statement.parameterTypes), maxStatementSize, why);
  if (!text) return failure("0A000", why);
  Portal portal;
  portal.statementName = std::string(message->statement);
  portal.text = std::move(*text);
  portal.resultFormat.columnFormats = std::move(message->resultFormats);
  bytes_ += portal.text.size();
  portals_.emplace(std::string(message->portal), std::move(portal));
  return success(postgres::bindComplete());
}

Reply PreparedStatements::describe(std::string_view body) {
  const auto target = postgres::parseDescribeTarget(body);
  if (!target) return malformed("Describe");
  return target->portal ? describePortal(target->name) : describeStatement(target->name);
}

// Defers the reply: the columns are known only once the portal has been executed, and are sent with
// that answer.
Reply PreparedStatements::describePortal(std::string_view name) {
  const auto portal = portals_.find(name);
  if (portal == portals_.end()) return noSuchPortal(name);
  portal->second.describePending = true;
  return {};
}

Reply PreparedStatements::describeStatement(std::string_view name) const {
  const auto found = statements_.find(name);
  if (found == statements_.end()) return noSuchStatement(name);
  const Statement& statement = found->second;
  if (!statement.executed && !isBlank(statement.text))
    return failure("0A000",
                   "Describe of a statement that has not run here is not supported; describe its portal");
  std::vector<std::uint32_t> types = statement.parameterTypes;
  types.resize(statement.parameterCount);
  std::replace(types.begin(), types.end(), std::uint32_t{0}, translation::kText);  // 0: unspecified
  const std::string columns =
      statement.columns.empty() ? postgres::noData() : rowDescription(statement.columns, {});
  return success(postgres::parameterDescription(types) + columns);
}

Reply PreparedStatements::flush() {
  std::string messages;
  for (auto& [name, portal] : portals_) {
    if (!portal.describePending) continue;
    portal.describePending = false;
    const auto statement = statements_.find(portal.statementName);
    if (statement == statements_.end() || !statement->second.executed)
      return failure("0A000", "Describe of a portal without its Execute is not supported");
    const std::string& columns = statement->second.columns;
    messages += columns.empty() ? postgres::noData() : rowDescription(columns, portal.resultFormat);
  }
  return success(std::move(messages));
}

Reply PreparedStatements::close(std::string_view body) {
  const auto target = postgres::parseDescribeTarget(body);
  if (!target) return malformed("Close");
  if (target->portal) {
    if (const auto portal = portals_.find(target->name); portal != portals_.end()) erase(portal);
  } else if (const auto statement = statements_.find(target->name); statement != statements_.end()) {
    erase(statement);
  }
  return success(postgres::closeComplete());
}

Reply PreparedStatements::execute(std::string_view body, std::optional<Execution>& execution) {
  const auto message = postgres::parseExecute(body);
  if (!message) return malformed("Execute");
  const auto found = portals_.find(message->portal);
  if (found == portals_.end()) return noSuchPortal(message->portal);
  Portal& portal = found->second;
  if (portal.suspended)
    return failure("0A000", "Execute that goes on where a row limit stopped is not supported");
  if (portal.executed)
    return failure("55000", "portal " + quoted(message->portal) + " cannot be run anymore");
  execution.emplace();
  if (!isBlank(portal.text)) execution->statement = portal.text;
  execution->resultFormat = portal.resultFormat;
  execution->sendRowDescription = portal.describePending;
  execution->maxRows = static_cast<std::size_t>(message->maxRows);
  portal.describePending = false;
  portal.executed = true;
  lastExecutedPortal_ = std::string(message->portal);
  return {};
}

void PreparedStatements::onExecuted(std::string_view columns, bool suspended) {
  const auto portal = portals_.find(lastExecutedPortal_);
  if (portal == portals_.end()) return;
  portal->second.suspended = suspended;
  const auto found = statements_.find(portal->second.statementName);
  if (found == statements_.end() || columns.size() > kMaxColumnsSize) return;
  Statement& statement = found->second;
  statement.executed = true;
  bytes_ -= statement.columns.size();
  statement.columns = std::string(columns);
  bytes_ += columns.size();
}

Reply PreparedStatements::sync() {
  Reply reply = flush();
  while (!portals_.empty()) erase(portals_.begin());
  return reply;
}

void PreparedStatements::onSimpleQuery() {
  if (const auto portal = portals_.find(""); portal != portals_.end()) erase(portal);
  if (const auto statement = statements_.find(""); statement != statements_.end()) erase(statement);
}

}  // namespace sablespur
