#include "discovery/dnssd/source.hpp"

#include "logging/log.hpp"

namespace sablespur {

DnsSdDiscovery::DnsSdDiscovery(event_base* base, const Clock& clock, EndpointUpdater& feed,
                               const Config& config)
    : base_(base),
      clock_(clock),
      updater_(feed),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<DnsSdDiscovery*>(self)->sendDueQueries(); },
          this)) {
  open(config);
}

void DnsSdDiscovery::open(const Config& config) {
  auto directory = std::make_unique<DnsSdDirectory>(config.dnssd, config.groups, config.seed);
  resolver_.reset();  // with its queries
  directory_ = std::move(directory);
  settings_ = config.dnssd;
  resolver_ = std::make_unique<Resolver>(
      base_, clock_, settings_,
      [this](const dns::Question& q, const Resolver::Reply& r) { handleReply(q, r); });
  hasPublished_ = false;
  startTimer(timer_.get(), Time(0));
}

void DnsSdDiscovery::updateSettings(const Config& config) {
  if (config.dnssd == settings_) return;
  open(config);
}

void DnsSdDiscovery::sendDueQueries() {
  const Time now = clock_.now();
  for (const DnsSdDirectory::Query& a : directory_->dueQueries(now)) resolver_->query(a.question, a.tcp);
  if (const auto at = directory_->nextDeadline())
    startTimer(timer_.get(), *at - now);
  else
    event_del(timer_.get());  // the next reply starts it
}

void DnsSdDiscovery::handleReply(const dns::Question& q, const Resolver::Reply& r) {
  const Time now = clock_.now();
  if (r.ok)
    directory_->handleAnswer(now, q, r.message, r.tcp);
  else
    directory_->handleFailure(now, q);
  if (!r.ok && q.type == dns::Type::Ptr) updater_.discoveryFailed(r.error);
  if (!r.ok && q.type != dns::Type::Ptr)
    logEvent(LogLevel::Warning, "record_failed",
             {{"name", q.name}, {"type", static_cast<int>(q.type)}, {"why", r.error}});
  // An answer that only confirms a single record changes nothing; the PTR answer confirms the list as a
  // whole.
  if (r.ok && (q.type == dns::Type::Ptr || directory_->version() != publishedVersion_ || !hasPublished_))
    publish();
  sendDueQueries();
}

// Not before the first list is complete: endpoints that followed it would count as just started.
void DnsSdDiscovery::publish() {
  if (!hasPublished_ && !directory_->isComplete()) return;
  publishedVersion_ = directory_->version();
  for (const auto& [name, why] : directory_->faults()) {
    const auto it = loggedFaults_.find(name);
    if (it == loggedFaults_.end() || it->second != why)
      logEvent(LogLevel::Warning, "endpoint_ignored", {{"name", dns::firstLabel(name)}, {"why", why}});
  }
  loggedFaults_ = directory_->faults();
  const bool first = !hasPublished_;
  hasPublished_ = true;
  updater_.found(directory_->instances(), first);
}

}  // namespace sablespur
