// The source of the list that the settings name.
#pragma once

#include <memory>

#include "engine/endpoint_updater.hpp"
#include "engine/engine.hpp"

namespace sablespur {

class ListSource : public DiscoverySource {
 public:
  virtual void move(const Config&) = 0;  // new settings of discovery, while it runs
  // Instances that are left out, by name, and why.
  virtual std::map<std::string, std::string> faults() const { return {}; }
};

EndpointTablePolicy sourcePolicy(const Config&);
// Throws BadInput where this build lacks the source.
std::unique_ptr<ListSource> openSource(event_base*, const Clock&, EndpointUpdater&, const Config&);

}  // namespace sablespur
