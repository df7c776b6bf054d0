// Checks of [peers], [peer NAME] and [store].
#include <algorithm>
#include <cstddef>
#include <memory>

#include "config/settings_checks.hpp"

namespace sablespur {

void checkPeers(SettingsDocument& document, const Config& config) {
  const bool listed =
      std::find(config.peers.begin(), config.peers.end(), config.peerListen) != config.peers.end();
  if (!config.peerListen.none() && !listed)
    document.reportKey(
        "peers", "listen",
        {"no [peer] has this address", "add a [peer] for this proxy; the list is the same on every proxy"});
  if (config.peerListen.none() && !config.peers.empty())
    document.report(
        0, "[peers] listen",
        {"there are [peer] sections, but this proxy does not listen for gossip", "write its address"});
}

#ifdef SABLESPUR_STORE
namespace {

// A key that expires while its client may still retry would let a write run twice.
void checkKeyRetention(SettingsDocument& document, const Config& config, Time retention) {
  for (std::size_t index = 0; index < config.classes.size(); ++index) {
    const balancer::ClassSettings& requestClass = config.settings.classes[index];
    if (requestClass.idempotency != balancer::Idempotency::WithKey) continue;
    if (retention >= requestClass.deadline + requestClass.deduplicationWindow) continue;
    document.reportKey("store", "keep",
                       {"requests of class " + config.classes[index] + " may be retried after that",
                        "write at least its give_up and repeats_dropped_for together"});
  }
}

}  // namespace
#endif

void completeStore(SettingsDocument& document, SettingsDraft& draft) {
  StoreConfig& store = draft.store;
  if (store.directory.empty()) return;
#ifdef SABLESPUR_STORE
  store.directory = document.resolvePath(store.directory);
  while (store.directory.size() > 1 && store.directory.back() == '/') store.directory.pop_back();
  if (store.maxRetryAfter < store.minRetryAfter)
    document.reportKey("store", "come_back_most",
                       {"it is shorter than come_back_least", "make it at least come_back_least"});
  checkKeyRetention(document, draft.config, store.keyRetention);
  if (draft.limits.descriptors < minDescriptors(true))
    document.reportKey("limits", "descriptors",
                       {std::to_string(draft.limits.descriptors) + " are too few with a store",
                        "write at least " + std::to_string(minDescriptors(true))});
  draft.config.store = std::make_shared<const StoreConfig>(store);
#else
  document.reportKey("store", "directory", {"this build has no store", "build with SABLESPUR_STORE"});
#endif
}

}  // namespace sablespur
