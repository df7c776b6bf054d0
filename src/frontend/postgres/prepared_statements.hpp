// A client's prepared statements and portals, as the extended query sub-protocol names them. Pure: it is
// given messages and says what is answered; what is to be asked of a data server it hands out. The statement
// that a portal stands for has its parameters as literals.
#pragma once

#include <cstddef>
#include <cstdint>
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
  // What a message leads to: an answer, or an error after which everything is passed over until Sync.
  struct Reply {
    std::string messages;
    const char* errorCode = nullptr;  // of the error; null: there is none
    std::string errorText;
  };
  // What an Execute asks.
  struct Execution {
    std::string statement;  // empty: of nothing but blanks
    translation::ResultFormat resultFormat;
    bool sendRowDescription = false;  // its columns are still owed
    std::size_t maxRows = 0;
  };

  Reply parse(std::string_view body, bool backslashes);
  Reply bind(std::string_view body, bool backslashes, std::size_t longest);
  Reply describe(std::string_view body);
  Reply close(std::string_view body);
  Reply execute(std::string_view body, std::optional<Execution>&);
  // The answer of the last Execute: the columns it had, as a RowDescription's body (empty: none), or that it
  // stopped at its row limit.
  void onExecuted(std::string_view columns, bool suspended);
  Reply sync();          // portals end here
  Reply flush();         // what is owed of a Describe and cannot wait any longer: before a Flush and at Sync
  void onSimpleQuery();  // it ends the unnamed statement and portal

  std::size_t bytes() const { return bytes_; }  // that are held for this client

 private:
  struct Statement {
    std::string text;
    std::vector<std::uint32_t> types;
    std::size_t parameters = 0;
    std::string columns;  // a RowDescription's body of its last run
    bool ran = false;
  };
  struct Portal {
    std::string statement;  // by name
    std::string text;
    translation::ResultFormat resultFormat;
    bool describe = false, suspended = false, ran = false;
  };
  void drop(std::map<std::string, Statement, std::less<>>::iterator);
  void drop(std::map<std::string, Portal, std::less<>>::iterator);

  std::map<std::string, Statement, std::less<>> statements_;
  std::map<std::string, Portal, std::less<>> portals_;
  std::string lastPortal_;  // the portal executed last
  std::size_t bytes_ = 0;
};

}  // namespace sablespur
