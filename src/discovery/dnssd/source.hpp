// The list from DNS-SD: asks what the Directory finds due, and gives the MemberFeed what it makes of the
// answers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/dnssd/directory.hpp"
#include "discovery/dnssd/resolver.hpp"
#include "engine/endpoint_updater.hpp"

namespace sablespur {

class DnsSdDiscovery {
 public:
  // Throws BadInput where the settings name no domain. Asks from the loop's next pass on.
  DnsSdDiscovery(event_base*, const Clock&, EndpointUpdater&, const Config&);
  // New settings: the members stand until the new ones have told a whole list. The same ones change nothing.
  void updateSettings(const Config&);

  // A whole list has been told since the start, or since the last move.
  bool hasPublished() const { return hasPublished_; }
  const std::map<std::string, std::string>& faults() const { return directory_->faults(); }
  const Resolver::Counts& counts() const { return resolver_->counts(); }

 private:
  void open(const Config&);
  void sendDueQueries();
  void handleReply(const dns::Question&, const Resolver::Reply&);
  void publish();

  event_base* const base_;
  const Clock& clock_;
  EndpointUpdater& updater_;
  DnsSdSettings settings_;
  std::unique_ptr<DnsSdDirectory> directory_;
  std::unique_ptr<Resolver> resolver_;
  Event timer_;
  bool hasPublished_ = false;
  std::uint64_t publishedVersion_ = 0;               // of the directory, when it was last told
  std::map<std::string, std::string> loggedFaults_;  // faults that the log has
};

}  // namespace sablespur
