// The extended query sub-protocol of protocol 3: what clients send, and the answers that it has of its own.
// Pure; views point into the message given.
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
  std::vector<std::uint32_t> types;  // object ids of parameters' types; 0 or missing: not specified
};

struct Bind {
  std::string_view portal;
  std::string_view statement;                           // name of the prepared one
  std::vector<std::int16_t> formats;                    // none: all text; one: of all; otherwise one for each
  std::vector<std::optional<std::string_view>> values;  // std::nullopt: NULL
  std::vector<std::int16_t> resultFormats;              // as formats

  // Whether the parameter with this index is in binary format.
  bool binary(std::size_t parameter) const;
};

// What a Describe or Close is about.
struct DescribeTarget {
  bool portal = false;  // otherwise a prepared statement
  std::string_view name;
};

struct Execute {
  std::string_view portal;
  std::int32_t maxRows = 0;  // 0: all
};

// std::nullopt: the body does not have the message's form.
std::optional<Parse> parseParse(std::string_view body);
std::optional<Bind> parseBind(std::string_view body);
std::optional<DescribeTarget> parseDescribeTarget(std::string_view body);
std::optional<Execute> parseExecute(std::string_view body);

// What a server answers.
std::string parseComplete();
std::string bindComplete();
std::string closeComplete();
std::string noData();
std::string portalSuspended();
std::string parameterDescription(const std::vector<std::uint32_t>& types);

// The same messages as a client sends them; for stand-ins and tests.
std::string parseMessage(std::string_view name, std::string_view statement,
                         const std::vector<std::uint32_t>& types);
std::string bindMessage(const Bind& bind);
std::string describeMessage(const DescribeTarget& target);
std::string closeMessage(const DescribeTarget& target);
std::string executeMessage(const Execute& execute);
std::string syncMessage();
std::string flushMessage();

}  // namespace sablespur::postgres
