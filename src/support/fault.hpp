// What is wrong in a file that people write, said so that they can mend it.
#pragma once

#include <string>

namespace sablespur {

// `line` 0: the file as a whole.
struct Fault {
  std::string file;
  int line = 0;
  std::string where;  // "[section] key", or empty
  std::string problem, fix;
  std::string text() const {  // "FILE:LINE: [section] key: problem; fix"
    return file + (line > 0 ? ":" + std::to_string(line) : "") + ": " + (where.empty() ? "" : where + ": ") +
           problem + (fix.empty() ? "" : "; " + fix);
  }
};

}  // namespace sablespur
