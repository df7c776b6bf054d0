#include "simulator/protocol.hpp"

int main() { return sablespur::simulator::run(0, 1); }
