#include "discovery/dnssd/source.hpp"

#include "logging/log.hpp"

namespace sablespur {

DnsSd::DnsSd(event_base* base, const Clock& clock, EndpointUpdater& feed, const Config& config)
    : base_(base),
      clock_(clock),
      feed_(feed),
      timer_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<DnsSd*>(self)->ask(); }, this)) {
  open(config);
}

void DnsSd::open(const Config& config) {
  auto directory = std::make_unique<Directory>(config.dnssd, config.groups, config.seed);
  resolver_.reset();  // with all that is out
  directory_ = std::move(directory);
  settings_ = config.dnssd;
  resolver_ = std::make_unique<Resolver>(
      base_, clock_, settings_, [this](const dns::Question& q, const Resolver::Reply& r) { answered(q, r); });
  told_ = false;
  startTimer(timer_.get(), Time(0));
}

void DnsSd::move(const Config& config) {
  if (config.dnssd == settings_) return;
  open(config);
}

void DnsSd::ask() {
  const Time now = clock_.now();
  for (const Directory::Ask& a : directory_->due(now)) resolver_->ask(a.question, a.tcp);
  if (const auto at = directory_->next())
    startTimer(timer_.get(), *at - now);
  else
    event_del(timer_.get());  // the next answer starts it
}

void DnsSd::answered(const dns::Question& q, const Resolver::Reply& r) {
  const Time now = clock_.now();
  if (r.ok)
    directory_->answered(now, q, r.message, r.tcp);
  else
    directory_->failed(now, q);
  if (!r.ok && q.type == dns::Type::Ptr) feed_.discoveryFailed(r.why);
  if (!r.ok && q.type != dns::Type::Ptr)
    logEvent(LogLevel::Warning, "record_failed",
             {{"name", q.name}, {"type", static_cast<int>(q.type)}, {"why", r.why}});
  // What only confirms a single record tells nothing new; the PTR answer is the word that the list stands.
  if (r.ok && (q.type == dns::Type::Ptr || directory_->version() != version_ || !told_)) tell();
  ask();
}

// Not before the first list is whole: what came after it would count as just started.
void DnsSd::tell() {
  if (!told_ && !directory_->settled()) return;
  version_ = directory_->version();
  for (const auto& [name, why] : directory_->faults()) {
    const auto it = logged_.find(name);
    if (it == logged_.end() || it->second != why)
      logEvent(LogLevel::Warning, "endpoint_ignored", {{"name", dns::firstLabel(name)}, {"why", why}});
  }
  logged_ = directory_->faults();
  const bool first = !told_;
  told_ = true;
  feed_.found(directory_->instances(), first);
}

}  // namespace sablespur
