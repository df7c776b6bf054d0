// The keys of each section of the INI format; keyTable() in keys.hpp joins them.
#pragma once

#include <cstddef>

#include "config/keys.hpp"

namespace sablespur::key_tables {

// The keys of one section, which have static storage duration.
class KeyRange {
 public:
  template <std::size_t Count>
  constexpr explicit KeyRange(const Key (&keys)[Count]) : first_(keys), last_(keys + Count) {}
  const Key* begin() const { return first_; }
  const Key* end() const { return last_; }

 private:
  const Key* first_;
  const Key* last_;
};

KeyRange proxyKeys();
KeyRange limitsKeys();
KeyRange logKeys();
KeyRange discoveryKeys();
KeyRange dnsSdKeys();
KeyRange dataServersKeys();
KeyRange clientsKeys();
KeyRange admissionKeys();
KeyRange admissionGroupKeys();
KeyRange storeKeys();
KeyRange peersKeys();
KeyRange peerKeys();
KeyRange recoveryKeys();
KeyRange statusKeys();
KeyRange rulesKeys();
KeyRange goalKeys();
KeyRange classKeys();
KeyRange groupKeys();
KeyRange memberKeys();

}  // namespace sablespur::key_tables
