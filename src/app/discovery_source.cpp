#include "app/discovery_source.hpp"

#include "logging/log.hpp"
#ifdef SABLESPUR_DNSSD
#include "discovery/dnssd/source.hpp"
#endif

namespace sablespur {
namespace {

// Returns whether the new settings name the kind of source that is running. A change of the kind
// needs a restart, which is logged.
bool checkSourceKind(const Config& config, DiscoveryKind running) {
  if (config.source == running) return true;
  logEvent(LogLevel::Warning, "config_restart_needed", {{"key", "[discovery] source"}});
  return false;
}

class RegistrySource final : public ConfiguredDiscovery {
 public:
  RegistrySource(event_base* base, const Clock& clock, EndpointUpdater& updater, const Config& config)
      : watch_(base, clock, updater, config) {}
  void watch(std::uint64_t after) override { watch_.watch(after); }
  std::optional<RegistryWatch::View> registryView() const override { return watch_.view(); }
  void updateSettings(const Config& config) override {
    if (checkSourceKind(config, DiscoveryKind::Registry)) watch_.updateSettings(config);
  }
  void setBesideAnotherProcess() override { watch_.setBesideAnotherProcess(); }
  void listConfirmedByOtherProcess() override { watch_.listConfirmedByOtherProcess(); }
  bool isListCurrent() const override { return watch_.isListCurrent(); }

 private:
  RegistryWatch watch_;
};

// Provides no updates: the engine has the endpoints of the settings from its start.
class FixedSource final : public ConfiguredDiscovery {
 public:
  void watch(std::uint64_t) override {}
  void updateSettings(const Config& config) override { checkSourceKind(config, DiscoveryKind::Fixed); }
};

#ifdef SABLESPUR_DNSSD
class DnsSdSource final : public ConfiguredDiscovery {
 public:
  DnsSdSource(event_base* base, const Clock& clock, EndpointUpdater& updater, const Config& config)
      : updater_(updater), dnssd_(base, clock, updater, config) {}
  void watch(std::uint64_t) override {}  // DnsSdDiscovery queries from its construction on
  void updateSettings(const Config& config) override {
    if (!checkSourceKind(config, DiscoveryKind::DnsSd)) return;
    updater_.setPolicy(endpointTablePolicy(config));
    dnssd_.updateSettings(config);
  }
  std::map<std::string, std::string> faults() const override { return dnssd_.faults(); }

 private:
  EndpointUpdater& updater_;
  DnsSdDiscovery dnssd_;
};
#endif

}  // namespace

EndpointTablePolicy endpointTablePolicy(const Config& config) {
  EndpointTablePolicy policy;
  if (config.source != DiscoveryKind::DnsSd) {
    policy.flapDamping = false;
    return policy;
  }
  const FlapDampingConfig& damping = config.dnssd.flapDamping;
  policy.suppressThreshold = damping.suppressThreshold;
  policy.reuseThreshold = damping.reuseThreshold;
  policy.halfLife = damping.halfLife;
  policy.maxSuppression = damping.maxSuppression;
  policy.maxListAge = config.dnssd.maxListAge;
  return policy;
}

std::unique_ptr<ConfiguredDiscovery> createDiscoverySource(event_base* base, const Clock& clock,
                                                           EndpointUpdater& updater, const Config& config) {
  switch (config.source) {
    case DiscoveryKind::Fixed:
      return std::make_unique<FixedSource>();
    case DiscoveryKind::DnsSd:
#ifdef SABLESPUR_DNSSD
      return std::make_unique<DnsSdSource>(base, clock, updater, config);
#else
      throw BadInput("key [discovery] source: this build has no DNS-SD; build it with -DSABLESPUR_DNSSD=ON");
#endif
    case DiscoveryKind::Registry:
      break;
  }
  return std::make_unique<RegistrySource>(base, clock, updater, config);
}

}  // namespace sablespur
