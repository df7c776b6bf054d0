#include "config/keys.hpp"

#include "config/key_tables.hpp"

namespace sablespur {

const std::vector<Key>& keyTable() {
  static const std::vector<Key> table = [] {
    std::vector<Key> all;
    for (const key_tables::KeyRange& keys : {
             key_tables::proxyKeys(),     key_tables::limitsKeys(),    key_tables::logKeys(),
             key_tables::discoveryKeys(), key_tables::dnsSdKeys(),     key_tables::dataServersKeys(),
             key_tables::clientsKeys(),   key_tables::admissionKeys(), key_tables::admissionGroupKeys(),
             key_tables::storeKeys(),     key_tables::peersKeys(),     key_tables::peerKeys(),
             key_tables::recoveryKeys(),  key_tables::statusKeys(),    key_tables::rulesKeys(),
             key_tables::goalKeys(),      key_tables::classKeys(),     key_tables::groupKeys(),
             key_tables::memberKeys(),
         })
      all.insert(all.end(), keys.begin(), keys.end());
    return all;
  }();
  return table;
}

}  // namespace sablespur
