// The extended query sub-protocol of protocol 3: the messages of clients, and the server's
// responses that only this sub-protocol has. Does no I/O; returned views point into the given
// message.
//
// PostgreSQL's documentation, "Message Formats".
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::postgres {

struct Parse {
  std::string_view name;  // of the prepared statement
  std::string_view statement;
  std::vector<std::uint32_t> types;  // OIDs of the parameters' types; 0 or missing: not specified
};

struct Bind {
  std::string_view portal;
  std::string_view statement;                           // name of the prepared statement
  std::vector<std::int16_t> formats;                    // none: all text; one: for all; otherwise one each
  std::vector<std::optional<std::string_view>> values;  // std::nullopt: NULL
  std::vector<std::int16_t> resultFormats;              // as formats

  // Whether the parameter with this index is in binary format.
  bool binary(std::size_t parameter) const;
};

// The target of a Describe or Close.
struct DescribeTarget {
  bool portal = false;  // otherwise a prepared statement
  std::string_view name;
};

struct Execute {
  std::string_view portal;
  std::int32_t maxRows = 0;  // 0: all
};

// Return std::nullopt if the body is malformed.
std::optional<Parse> parseParse(std::string_view body);
std::optional<Bind> parseBind(std::string_view body);
std::optional<DescribeTarget> parseDescribeTarget(std::string_view body);
std::optional<Execute> parseExecute(std::string_view body);

// Messages of a server.
std::string parseComplete();
std::string bindComplete();
std::string closeComplete();
std::string noData();
std::string portalSuspended();
std::string parameterDescription(const std::vector<std::uint32_t>& types);

// Messages of a client; for stand-in clients and tests.
std::string parseMessage(std::string_view name, std::string_view statement,
                         const std::vector<std::uint32_t>& types);
std::string bindMessage(const Bind& bind);
std::string describeMessage(const DescribeTarget& target);
std::string closeMessage(const DescribeTarget& target);
std::string executeMessage(const Execute& execute);
std::string syncMessage();
std::string flushMessage();

}  // namespace sablespur::postgres
