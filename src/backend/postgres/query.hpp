// Composes the Query message of an attempt: the client's statement with the remaining time
// inserted.
#pragma once

#include <chrono>
#include <optional>

#include "engine/engine.hpp"
#include "engine/event.hpp"

namespace sablespur {

// Neither parses nor copies the statement: the result shares the buffers of `message`. `left`: the
// remaining time to insert.
Buffer composeQuery(const RequestMessage& message, std::chrono::milliseconds left);

// The same for a data server that treats backslashes in string literals differently from the
// client: rewrites the literals. `serverBackslashes`: whether backslashes are escapes on the data
// server. Returns std::nullopt if the result exceeds the maximum message length.
std::optional<Buffer> composeRewrittenQuery(const RequestMessage& message, std::chrono::milliseconds left,
                                            bool serverBackslashes);

}  // namespace sablespur
