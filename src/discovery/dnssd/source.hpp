// Discovery by DNS-SD: sends the queries that the directory has due, and publishes the endpoints
// that the answers describe.
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
  // Throws BadInput if the service or domain of the settings is not a valid domain name. The first
  // query is sent from the event loop. The clock and the updater must outlive this object.
  DnsSdDiscovery(event_base*, const Clock&, EndpointUpdater&, const Config&);
  // Restarts discovery if the DNS-SD settings changed. The published endpoints stay until the first
  // complete list under the new settings.
  void updateSettings(const Config&);

  // Whether a complete list has been published since the start or the last change of settings.
  bool hasPublished() const { return hasPublished_; }
  // The reasons for which instances are ignored, by instance name.
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
  std::uint64_t publishedVersion_ = 0;               // version of the directory last published
  std::map<std::string, std::string> loggedFaults_;  // as of the last publication
};

}  // namespace sablespur
