// Composes the Query message of an attempt: the client's statement with the time that is left put into it.
#pragma once

#include <chrono>
#include <optional>

#include "engine/engine.hpp"
#include "engine/event.hpp"

namespace sablespur {

// The statement goes on unread and uncopied: the result shares the buffers of `message`.
Buffer composeQuery(const RequestMessage& message, std::chrono::milliseconds left);

// The same for a data server that reads backslashes in string literals differently from the client: literals
// are rewritten for one where they escape, or do not. Nothing: the result exceeds the longest message.
std::optional<Buffer> composeRewrittenQuery(const RequestMessage& message, std::chrono::milliseconds left,
                                            bool serverBackslashes);

}  // namespace sablespur
