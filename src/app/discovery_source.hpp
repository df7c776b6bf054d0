// Creates the discovery source that the settings name.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "discovery/registry/watch.hpp"
#include "engine/endpoint_updater.hpp"
#include "engine/engine.hpp"

namespace sablespur {

// A discovery source whose settings may change while it runs.
class ConfiguredDiscovery : public DiscoverySource {
 public:
  // Applies new settings. The known endpoints stay until the source has delivered a complete list
  // under the new settings. A change of the kind of source is logged and not applied.
  virtual void updateSettings(const Config&) = 0;
  // This process has started beside another one of the same proxy. Called before watch().
  virtual void setBesideAnotherProcess() {}
  // Another process of this proxy has handed over a list that discovery had confirmed to it.
  virtual void listConfirmedByOtherProcess() {}
  // Whether this process would have been told of any change.
  virtual bool isListCurrent() const { return true; }
  // State of the registry watch; std::nullopt for other kinds of source.
  virtual std::optional<RegistryWatch::View> registryView() const { return std::nullopt; }
  // Reasons why instances are excluded from the endpoint list, by instance name.
  virtual std::map<std::string, std::string> faults() const { return {}; }
};

EndpointTablePolicy endpointTablePolicy(const Config&);

// Creates a source that passes the endpoints it finds to the updater. Throws BadInput if this build
// lacks that kind of source.
std::unique_ptr<ConfiguredDiscovery> createDiscoverySource(event_base*, const Clock&, EndpointUpdater&,
                                                           const Config&);

}  // namespace sablespur
