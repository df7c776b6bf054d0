// Passes endpoint lists from a discovery source through the EndpointTable to the consumer (the
// engine).
//
// The table has no clock or timer of its own: this class passes it the time, sets a timer for
// changes that flap damping delays, and logs each change that the consumer receives.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_table.hpp"
#include "engine/clock.hpp"
#include "engine/event.hpp"

namespace sablespur {

class EndpointUpdater final : public EndpointListConsumer {
 public:
  // The clock and the consumer must outlive the EndpointUpdater.
  EndpointUpdater(event_base*, const Clock&, EndpointListConsumer&, const EndpointTablePolicy&);

  // Sets the known list of the settings, which the consumer has already received.
  void adoptKnown(const EndpointList& known) { table_.adoptKnown(clock_.now(), known); }
  // Called by a source that delivers the whole list each time; see EndpointTable::applySnapshot.
  void snapshotReceived(std::vector<DiscoveredEndpoint>, bool first);
  // Called by a source whose lists have generations.
  void endpointsListed(EndpointList) override;
  void discoveryFailed(const std::string& why) override;
  void listLimited(std::optional<Clock::Time> until, ListLimit limit) override {
    consumer_.listLimited(until, limit);
  }
  std::uint64_t generation() const override { return table_.generation(); }

  // Number of lists received with endpointsListed().
  std::uint64_t listCount() const { return listCount_; }
  std::uint64_t lastGeneration() const { return table_.lastGeneration(); }
  std::optional<EndpointList> registryList() const { return table_.registryList(); }

  void setPolicy(const EndpointTablePolicy& policy) { table_.setPolicy(policy); }
  EndpointTable::View view() const { return table_.view(clock_.now()); }

 private:
  void deliverDueLists();
  void logReceived(const EndpointList&) const;
  void logFailure(Clock::Time now, const std::string& why);

  const Clock& clock_;
  EndpointListConsumer& consumer_;
  EndpointTable table_;
  Event timer_;
  std::uint64_t listCount_ = 0;
  std::optional<Clock::Time> failureLoggedAt_;
};

}  // namespace sablespur
