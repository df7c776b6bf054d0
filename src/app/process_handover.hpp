// What a process of the proxy knows of another one during an upgrade, when a second process starts
// beside the first and takes its place.
//
// While two processes run, the one that was there first writes the endpoint list that discovery has
// told it to a file. The second one, which may not reach discovery, applies that list as if
// discovery had sent it. Nothing is written while one process runs alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "app/discovery_source.hpp"
#include "config/config.hpp"
#include "engine/endpoint_updater.hpp"
#include "engine/event.hpp"
#include "engine/process_presence.hpp"
#include "engine/shared_file.hpp"

namespace sablespur {

// Returns the list in the registry's JSON form, as parseEndpointList() reads it.
std::string formatEndpointList(const EndpointList&);

class ProcessHandover {
 public:
  // Registers this process; has to be constructed before the first client is accepted. The updater
  // and the source have to outlive it.
  ProcessHandover(event_base*, const Config&, EndpointUpdater&, ConfiguredDiscovery&);
  // Hands over what was told since the last poll.
  ~ProcessHandover() { poll(); }
  ProcessHandover(const ProcessHandover&) = delete;
  ProcessHandover& operator=(const ProcessHandover&) = delete;

  ProcessPresence& presence() { return presence_; }
  // Whether another process was there first and may still run.
  bool isSuccessor() const { return isSuccessor_; }

 private:
  void poll();
  void inheritList();
  void writeList();

  const std::string listFile_;
  EndpointUpdater& updater_;
  ConfiguredDiscovery& discovery_;
  std::optional<FileVersion> listSeen_;  // version of the list file that was last read
  ProcessPresence presence_;
  bool isSuccessor_;                // another process was there first and may still run
  std::uint64_t listsWritten_ = 0;  // EndpointUpdater::listCount() at the last write
  bool writeFailing_ = false;       // the write failure is already logged
  Event pollTimer_;
};

}  // namespace sablespur
