// Validates and buffers a data server's answer to one query, message by message.
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
  SingleValue,  // exactly one row of one column
  AnyRows,      // any number of columns and rows
  LoadReport    // one row of one column, whose value is parsed
};

// Why a message was rejected, for the log; std::nullopt: the message is valid.
using MessageFault = std::optional<std::string_view>;

// An answer consists of RowDescription, DataRows and CommandComplete, or of an ErrorResponse,
// followed by ReadyForQuery. ParameterStatus and NoticeResponse may appear anywhere in between.
// Messages are passed in the order in which they arrive. expects() and maxBodySize() check a
// message by its header alone, so that a body with a huge announced length is rejected before it is
// read.
class AnswerParser {
 public:
  explicit AnswerParser(AnswerKind kind);

  bool expects(char type) const;
  std::size_t maxBodySize(char type) const;
  // Whether a message of that length, header included, still fits the size limit of an answer.
  // Answers are buffered until they are complete.
  bool hasRoomFor(std::size_t messageLength) const;
  // Whether a message of the answer has arrived, not counting parameters and notices.
  bool started() const { return stage_ != Stage::Start; }
  // Whether takeRow() handles rows, without parsing their values.
  bool forwardsRows() const { return kind_ != AnswerKind::LoadReport; }

  // Moves the DataRow at the front of `input`, header included, into the answer.
  MessageFault takeRow(evbuffer* input, std::size_t body);
  MessageFault takeDescription(std::string_view body);
  MessageFault takeCompletion(std::string_view body);
  // Parses the DataRow of a load report; report() stays empty if it is malformed.
  void takeReport(std::string_view body);
  // Handles the ErrorResponse that ends the answer. With `forwardStatementErrors`, the error of an
  // invalid statement replaces the buffered answer.
  void takeError(const ServerError&, std::string_view body, bool forwardStatementErrors);
  void takeParameter(std::string_view name, std::string_view value);
  // Moves a message, header included, from the front of `input` into the answer.
  void forward(evbuffer* input, std::size_t messageLength);

  bool invalidStatement() const { return invalidStatement_; }
  const std::optional<std::string>& report() const { return report_; }
  // Returns the outcome; call it after ReadyForQuery. `cancelledAs`: the result to report if the
  // error is the effect of a CancelRequest.
  AttemptEnd finish(std::optional<AttemptResult> cancelledAs);

 private:
  enum class Stage { Start, Described, Row, Complete, Failed };

  bool singleRow() const { return kind_ != AnswerKind::AnyRows; }
  bool isRow(evbuffer* input, std::size_t body) const;

  const AnswerKind kind_;
  Stage stage_ = Stage::Start;
  std::size_t columns_ = 0;  // number of columns in the RowDescription; AnyRows only
  Buffer messages_;
  AttemptResult errorResult_ = AttemptResult::Reset;  // valid in Stage::Failed
  bool invalidStatement_ = false;
  bool cancelled_ = false;
  Role role_ = Role::Unknown;
  std::int64_t positionMs_ = 0;  // Unix time; 0: not reported
  std::optional<std::string> report_;
};

}  // namespace sablespur
