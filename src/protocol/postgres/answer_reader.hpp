// Reads the answers and errors of servers, in protocol 3, into the terms of translation/terms.hpp. Pure;
// views point into the message given.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "translation/terms.hpp"

namespace sablespur::postgres {

// Reads answers of every minor version. Lives as long as the process.
const translation::AnswerReader& reader();

// Reads the messages of an answer, from RowDescription or CommandComplete up to and with CommandComplete.
// False: they are malformed, or the consumer returned false.
bool readAnswer(std::string_view messages, translation::AnswerConsumer& consumer);
// Reads the body of a RowDescription. False: it is malformed; `columns` then holds what came before.
bool readColumns(std::string_view body, std::vector<translation::Column>& columns);
// Whether this is the body of a DataRow of so many columns, for answers that are passed on unread.
bool isRow(std::string_view body, std::size_t columns);
// Reads the body of an ErrorResponse; unknown fields are skipped. The code is empty where it is malformed.
translation::ErrorReport parseErrorReport(std::string_view body);

}  // namespace sablespur::postgres
