// The one place where configuration is read, checked and given defaults.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "knotstack/balancer.hpp"
#include "net/list.hpp"

namespace sablespur {

using knotstack::Time;

struct Config {
  std::string name;
  sockaddr_in listen{}, discovery{};
  std::uint64_t seed = 0;
  // Bounds that follow from the limits on descriptors and memory.
  std::size_t clientConnections = 0, serverConnections = 0;
  std::size_t askingClients = 0;    // of the clients, those that have asked something, idle ones included
  std::size_t largeStatements = 0;  // bytes that statements too long to be read ahead may take, all together
  InstanceList known;
  knotstack::Settings settings;
  std::vector<std::string> classes;  // names, in the order of settings.classes
  std::vector<std::string> zones;
  std::vector<std::string> reportNames;  // in the order of settings.figures
  Time dialTimeout{};                    // a connection that is not up by then has failed
  Time idleClose{};                      // data servers close what stands idle for so long
  bool sessions = false;                 // some class needs to know a request's session
};

Config parseConfig(const std::string& json);  // throws BadInput naming the key
Config readConfig(const char* path);          // the same for a file

}  // namespace sablespur
