// `sablespur store check|dump|compact|stat DIR`: a store that no proxy has open.
#pragma once

#include <string>

namespace sablespur {

struct StoreOptions {
  std::string directory;
  bool json = false;
};

// Each returns the exit status: 0, or 1 where the store fails its check or cannot be opened, after a line
// that says where. Throws std::runtime_error where there is no store.
int storeCheck(const StoreOptions&);
int storeDump(const StoreOptions&);
int storeCompact(const StoreOptions&);
int storeStat(const StoreOptions&);

}  // namespace sablespur
