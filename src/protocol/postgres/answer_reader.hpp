// Parses answers and errors of servers in protocol 3 into the types of translation/terms.hpp. Does
// no I/O; returned views point into the given message.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "translation/terms.hpp"

namespace sablespur::postgres {

// Returns the reader for answers of every minor version. It lives as long as the process.
const translation::AnswerReader& reader();

// Reads the messages of an answer, which starts with RowDescription or CommandComplete, up to and
// including CommandComplete. Returns false if they are malformed or the consumer returned false.
bool readAnswer(std::string_view messages, translation::AnswerConsumer& consumer);
// Reads the body of a RowDescription. Returns false if it is malformed; `columns` then holds the
// columns before the malformed one.
bool readColumns(std::string_view body, std::vector<translation::Column>& columns);
// Whether `body` is that of a DataRow with `columns` columns. For answers that are forwarded
// without parsing their values.
bool isRow(std::string_view body, std::size_t columns);
// Parses the body of an ErrorResponse; unknown fields are skipped. The code is empty if it is
// malformed.
translation::ErrorReport parseErrorReport(std::string_view body);

}  // namespace sablespur::postgres
