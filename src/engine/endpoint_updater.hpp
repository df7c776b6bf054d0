// Between a source of the list and whoever takes it (the engine): what a member is since when is
// Membership's; this gives it the time, wakes it when something changes by itself, and logs what the taker is
// told.
#pragma once

#include "discovery/endpoint_table.hpp"
#include "engine/clock.hpp"
#include "engine/event.hpp"

namespace sablespur {

class EndpointUpdater final : public EndpointListConsumer {
 public:
  EndpointUpdater(event_base*, const Clock&, EndpointListConsumer& to, const EndpointTablePolicy&);

  // From a source that tells everything each time; see Membership::found.
  void found(std::vector<DiscoveredEndpoint>, bool first);
  // From a source with generations.
  void endpointsListed(EndpointList) override;
  void discoveryFailed(const std::string& why) override;
  std::uint64_t generation() const override { return table_.generation(); }

  void policy(const EndpointTablePolicy& p) { table_.policy(p); }
  EndpointTable::View view() const { return table_.view(clock_.now()); }

 private:
  void deliverDueLists();

  const Clock& clock_;
  EndpointListConsumer& consumer_;
  EndpointTable table_;
  Event timer_;
  std::chrono::microseconds lastFailureLoggedAt_{};  // when the age of the list was last logged
};

}  // namespace sablespur
