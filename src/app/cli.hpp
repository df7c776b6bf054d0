// The command line, on CLI11.
#pragma once

namespace sablespur {

// With no arguments it serves by NODE_CONFIG, the platform's form. Exit status: 0 done, 1 what was asked
// failed (one line on standard error says why), 2 the command line itself is at fault.
int commandLine(int argc, char** argv);

}  // namespace sablespur
