// Entry point of the sablespur program; src/app implements the commands.
#include <csignal>

#include "app/cli.hpp"

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the event loop handles it; the default action is to exit
  return sablespur::commandLine(argc, argv);
}
