#include "simulator/protocol.hpp"

int main() { return knotstack::wire::run(0, 1); }
