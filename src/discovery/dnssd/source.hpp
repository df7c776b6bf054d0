// Discovery by DNS-SD: sends the queries that the directory finds due, and publishes the endpoints that the
// answers describe.
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
  // Throws BadInput where the settings name no domain. Queries start with the loop's next pass. The clock and
  // the updater have to outlive it.
  DnsSdDiscovery(event_base*, const Clock&, EndpointUpdater&, const Config&);
  // The published endpoints stay until the new settings have given a whole list. Equal settings change
  // nothing.
  void updateSettings(const Config&);

  // Whether a whole list has been published since the start or the last change of settings.
  bool hasPublished() const { return hasPublished_; }
  // The instances that are left out, by name, and why.
  const std::map<std::string, std::string>& faults() const { return directory_->faults(); }
  const Resolver::Counts& counts() const { return resolver_->counts(); }

 private:
  void open(const Config&);
  void sendDueQueries();
  void handleReply(const dns::Question&, const Resolver::Reply&);
  void handleAnswer(const dns::Question&, const Resolver::Answer&);
  void handleFailure(const dns::Question&, const Resolver::Failure&);
  void publish();
  void logNewFaults();

  event_base* const base_;
  const Clock& clock_;
  EndpointUpdater& updater_;
  DnsSdSettings settings_;
  std::unique_ptr<DnsSdDirectory> directory_;
  std::unique_ptr<Resolver> resolver_;
  Event timer_;
  bool hasPublished_ = false;
  std::uint64_t publishedVersion_ = 0;               // of the directory, when it was last published
  std::map<std::string, std::string> loggedFaults_;  // faults that have been logged
};

}  // namespace sablespur
