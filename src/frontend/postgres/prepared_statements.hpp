// The prepared statements and portals of one client (see "Extended Query" in the PostgreSQL
// documentation).
//
// Data servers are sent simple queries only, so a portal holds the text of its statement with the
// parameters substituted as literals. Pure (no I/O): Session passes the messages in and sends the
// replies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/postgres/extended.hpp"
#include "translation/answer.hpp"

namespace sablespur {

class PreparedStatements {
 public:
  // The reply to a message: either messages for the client or an error. After an error the client's
  // messages are skipped until Sync.
  struct Reply {
    std::string messages;
    const char* errorCode = nullptr;  // SQLSTATE; null if there is no error
    std::string errorText;
  };
  // The request to run for an Execute.
  struct Execution {
    std::string statement;  // empty if there is nothing to run
    translation::ResultFormat resultFormat;
    bool sendRowDescription = false;  // whether a Describe of the portal is unanswered
    std::size_t maxRows = 0;          // 0: no limit
  };

  // Each function handles the message of its name and takes its body. `backslashes` means that a
  // backslash in a literal is an escape character (standard_conforming_strings is off).
  Reply parse(std::string_view body, bool backslashes);
  Reply bind(std::string_view body, bool backslashes, std::size_t maxStatementSize);
  Reply describe(std::string_view body);
  Reply close(std::string_view body);
  // Sets `execution` unless the reply is an error.
  Reply execute(std::string_view body, std::optional<Execution>& execution);
  Reply sync();   // closes all portals
  Reply flush();  // answers each Describe of a portal that is still unanswered
  // Called when the last Execute has been answered. `columns` is the body of its RowDescription,
  // empty if it had none; `suspended` means that it stopped at its row limit.
  void onExecuted(std::string_view columns, bool suspended);
  // Called for a simple query, which closes the unnamed statement and portal.
  void onSimpleQuery();

  std::size_t bytes() const { return bytes_; }  // memory held for this client

 private:
  struct Statement {
    std::string text;
    std::vector<std::uint32_t> parameterTypes;
    std::size_t parameterCount = 0;
    std::string columns;  // body of its last RowDescription; empty if it had none
    bool executed = false;
  };
  struct Portal {
    std::string statementName;
    std::string text;
    translation::ResultFormat resultFormat;
    bool describePending = false;
    bool suspended = false;
    bool executed = false;
  };
  using Statements = std::map<std::string, Statement, std::less<>>;
  using Portals = std::map<std::string, Portal, std::less<>>;

  Reply describePortal(std::string_view name);
  Reply describeStatement(std::string_view name) const;
  void erase(Statements::iterator);
  void erase(Portals::iterator);

  Statements statements_;
  Portals portals_;
  std::string lastExecutedPortal_;
  std::size_t bytes_ = 0;
};

}  // namespace sablespur
