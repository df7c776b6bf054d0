#include "app/list_source.hpp"

#include "discovery/registry/watch.hpp"
#include "logging/log.hpp"
#ifdef SABLESPUR_DNSSD
#include "discovery/dnssd/source.hpp"
#endif

namespace sablespur {
namespace {

// What cannot change while the program serves.
bool sameSource(const Config& was, Source is) {
  if (was.source == is) return true;
  logEvent(LogLevel::Warning, "config_restart_needed", {{"key", "[discovery] source"}});
  return false;
}

class RegistrySource final : public ListSource {
 public:
  RegistrySource(event_base* base, EndpointUpdater& feed, const Config& c)
      : watch_(base, feed, c.discovery) {}
  void watch(std::uint64_t after) override { watch_.watch(after); }
  void move(const Config& c) override {
    if (sameSource(c, Source::Registry)) watch_.changeAddress(c.discovery);
  }

 private:
  RegistryWatch watch_;
};

class FixedSource final : public ListSource {
 public:
  void watch(std::uint64_t) override {}
  void move(const Config& c) override { sameSource(c, Source::Fixed); }
};

#ifdef SABLESPUR_DNSSD
class DnsSdSource final : public ListSource {
 public:
  DnsSdSource(event_base* base, const Clock& clock, EndpointUpdater& feed, const Config& c)
      : feed_(feed), dnssd_(base, clock, feed, c) {}
  void watch(std::uint64_t) override {}  // it tells by itself
  void move(const Config& c) override {
    if (!sameSource(c, Source::DnsSd)) return;
    feed_.policy(sourcePolicy(c));
    dnssd_.updateSettings(c);
  }
  std::map<std::string, std::string> faults() const override { return dnssd_.faults(); }

 private:
  EndpointUpdater& feed_;
  DnsSdDiscovery dnssd_;
};
#endif

}  // namespace

EndpointTablePolicy sourcePolicy(const Config& c) {
  EndpointTablePolicy p;
  if (c.source != Source::DnsSd) {
    p.flapDamping = false;
    return p;
  }
  const DnsSdSettings& s = c.dnssd;
  p.suppressThreshold = s.flapDamping.suppressThreshold;
  p.reuseThreshold = s.flapDamping.reuseThreshold;
  p.halfLife = s.flapDamping.halfLife;
  p.maxSuppression = s.flapDamping.maxSuppression;
  p.maxListAge = s.maxListAge;
  return p;
}

std::unique_ptr<ListSource> openSource(event_base* base, const Clock& clock, EndpointUpdater& feed,
                                       const Config& c) {
  switch (c.source) {
    case Source::Fixed:
      return std::make_unique<FixedSource>();
    case Source::DnsSd:
#ifdef SABLESPUR_DNSSD
      return std::make_unique<DnsSdSource>(base, clock, feed, c);
#else
      (void)clock;
      throw BadInput("key [discovery] source: this build has no DNS-SD; build it with -DSABLESPUR_DNSSD=ON");
#endif
    case Source::Registry:
      break;
  }
  return std::make_unique<RegistrySource>(base, feed, c);
}

}  // namespace sablespur
