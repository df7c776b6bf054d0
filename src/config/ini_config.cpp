// Our form of the settings: an INI file by the table of keys.
#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <sstream>

#ifdef SABLESPUR_AUTH
#include "auth/users.hpp"
#endif
#ifdef SABLESPUR_ADMISSION
#include "config/admission.hpp"
#endif
#include "config/config.hpp"
#include "config/keys.hpp"
#include "support/ini.hpp"

namespace sablespur {
namespace {

using balancer::Idempotency;
using balancer::Requirement;

class Reader {
 public:
  Reader(IniFile file, std::string path)
      : path_(std::move(path)), file_(std::move(file)), faults_(std::move(file_.faults)) {}

  Config read() {
    titles();
    for (const SectionInfo& info : sectionTable())
      if (!info.named) fixed(info);
    for (const IniSection& s : file_.sections)
      if (s.type == "class" && !s.name.empty()) aClass(s);
    for (const IniSection& s : file_.sections)
      if (s.type == "group" && !s.name.empty()) aGroup(s);
    for (const IniSection& s : file_.sections)
      if (s.type == "member" && !s.name.empty()) aMember(s);
    for (const IniSection& s : file_.sections)
      if (s.type == "admission_group" && !s.name.empty()) aDoorGroup(s);
    for (const IniSection& s : file_.sections)
      if (s.type == "peer" && !s.name.empty()) aPeer(s);
    whole();
    if (!faults_.empty()) {
      std::stable_sort(faults_.begin(), faults_.end(),
                       [](const Fault& a, const Fault& b) { return a.line < b.line; });
      throw BadSettings(std::move(faults_));
    }
    return std::move(config_);
  }

 private:
  void fault(int line, std::string where, ValueError w) {
    faults_.push_back({path_, line, std::move(where), std::move(w.problem), std::move(w.fix)});
  }

  void titles() {
    std::vector<std::string> types;
    for (const SectionInfo& i : sectionTable()) types.emplace_back(i.type);
    std::map<std::string, int> seen;
    for (const IniSection& s : file_.sections) {
      const auto info = std::find_if(sectionTable().begin(), sectionTable().end(),
                                     [&](const SectionInfo& i) { return s.type == i.type; });
      if (info == sectionTable().end()) {
        const std::string near = nearestWord(s.type, types.data(), types.data() + types.size());
        fault(s.line, s.title(),
              {"there is no such section",
               near.empty() ? "sections are " + join(types) : "did you mean [" + near + "]?"});
      } else if (info->named && s.name.empty()) {
        fault(s.line, s.title(), {"it needs a name", "write [" + s.type + " NAME]"});
      } else if (!info->named && !s.name.empty()) {
        fault(s.line, s.title(), {"it takes no name", "write [" + s.type + "]"});
      }
      const auto [first, fresh] = seen.emplace(s.title(), s.line);
      if (!fresh)
        fault(s.line, s.title(),
              {"it stands on line " + std::to_string(first->second) + " already", "put its keys there"});
    }
  }

  static std::string join(const std::vector<std::string>& all) {
    std::string text;
    for (const std::string& w : all) text += (text.empty() ? "" : ", ") + w;
    return text;
  }

  // Every key of the table for this section, by its value in the file or by its default.
  void apply(const std::string& type, const IniSection* s, Draft& d) {
    std::vector<std::string> names;
    std::set<std::string> given;
    for (const Key& key : keyTable()) {
      if (type != key.section) continue;
      names.emplace_back(key.name);
      const IniEntry* entry = nullptr;
      if (s)
        for (const IniEntry& e : s->entries) {
          if (e.key != key.name) continue;
          if (entry)
            fault(e.line, s->title() + " " + e.key,
                  {"it stands on line " + std::to_string(entry->line) + " already", "keep one of the two"});
          else
            entry = &e;
        }
      const std::string title = s ? s->title() : "[" + type + "]";
      const std::string where = title + " " + key.name;
      if (!entry && !key.fallback) {
        fault(s ? s->line : 0, where,
              {"it is missing", "add " + std::string(key.name) + " = ... to " + title});
        continue;
      }
      auto value = readValue(key, entry ? entry->value : key.fallback);
      if (ValueError* w = std::get_if<ValueError>(&value))
        fault(entry ? entry->line : 0, where, std::move(*w));
      else
        key.set(d, std::get<KeyValue>(value));
    }
    if (!s) return;
    for (const IniEntry& e : s->entries) {
      if (std::find(names.begin(), names.end(), e.key) != names.end()) continue;
      const std::string near = nearestWord(e.key, names.data(), names.data() + names.size());
      fault(e.line, s->title() + " " + e.key,
            {"there is no such key",
             near.empty() ? "keys are " + join(names) : "did you mean '" + near + "'?"});
    }
  }

  void fixed(const SectionInfo& info) {
    const IniSection* found = nullptr;
    for (const IniSection& s : file_.sections)
      if (!found && s.type == info.type && s.name.empty()) found = &s;
    apply(info.type, found, draft_);
  }

  static int lineOf(const IniSection& s, const char* key) {
    for (const IniEntry& e : s.entries)
      if (e.key == key) return e.line;
    return s.line;
  }

  void aClass(const IniSection& s) {
    draft_.cls = {};
    const std::size_t before = faults_.size();
    apply("class", &s, draft_);
    config_.classes.push_back(s.name);
    config_.settings.classes.push_back(draft_.cls);
    if (faults_.size() > before) return;
    const auto at = [&](const char* key) { return s.title() + " " + key; };
    const auto& c = draft_.cls;
    if (c.deadline < c.latencyObjective)
      fault(lineOf(s, "give_up"), at("give_up"), {"it is shorter than the aim", "make it at least the aim"});
    if (c.requirement == Requirement::BoundedStaleness && c.maxStaleness == Time(0))
      fault(lineOf(s, "max_age"), at("max_age"),
            {"data = bounded needs it", "say how old data may be, such as max_age = 200ms"});
    if (c.idempotency == Idempotency::WithKey && c.deduplicationWindow == Time(0))
      fault(lineOf(s, "repeats_dropped_for"), at("repeats_dropped_for"),
            {"repeats = keyed needs it", "say how long a key is known, such as 2s"});
    if (c.requirement == Requirement::Write && c.idempotency == Idempotency::Idempotent)
      fault(lineOf(s, "repeats"), at("repeats"),
            {"a write that is safe to repeat would be sent twice", "write keyed or unsafe"});
  }

  void aGroup(const IniSection& s) {
    draft_.group = {s.name, 0};
    apply("group", &s, draft_);
    for (const GroupName& g : config_.groups)
      if (g.id == draft_.group.id)
        fault(lineOf(s, "number"), s.title() + " number",
              {"[group " + g.name + "] has this number", "give each group one of its own"});
    config_.groups.push_back(draft_.group);
  }

  void aMember(const IniSection& s) {
    draft_.member = {};
    draft_.memberGroup.clear();
    apply("member", &s, draft_);
    draft_.member.name = s.name;
    if (const auto id = groupOf(draft_.memberGroup))
      draft_.member.group = *id;
    else if (!draft_.memberGroup.empty())
      fault(lineOf(s, "group"), s.title() + " group",
            {"'" + draft_.memberGroup + "' is neither a [group] nor a number up to 65535",
             "add [group " + draft_.memberGroup + "] with its number"});
    for (const DiscoveredEndpoint& other : config_.known.instances)
      if (!draft_.member.address.none() && other.address == draft_.member.address)
        fault(lineOf(s, "address"), s.title() + " address",
              {"[member " + other.name + "] has this address", "give each member one of its own"});
    config_.known.instances.push_back(draft_.member);
  }

  void aDoorGroup(const IniSection& s) {
    draft_.door = {};
    apply("admission_group", &s, draft_);
    draft_.door.name = s.name;
    draft_.door.line = s.line;
    draft_.admission.groups.push_back(std::move(draft_.door));
  }

  // After the bounds on clients are known.
  void admission() {
    AdmissionDraft& a = draft_.admission;
    if (!a.door) {
      if (!a.groups.empty())
        fault(a.groups.front().line, "[admission_group " + a.groups.front().name + "]",
              {"there is no door to keep it apart", "write door = yes in [admission]"});
      return;
    }
#ifdef SABLESPUR_ADMISSION
    AdmissionContext context;
    context.clients = config_.clientConnections;
    context.passwords = wantsPassword(config_);
    context.line = [this](const std::string& title, const char* key) {
      for (const IniSection& s : file_.sections)
        if (s.title() == title) return key ? lineOf(s, key) : s.line;
      return 0;
    };
    context.fault = [this](int line, std::string where, ValueError w) {
      fault(line, std::move(where), std::move(w));
    };
    context.file = [this](const std::string& name) { return text(beside(name)); };
    config_.admission = makeAdmission(a, context);
#else
    fault(keyLine("admission", "door"), "[admission] door",
          {"this build has no admission", "build with SABLESPUR_ADMISSION"});
#endif
  }

  void whole() {
    if (config_.classes.empty())
      fault(0, "", {"there is no [class NAME]", "add one for each class of requests that clients name (c=)"});
    if (config_.source == Source::Registry && config_.discovery.none())
      fault(sectionLine("discovery"), "[discovery] registry",
            {"source = registry needs it", "say where the registry listens, or set source = fixed"});
    if (config_.source == Source::DnsSd) dnssd();
    if (config_.source == Source::Fixed && config_.known.instances.empty())
      fault(sectionLine("discovery"), "[discovery] source",
            {"source = fixed needs a [member NAME]", "add one for each data server"});
    logins();
    if (!faults_.empty()) return;
    config_.settings.cancelAllowed = true;
    config_.settings.timerResolution = std::chrono::milliseconds(5);
    config_.settings.discoveryMode = config_.source == Source::Registry ? balancer::DiscoveryMode::Subscribe
                                                                        : balancer::DiscoveryMode::Automatic;
    if (config_.source != Source::Registry) config_.settings.discoveryPollDeadline = Time(0);
    if (config_.settings.loadReportMode == balancer::LoadReportMode::None) {
      config_.settings.reportFields.clear();
      config_.reportNames.clear();
    }
    for (const auto& c : config_.settings.classes)
      config_.sessions = config_.sessions || c.requirement == Requirement::Session;
    if (config_.seed == 0) {
      std::random_device random;
      config_.seed = std::uint64_t{random()} << 32 | random();
    }
    config_.known.reset = true;
    peers();
    store();
    deriveBounds(config_, draft_.descriptors, draft_.memory);
    admission();
  }
  void aPeer(const IniSection& s) {
    const std::size_t before = config_.peers.size();
    apply("peer", &s, draft_);
    if (config_.peers.size() > before &&
        std::count(config_.peers.begin(), config_.peers.end(), config_.peers.back()) > 1)
      fault(lineOf(s, "address"), s.title() + " address",
            {"another [peer] has this address", "give each proxy its own"});
  }
  void peers() {
    const bool listed =
        std::find(config_.peers.begin(), config_.peers.end(), config_.peerListen) != config_.peers.end();
    if (!config_.peerListen.none() && !listed)
      fault(keyLine("peers", "listen"), "[peers] listen",
            {"no [peer] has this address", "add a [peer] for this proxy; the list is the same at each"});
    if (config_.peerListen.none() && !config_.peers.empty())
      fault(0, "[peers] listen", {"there are [peer]s and this proxy hears none", "write where it listens"});
  }
  void store() {
    StoreConfig& c = draft_.store;
    if (c.directory.empty()) return;
#ifdef SABLESPUR_STORE
    c.directory = beside(c.directory);
    while (c.directory.size() > 1 && c.directory.back() == '/') c.directory.pop_back();
    if (c.comeBackMost < c.comeBackLeast)
      fault(keyLine("store", "come_back_most"), "[store] come_back_most",
            {"it is below come_back_least", "raise it, or lower the other"});
    for (std::size_t k = 0; k < config_.classes.size(); ++k) {
      const balancer::ClassSettings& s = config_.settings.classes[k];
      if (s.idempotency != balancer::Idempotency::WithKey || c.keep >= s.deadline + s.deduplicationWindow)
        continue;
      fault(keyLine("store", "keep"), "[store] keep",
            {"class " + config_.classes[k] + " may be asked for again after that",
             "at least its give_up and repeats_dropped_for together"});
    }
    if (draft_.descriptors < leastDescriptors(true))
      fault(keyLine("limits", "descriptors"), "[limits] descriptors",
            {std::to_string(draft_.descriptors) + " are too few beside a store",
             "write at least " + std::to_string(leastDescriptors(true))});
    config_.store = std::make_shared<const StoreConfig>(c);
#else
    fault(keyLine("store", "directory"), "[store] directory",
          {"this build has no store", "build with SABLESPUR_STORE"});
#endif
  }
  std::string beside(const std::string& name) const {
    const std::size_t slash = path_.rfind('/');
    return name[0] == '/' || slash == std::string::npos ? name : path_.substr(0, slash + 1) + name;
  }
  static std::optional<std::string> text(const std::string& path) {
    std::ifstream file(path);
    std::stringstream all;
    all << file.rdbuf();
    if (!file) return std::nullopt;
    return all.str();
  }
  // A file of secrets, by its path or beside the settings; nothing, after a fault.
  std::optional<std::string> secrets(const char* section, const char* key, const std::string& name) {
    const std::string path = beside(name);
    const auto wrong = [&](const char* problem, const std::string& fix) {
      fault(keyLine(section, key), std::string("[") + section + "] " + key,
            {"'" + name + "' " + problem, fix});
      return std::nullopt;
    };
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    struct stat s {};
    if (!file || text.str().empty() || stat(path.c_str(), &s) != 0)
      return wrong("cannot be read or is empty", "see that it exists and may be read");
    if ((s.st_mode & 077) != 0) return wrong("may be read by others", "chmod 600 it");
    if (text.str().size() > (4u << 20))
      return wrong("is longer than 4 MiB", "give each proxy its users alone");
    return text.str();
  }
  int keyLine(const std::string& section, const char* key) const {
    for (const IniSection& s : file_.sections)
      if (s.type == section) return lineOf(s, key);
    return 0;
  }
  void words(const char* section, const char* key, std::size_t read, bool trust) {
    for (const IniSection& s : file_.sections)
      for (const IniEntry& e : s.entries)
        if (s.type == section && e.key == key &&
            static_cast<std::size_t>(std::count(e.value.begin(), e.value.end(), ',')) + 1 != read)
          fault(e.line, s.title() + " " + key,
                {"'" + e.value + "' names what is no way to log in",
                 std::string("write ") + (trust ? "trust, or " : "") +
                     "some of scram, md5, cleartext, with commas between"});
  }
  void logins() {
    words("clients", "login", config_.logins.size(), true);
    words("data_servers", "login", config_.serverLogins.size(), false);
    const auto trust = [](const std::vector<auth::Method>& all) {
      return std::count(all.begin(), all.end(), auth::Method::Trust) > 0;
    };
    if (trust(config_.logins) && config_.logins.size() > 1)
      fault(keyLine("clients", "login"), "[clients] login",
            {"trust stands beside ways with a password",
             "with trust nobody needs one: write one or the other"});
    if (trust(config_.serverLogins))
      fault(keyLine("data_servers", "login"), "[data_servers] login",
            {"trust needs no word", "leave it out: without a password_file no password is sent"});
    const bool wanted = wantsPassword(config_);
#ifdef SABLESPUR_AUTH
    if (wanted && draft_.usersFile.empty())
      fault(keyLine("clients", "login"), "[clients] users",
            {"logins with a password need it", "name the file that `sablespur password` fills"});
    if (wanted && !draft_.usersFile.empty()) {
      if (const auto text = secrets("clients", "users", draft_.usersFile)) {
        std::vector<auth::Users::Fault> wrong;
        config_.users = std::make_shared<const auth::Users>(auth::Users::parse(*text, wrong));
        for (const auto& w : wrong)
          faults_.push_back(
              {draft_.usersFile, w.line, "", w.problem, "make the line by sablespur password NAME"});
      }
    }
    if (!draft_.passwordFile.empty())
      if (const auto text = secrets("data_servers", "password_file", draft_.passwordFile))
        config_.serverPassword = text->substr(0, text->find_first_of("\r\n"));
#else
    if (wanted)
      fault(keyLine("clients", "login"), "[clients] login",
            {"this build has no logins with passwords", "build with SABLESPUR_AUTH"});
    if (!draft_.passwordFile.empty())
      fault(keyLine("data_servers", "password_file"), "[data_servers] password_file",
            {"this build has no logins with passwords", "build with SABLESPUR_AUTH"});
#endif
  }
  void dnssd() {
    DnsSdSettings& d = config_.dnssd;
    const IniSection* section = nullptr;
    for (const IniSection& s : file_.sections)
      if (s.type == "dnssd") section = &s;
    const auto wrong = [&](const char* key, ValueError w) {
      fault(section ? lineOf(*section, key) : sectionLine("discovery"), std::string("[dnssd] ") + key,
            std::move(w));
    };
    if (d.domain.empty())
      wrong("domain", {"source = dnssd needs it", "say which, such as domain = ruwi.example.org"});
    if (d.service.empty()) wrong("service", {"it is empty", "write a service such as _postgresql._tcp"});
    if (d.servers.empty())
      wrong("name_servers",
            {"source = dnssd needs one", "say where name servers listen, such as 10.2.0.1:53"});
    if (d.refreshMost < d.refreshLeast)
      wrong("refresh_most", {"it is shorter than refresh_least", "make it at least refresh_least"});
    if (d.flapReuse >= d.flapSuppress)
      wrong("flap_reuse", {"it is not below flap_suppress", "make it less than flap_suppress"});
    if (d.defaultGroupName.empty()) return;
    if (const auto id = groupOf(d.defaultGroupName))
      d.defaultGroup = *id;
    else
      wrong("group", {"'" + d.defaultGroupName + "' is neither a [group] nor a number up to 65535",
                      "add [group " + d.defaultGroupName + "] with its number"});
  }
  std::optional<balancer::GroupId> groupOf(const std::string& text) const {
    for (const GroupName& g : config_.groups)
      if (g.name == text) return g.id;
    const auto number = readCount(text);
    const std::int64_t* const id = std::get_if<std::int64_t>(&number);
    if (id && *id >= 0 && *id <= 65535) return static_cast<balancer::GroupId>(*id);
    return std::nullopt;
  }
  int sectionLine(const std::string& type) const {
    for (const IniSection& s : file_.sections)
      if (s.type == type) return s.line;
    return 0;
  }

  const std::string path_;
  IniFile file_;
  std::vector<Fault> faults_;
  Config config_;
  Draft draft_{config_, 0, 0, {}, {}, {}, {}, {}, {}, {}, {}, {}};
};

}  // namespace

Config parseSettings(const std::string& ini, const std::string& file) {
  return Reader(parseIni(ini, file), file).read();
}

Config readSettings(const std::string& path) {
  std::stringstream text;
  {
    // Closed before other files are opened: one descriptor is enough to read all settings.
    std::ifstream file(path);
    text << file.rdbuf();
    if (!file || !text)
      throw BadSettings({{path, 0, "", "it cannot be read", "see that it exists and may be read"}});
  }
  return parseSettings(text.str(), path);
}

}  // namespace sablespur
