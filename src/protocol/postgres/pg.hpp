// The former name of messages.hpp, for files that still include it by that name.
#pragma once

#include "protocol/postgres/messages.hpp"  // IWYU pragma: export
