// The table of all INI keys: section, kind and unit, default, bounds, meaning, and where the value goes. The
// reader, `sablespur check` and the operators' page all come from it.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "config/config.hpp"
#include "support/units.hpp"

namespace sablespur {

enum class Kind {
  Text,
  Address,
  Addresses,
  Duration,
  Size,
  Count,
  Number,
  Share,
  Flag,
  Choice,
  Words,
  Hex,
  Domain
};

using KeyValue = std::variant<std::string, Address, std::vector<Address>, Time, std::uint64_t, std::int64_t,
                              double, bool, std::vector<std::string>>;

// [admission] and [admission_group NAME] as they stand; admission.cpp makes the settings of it.
struct AdmissionGroupDraft {
  std::string name;
  int line = 0;
  std::vector<std::string> networks, users;
  std::string networksFile;
  std::size_t most = 0, mostByAddress = 0, mostByPrefix = 0, reserve = 0, mostOpen = 0;
  double perSecond = 0, burst = 1, weight = 1;
};
struct AdmissionDraft {
  bool door = false;
  std::size_t most = 0, antechamber = 0;
  int prefix4 = 24, prefix6 = 64;
  Time comeBackLeast{}, comeBackMost{}, idleLeast{};
  std::vector<std::string> fronts;
  std::string servedBefore;
  std::size_t knownMost = 0;
  std::string requests;  // off, fixed, aimd, gradient
  std::size_t limit = 0, limitLeast = 0, limitMost = 0, waiting = 0;
  double tolerance = 2;
  Time bound{}, requestBackLeast{}, requestBackMost{};
  std::vector<AdmissionGroupDraft> groups;
};

// What a section's keys are set on.
struct Draft {
  Config& config;
  std::uint64_t memory = 0;
  std::size_t descriptors = 0;
  balancer::ClassSettings cls;  // of the [class] at hand
  DiscoveredEndpoint member;    // of the [member] at hand
  std::string memberGroup;      // a name or a number
  GroupName group;              // of the [group] at hand
  std::string usersFile, passwordFile;
  AdmissionDraft admission;
  StoreConfig store;
  AdmissionGroupDraft door;  // of the [admission_group] at hand
};

struct Key {
  const char* section;
  const char* name;
  Kind kind;
  const char* fallback;  // as a file would have it; null: it must be given
  double least, most;    // in microseconds, bytes or as it is; equal: no bounds
  const char* choices;   // Choice: its words, with blanks between
  void (*set)(Draft&, const KeyValue&);
  const char* meaning;
};

struct SectionInfo {
  const char* type;
  bool named;  // [class NAME], any number of them
  const char* meaning;
};

const std::vector<SectionInfo>& sectionTable();
const std::vector<Key>& keyTable();

// The value of a key as its kind reads it, within its bounds.
Read<KeyValue> readValue(const Key&, const std::string& text);

}  // namespace sablespur
