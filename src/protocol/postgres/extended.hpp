// The extended query sub-protocol of version 3 (PostgreSQL's documentation, "Message Formats"): what clients
// send, and the answers that it has of its own. Pure; texts and values point into the message that was given.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::postgres {

struct Parse {
  std::string_view name, statement;
  std::vector<std::uint32_t> types;  // of parameters; 0 or missing: not said
};
struct Bind {
  std::string_view portal, statement;
  std::vector<std::int16_t> formats;                    // none: all text; one: of all; else one each
  std::vector<std::optional<std::string_view>> values;  // nothing: NULL
  std::vector<std::int16_t> resultFormats;              // as formats
  bool binary(std::size_t parameter) const;
};
struct DescribeTarget {  // of Describe and Close
  bool portal = false;
  std::string_view name;
};
struct Execute {
  std::string_view portal;
  std::int32_t maxRows = 0;  // rows; 0: all
};

// Nothing: the body does not have the message's form.
std::optional<Parse> parseParse(std::string_view body);
std::optional<Bind> parseBind(std::string_view body);
std::optional<DescribeTarget> parseDescribeTarget(std::string_view body);
std::optional<Execute> parseExecute(std::string_view body);

std::string parseComplete();
std::string bindComplete();
std::string closeComplete();
std::string noData();
std::string portalSuspended();
std::string parameterDescription(const std::vector<std::uint32_t>& types);

// The same, as a client sends them; for stand-ins and tests.
std::string parseMessage(std::string_view name, std::string_view statement,
                         const std::vector<std::uint32_t>& types);
std::string bindMessage(const Bind&);
std::string describeMessage(const DescribeTarget&);
std::string closeMessage(const DescribeTarget&);
std::string executeMessage(const Execute&);
std::string syncMessage();
std::string flushMessage();

}  // namespace sablespur::postgres
