// The command line interface, parsed with CLI11.
#pragma once

namespace sablespur {

// Runs the command that the arguments name; without arguments, serves with the platform's JSON
// settings file, which NODE_CONFIG names. Returns the exit status:
//   0  success
//   1  the command failed, with one line on standard error that gives the reason
//   2  the command line is invalid
int commandLine(int argc, char** argv);

}  // namespace sablespur
