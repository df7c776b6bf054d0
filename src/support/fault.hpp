// An error in a file that an operator writes: where it is, what is wrong and how to correct it.
#pragma once

#include <string>

namespace sablespur {

struct Fault {
  std::string file;
  int line = 0;         // counted from 1; 0: the error concerns the file as a whole
  std::string where;    // "[section] key", or empty
  std::string problem;  // what is wrong
  std::string fix;      // how to correct it, or empty

  // "FILE:LINE: [section] key: problem; fix", without the parts that are absent.
  std::string text() const {
    std::string all = file;
    if (line > 0) all += ":" + std::to_string(line);
    all += ": ";
    if (!where.empty()) all += where + ": ";
    all += problem;
    if (!fix.empty()) all += "; " + fix;
    return all;
  }
};

}  // namespace sablespur
