// The former name of these headers, for files that still include them by it.
#pragma once

#include "protocol/postgres/messages.hpp"           // IWYU pragma: export
#include "protocol/postgres/statement_comment.hpp"  // IWYU pragma: export
