// Passes the endpoint list from a discovery source through the EndpointTable to its consumer, the engine.
//
// The table is pure; this class gives it the time, wakes it when a change falls due (flap damping), and logs
// each change that the consumer receives.
#pragma once

#include "discovery/endpoint_table.hpp"
#include "engine/clock.hpp"
#include "engine/event.hpp"

namespace sablespur {

class EndpointUpdater final : public EndpointListConsumer {
 public:
  EndpointUpdater(event_base*, const Clock&, EndpointListConsumer& to, const EndpointTablePolicy&);

  // From a source that gives the whole list each time; see EndpointTable::found.
  void found(std::vector<DiscoveredEndpoint>, bool first);
  // From a source whose lists have generations.
  void endpointsListed(EndpointList) override;
  void discoveryFailed(const std::string& why) override;
  std::uint64_t generation() const override { return table_.generation(); }

  void policy(const EndpointTablePolicy& p) { table_.setPolicy(p); }
  EndpointTable::View view() const { return table_.view(clock_.now()); }

 private:
  void deliverDueLists();

  const Clock& clock_;
  EndpointListConsumer& consumer_;
  EndpointTable table_;
  Event timer_;
  std::chrono::microseconds lastFailureLoggedAt_{};  // 0: never
};

}  // namespace sablespur
