// `sablespur password NAME`: prints a user's line for the users file.
#pragma once

#include <cstdint>
#include <string>

namespace sablespur {

struct PasswordOptions {
  std::string user;
  bool md5 = false;                 // false: SCRAM
  std::uint32_t iterations = 4096;  // SCRAM iteration count
};

// Reads the password from standard input, without echo if that is a terminal, and prints the line.
// Returns the exit status.
int makePassword(const PasswordOptions&);

}  // namespace sablespur
