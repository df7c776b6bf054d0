// The former name of these headers, for files that still include them by it.
#pragma once

#include "protocol/postgres2/messages.hpp"               // IWYU pragma: export
#include "protocol/postgres2/server_message_reader.hpp"  // IWYU pragma: export
