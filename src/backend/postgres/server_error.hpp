// Classifies a data server's ErrorResponse by its effect on the attempt or login that it answers.
#pragma once

#include "engine/engine.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur {

struct ServerError {
  AttemptResult result = AttemptResult::Error;
  bool invalidStatement = false;  // caused by the statement: syntax, data or protocol error
  bool cancelled = false;         // the query was cancelled, as by a CancelRequest
  bool fatal = false;             // the data server closes the connection
};

enum class ConnectionPhase { Startup, Query };

// Classifies by SQLSTATE (PostgreSQL's documentation, "PostgreSQL Error Codes").
ServerError classifyServerError(const postgres::ErrorFields&, ConnectionPhase);

// Whether the server does not support the requested protocol version. Only servers without version
// negotiation answer with this error.
bool rejectsProtocolVersion(const postgres::ErrorFields&);

// Whether the code is that of an internal server error (XX000). These are too frequent during
// faults to be logged.
bool isInternalError(const postgres::ErrorFields&);

}  // namespace sablespur
