#include "discovery/dnssd/source.hpp"

#include <variant>

#include "logging/log.hpp"

namespace sablespur {

DnsSdDiscovery::DnsSdDiscovery(event_base* base, const Clock& clock, EndpointUpdater& updater,
                               const Config& config)
    : base_(base),
      clock_(clock),
      updater_(updater),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<DnsSdDiscovery*>(self)->sendDueQueries(); },
          this)) {
  open(config);
}

void DnsSdDiscovery::open(const Config& config) {
  auto directory = std::make_unique<DnsSdDirectory>(config.dnssd, config.groups, config.seed);
  resolver_.reset();  // cancels the queries in flight
  directory_ = std::move(directory);
  settings_ = config.dnssd;
  resolver_ = std::make_unique<Resolver>(
      base_, clock_, settings_,
      [this](const dns::Question& question, const Resolver::Reply& reply) { handleReply(question, reply); });
  hasPublished_ = false;
  startTimer(timer_.get(), Time(0));
}

void DnsSdDiscovery::updateSettings(const Config& config) {
  if (config.dnssd == settings_) return;
  open(config);
}

void DnsSdDiscovery::sendDueQueries() {
  const Time now = clock_.now();
  for (const DnsSdDirectory::Query& query : directory_->dueQueries(now))
    resolver_->query(query.question, query.overTcp);
  if (const auto at = directory_->nextDeadline())
    startTimer(timer_.get(), *at - now);
  else
    event_del(timer_.get());  // restarted by the next reply
}

void DnsSdDiscovery::handleReply(const dns::Question& question, const Resolver::Reply& reply) {
  if (const auto* const answer = std::get_if<Resolver::Answer>(&reply))
    handleAnswer(question, *answer);
  else
    handleFailure(question, std::get<Resolver::Failure>(reply));
  sendDueQueries();
}

void DnsSdDiscovery::handleAnswer(const dns::Question& question, const Resolver::Answer& answer) {
  directory_->handleAnswer(clock_.now(), question, answer.message, answer.overTcp);
  // An answer that only confirms a single record needs no publication. A PTR answer confirms the
  // complete list and is always published.
  const bool changed = directory_->version() != publishedVersion_;
  if (question.type == dns::Type::Ptr || changed || !hasPublished_) publish();
}

void DnsSdDiscovery::handleFailure(const dns::Question& question, const Resolver::Failure& failure) {
  directory_->handleFailure(clock_.now(), question);
  if (question.type == dns::Type::Ptr) return updater_.discoveryFailed(failure.reason);
  logEvent(LogLevel::Warning, "record_failed",
           {{"name", question.name}, {"type", static_cast<int>(question.type)}, {"why", failure.reason}});
}

// Publishes nothing before the first list is complete: endpoints added after the first list are
// treated as newly started.
void DnsSdDiscovery::publish() {
  if (!hasPublished_ && !directory_->isComplete()) return;
  publishedVersion_ = directory_->version();
  logNewFaults();
  const bool first = !hasPublished_;
  hasPublished_ = true;
  updater_.snapshotReceived(directory_->instances(), first);
}

void DnsSdDiscovery::logNewFaults() {
  for (const auto& [name, why] : directory_->faults()) {
    const auto logged = loggedFaults_.find(name);
    if (logged == loggedFaults_.end() || logged->second != why)
      logEvent(LogLevel::Warning, "endpoint_ignored", {{"name", dns::firstLabel(name)}, {"why", why}});
  }
  loggedFaults_ = directory_->faults();
}

}  // namespace sablespur
