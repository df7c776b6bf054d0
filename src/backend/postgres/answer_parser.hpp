// Checks and gathers a data server's answer to one query, message by message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "backend/postgres/server_error.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"

namespace sablespur {

enum class AnswerKind {
  SingleValue,  // one row of one column, no more and no less
  AnyRows,      // any number of columns and rows
  LoadReport    // one row of one column, which is read
};

// What is wrong with a message, for the log; nothing where it is in order.
using MessageFault = std::optional<std::string_view>;

// An answer is a description, rows, a completion, or an error instead, and then ReadyForQuery, with
// parameters and notices anywhere between. Messages are offered in their order: expects() and longestBody()
// judge by the head alone, before a body is read that may promise gigabytes.
class AnswerParser {
 public:
  explicit AnswerParser(AnswerKind kind);

  bool expects(char type) const;
  std::size_t longestBody(char type) const;
  // Whether a whole message of that length still has room: answers are held whole until they are complete.
  bool hasRoomFor(std::size_t messageLength) const;
  // Whether something of the answer itself has come.
  bool started() const { return stage_ != Stage::Start; }
  // Whether rows are moved by takeRow(), their values unread.
  bool forwardsRows() const { return kind_ != AnswerKind::LoadReport; }

  // Moves the DataRow at the front of `input`, head included, into the answer.
  MessageFault takeRow(evbuffer* input, std::size_t body);
  MessageFault takeDescription(std::string_view body);
  MessageFault takeCompletion(std::string_view body);
  void takeReport(std::string_view body);  // the DataRow of a load report; malformed: there is no report
  // The error that ends the answer; `forwardStatementErrors`: an invalid statement's error becomes the
  // answer.
  void takeError(const ServerError&, std::string_view body, bool forwardStatementErrors);
  void takeParameter(std::string_view name, std::string_view value);
  // Moves a message, head included, from the front of `input` into the answer.
  void forward(evbuffer* input, std::size_t messageLength);

  bool invalidStatement() const { return invalidStatement_; }
  const std::optional<std::string>& report() const { return report_; }
  // The outcome, once ReadyForQuery has come. `cancelledAs`: how an attempt ends whose cancellation took
  // effect.
  AttemptEnd finish(std::optional<AttemptResult> cancelledAs);

 private:
  enum class Stage { Start, Described, Row, Complete, Failed };

  bool singleRow() const { return kind_ != AnswerKind::AnyRows; }
  bool isRow(evbuffer* input, std::size_t body) const;

  const AnswerKind kind_;
  Stage stage_ = Stage::Start;
  std::size_t columns_ = 0;  // as described; AnyRows only
  Buffer messages_;
  AttemptResult errorResult_ = AttemptResult::Reset;  // Stage::Failed
  bool invalidStatement_ = false;
  bool cancelled_ = false;
  Role role_ = Role::Unknown;
  std::int64_t positionMs_ = 0;  // Unix time; 0: not told
  std::optional<std::string> report_;
};

}  // namespace sablespur
