// What an ErrorResponse of a data server means for the attempt, or the login, that it answers.
#pragma once

#include "engine/engine.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur {

struct ServerError {
  AttemptResult result = AttemptResult::Error;
  bool invalidStatement = false;  // the statement is at fault: syntax, data, protocol
  bool cancelled = false;         // by a CancelRequest
  bool fatal = false;             // the data server closes the connection
};

enum class ConnectionPhase { Startup, Query };

// Classifies by SQLSTATE (PostgreSQL's documentation, "PostgreSQL Error Codes").
ServerError classifyServerError(const postgres::ErrorFields&, ConnectionPhase);

// Whether the code says that the server does not know the protocol version that was asked for: one from
// before versions were negotiated.
bool rejectsProtocolVersion(const postgres::ErrorFields&);

// Whether the code is that of a server's own fault, which is too common under trouble to be logged.
bool isInternalError(const postgres::ErrorFields&);

}  // namespace sablespur
