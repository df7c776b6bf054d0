// sablespur: the program's entry; src/app does the rest.
#include <csignal>

#include "app/cli.hpp"

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the loop handles it: by default it ends the process
  return sablespur::commandLine(argc, argv);
}
