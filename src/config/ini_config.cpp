// Reads the INI settings file section by section, as the key table describes it, and then checks
// the settings as a whole.
#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include "config/config.hpp"
#include "config/keys.hpp"
#include "config/section_reader.hpp"
#include "config/settings_checks.hpp"
#include "config/settings_document.hpp"
#include "support/ini.hpp"

namespace sablespur {
namespace {

using balancer::Idempotency;
using balancer::Requirement;

constexpr Time kTimerResolution = std::chrono::milliseconds(5);

class SettingsReader {
 public:
  SettingsReader(IniFile file, std::string path) : document_(std::move(file), std::move(path)) {}

  Config read() {
    checkTitles(document_);
    for (const SectionInfo& info : sectionTable())
      if (!info.named) readSection(document_, info.type, document_.unnamedSection(info.type), draft_);
    // Groups are read before members, since members refer to them.
    readEach("class", &SettingsReader::readClass);
    readEach("group", &SettingsReader::readGroup);
    readEach("member", &SettingsReader::readMember);
    readEach("admission_group", &SettingsReader::readAdmissionGroup);
    readEach("peer", &SettingsReader::readPeer);
    checkSections();
    if (document_.faultCount() == 0) complete();
    document_.throwIfFaulty();
    return std::move(config_);
  }

 private:
  void readEach(const char* type, void (SettingsReader::*reader)(const IniSection&)) {
    for (const IniSection& section : document_.sections())
      if (section.type == type && !section.name.empty()) (this->*reader)(section);
  }

  void readClass(const IniSection& section) {
    balancer::ClassSettings& requestClass = draft_.section.requestClass;
    requestClass = {};
    const std::size_t faultsBefore = document_.faultCount();
    readSection(document_, "class", &section, draft_);
    config_.classes.push_back(section.name);
    config_.settings.classes.push_back(requestClass);
    if (document_.faultCount() == faultsBefore) checkClass(section, requestClass);
  }

  void checkClass(const IniSection& section, const balancer::ClassSettings& requestClass) {
    if (requestClass.deadline < requestClass.latencyObjective)
      document_.reportKey(section, "give_up", {"it is shorter than the aim", "make it at least the aim"});
    if (requestClass.requirement == Requirement::BoundedStaleness && requestClass.maxStaleness == Time(0))
      document_.reportKey(section, "max_age",
                          {"data = bounded needs it", "write the maximum age, such as max_age = 200ms"});
    if (requestClass.idempotency == Idempotency::WithKey && requestClass.deduplicationWindow == Time(0))
      document_.reportKey(section, "repeats_dropped_for",
                          {"repeats = keyed needs it", "write the deduplication window, such as 2s"});
    if (requestClass.requirement == Requirement::Write && requestClass.idempotency == Idempotency::Idempotent)
      document_.reportKey(section, "repeats",
                          {"a write that is safe to repeat would be sent twice", "write keyed or unsafe"});
  }

  void readGroup(const IniSection& section) {
    GroupName& group = draft_.section.group;
    group = {section.name, 0};
    readSection(document_, "group", &section, draft_);
    for (const GroupName& other : config_.groups)
      if (other.id == group.id)
        document_.reportKey(section, "number",
                            {"[group " + other.name + "] has this number", "give each group its own number"});
    config_.groups.push_back(group);
  }

  void readMember(const IniSection& section) {
    DiscoveredEndpoint& endpoint = draft_.section.endpoint;
    std::string& group = draft_.section.endpointGroup;
    endpoint = {};
    group.clear();
    readSection(document_, "member", &section, draft_);
    endpoint.name = section.name;
    if (const auto id = findGroup(config_, group))
      endpoint.group = *id;
    else if (!group.empty())
      document_.reportKey(section, "group",
                          {"'" + group + "' is neither a [group] nor a number up to 65535",
                           "add [group " + group + "] with its number"});
    for (const DiscoveredEndpoint& other : config_.known.instances)
      if (!endpoint.address.none() && other.address == endpoint.address)
        document_.reportKey(
            section, "address",
            {"[member " + other.name + "] has this address", "give each member its own address"});
    config_.known.instances.push_back(endpoint);
  }

  void readAdmissionGroup(const IniSection& section) {
    AdmissionGroupDraft& group = draft_.section.admissionGroup;
    group = {};
    readSection(document_, "admission_group", &section, draft_);
    group.name = section.name;
    group.line = section.line;
    draft_.admission.groups.push_back(std::move(group));
  }

  void readPeer(const IniSection& section) {
    const std::size_t peersBefore = config_.peers.size();
    readSection(document_, "peer", &section, draft_);
    if (config_.peers.size() > peersBefore &&
        std::count(config_.peers.begin(), config_.peers.end(), config_.peers.back()) > 1)
      document_.reportKey(section, "address", {"another [peer] has this address", "give each proxy its own"});
  }

  void checkSections() {
    if (config_.classes.empty())
      document_.report(0, "",
                       {"there is no [class NAME]", "add one for each class that statements name (c=)"});
    checkDiscovery(document_, draft_);
    loadCredentials(document_, draft_);
  }

  // Derives the settings that depend on several keys, once every key is valid. The order matters:
  // the bounds depend on the store, and admission depends on the bounds.
  void complete() {
    completeBalancerSettings();
    for (const auto& requestClass : config_.settings.classes)
      config_.sessions = config_.sessions || requestClass.requirement == Requirement::Session;
    if (config_.seed == 0) {
      std::random_device random;
      config_.seed = std::uint64_t{random()} << 32 | random();
    }
    config_.known.reset = true;
    checkPeers(document_, config_);
    completeStore(document_, draft_);
    deriveBounds(config_, draft_.limits.descriptors, draft_.limits.memory);
    completeAdmission(document_, draft_);
  }

  void completeBalancerSettings() {
    balancer::Settings& settings = config_.settings;
    const bool fromRegistry = config_.source == DiscoveryKind::Registry;
    settings.cancelAllowed = true;
    settings.timerResolution = kTimerResolution;
    settings.discoveryMode =
        fromRegistry ? balancer::DiscoveryMode::Subscribe : balancer::DiscoveryMode::Automatic;
    if (!fromRegistry) settings.discoveryPollDeadline = Time(0);
    if (settings.loadReportMode == balancer::LoadReportMode::None) {
      settings.reportFields.clear();
      config_.reportNames.clear();
    }
  }

  SettingsDocument document_;
  Config config_;
  SettingsDraft draft_{config_, {}, {}, {}, {}, {}, {}};
};

}  // namespace

Config parseSettings(const std::string& ini, const std::string& file) {
  return SettingsReader(parseIni(ini, file), file).read();
}

Config readSettings(const std::string& path) {
  std::stringstream text;
  {
    // Close this file before others are opened, so that one descriptor is enough to read all
    // settings.
    std::ifstream file(path);
    text << file.rdbuf();
    if (!file || !text)
      throw BadSettings({{path, 0, "", "it cannot be read", "see that it exists and may be read"}});
  }
  return parseSettings(text.str(), path);
}

}  // namespace sablespur
