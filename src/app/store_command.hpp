// `sablespur store check|dump|compact|stat DIR`: commands on a store that no proxy has open.
#pragma once

#include <string>

namespace sablespur {

struct StoreOptions {
  std::string directory;
  bool json = false;
};

// Each command returns the exit status: 0 on success, 1 if the store is damaged or cannot be
// opened, which one line reports. Throws std::runtime_error if the directory holds no store.
int storeCheck(const StoreOptions&);
int storeDump(const StoreOptions&);
int storeCompact(const StoreOptions&);
int storeStat(const StoreOptions&);

}  // namespace sablespur
