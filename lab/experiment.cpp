#include "lab/experiment.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "support/ini.hpp"
#include "support/units.hpp"

namespace sablespur::lab {
namespace {

std::vector<std::string> splitWords(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> all;
  for (std::string w; in >> w;) all.push_back(w);
  return all;
}

// The actions of a script, with the number of arguments that each takes.
const std::map<std::string, std::size_t>& actionArguments() {
  static const std::map<std::string, std::size_t> all{
      {"withdraw", 1}, {"publish", 1}, {"toggle", 1}, {"drain", 1},  {"rename", 2},  {"empty", 0},
      {"refill", 0},   {"kill", 1},    {"start", 1},  {"vanish", 1}, {"back", 1},    {"hang", 1},
      {"slow", 2},     {"errors", 2},  {"resets", 2}, {"lag", 2},    {"dns", 1},     {"registry", 1},
      {"power", 2},    {"rate", 1},    {"logins", 2}, {"proxy", 2},  {"primary", 2}, {"reconnect", 1},
      {"revive", 1},   {"load", 2},    {"behind", 2}, {"group", 2},  {"wall", 2}};
  return all;
}

class Reader {
 public:
  Reader(const std::string& text, const std::string& path, std::vector<Fault>& faults)
      : path_(path), faults_(faults), file_(parseIni(text, path, {"script", "claims"})) {
    faults_.insert(faults_.end(), file_.faults.begin(), file_.faults.end());
  }

  Experiment read() {
    Experiment& e = e_;
    e.file = path_;
    for (const IniSection& s : file_.sections) {
      section_ = &s;
      if (s.type == "experiment")
        experiment(s);
      else if (s.type == "fleet")
        fleet(s);
      else if (s.type == "load")
        load(s);
      else if (s.type == "desks")
        desks(s);
      else if (s.type == "crowd")
        crowd(s);
      else if (s.type == "class")
        requestClass(s);
      else if (s.type == "settings")
        settings(s);
      else if (s.type == "script")
        script(s);
      else if (s.type == "claims")
        claims(s);
      else
        fault(s.line, s.title(), "there is no such section",
              "sections are experiment, fleet, load, desks NAME, crowd NAME, class NAME, settings, script, "
              "claims");
    }
    if (e.classes.empty()) fault(0, "", "there is no [class NAME]", "add one");
    if (e.discovery != "dnssd" && e.discovery != "registry")
      fault(0, "[experiment] discovery", "'" + e.discovery + "' is neither dnssd nor registry",
            "write one of them");
    std::stable_sort(e.script.begin(), e.script.end(),
                     [](const Step& a, const Step& b) { return a.at < b.at; });
    std::string lines;
    for (const auto& [section, keys] : settings_) lines += "[" + section + "]\n" + keys;
    e.settings = lines;
    return std::move(e_);
  }

 private:
  using Setter = std::function<void(const IniEntry&)>;

  void fault(int line, std::string where, std::string problem, std::string fix) {
    faults_.push_back({path_, line, std::move(where), std::move(problem), std::move(fix)});
  }
  template <typename T, typename V>
  Setter setter(T& to, ParseResult<V> (*read)(std::string_view)) {
    return [this, &to, read](const IniEntry& e) {
      const auto v = read(e.value);
      if (const ValueError* w = std::get_if<ValueError>(&v))
        fault(e.line, section_->title() + " " + e.key, w->problem, w->fix);
      else
        to = static_cast<T>(std::get<V>(v));
    };
  }
  Setter time(Time& to) { return setter(to, readTime); }
  template <typename T>
  Setter count(T& to) {
    return setter(to, readCount);
  }
  Setter number(double& to) { return setter(to, readNumber); }
  Setter share(double& to) { return setter(to, readShare); }
  static Setter text(std::string& to) {
    return [&to](const IniEntry& e) { to = e.value; };
  }
  void apply(const IniSection& s, const std::map<std::string, Setter>& keys, const Setter& other = nullptr) {
    for (const IniEntry& e : s.entries) {
      const auto it = keys.find(e.key);
      if (it != keys.end()) {
        it->second(e);
      } else if (other) {
        other(e);
      } else {
        std::string list;
        for (const auto& [name, set] : keys) list += (list.empty() ? "" : ", ") + name;
        fault(e.line, s.title() + " " + e.key, "there is no such key", "keys are " + list);
      }
    }
  }

  void experiment(const IniSection& s) {
    Experiment& e = e_;
    apply(s, {{"title", text(e.title)},
              {"duration", time(e.duration)},
              {"warmup", time(e.warmup)},
              {"proxies", count(e.proxies)},
              {"discovery", text(e.discovery)},
              {"inherited", count(e.inherited)},
              {"descriptors", count(e.descriptors)},
              {"takeover_rules", setter(e.takeoverRules, readFlag)},
              {"seed", count(e.seed)}});
    if (e.proxies < 1 || e.proxies > 200)
      fault(s.line, s.title() + " proxies", "it is out of range", "write 1 to 200");
    e.fleet.proxies = e.proxies;
  }
  void fleet(const IniSection& s) {
    FleetSettings& f = e_.fleet;
    std::string generations;
    apply(s, {{"generations", text(generations)},
              {"groups", count(f.groups)},
              {"members", count(f.members)},
              {"cores", count(f.machine.cores)},
              {"room", count(f.machine.room)},
              {"speed_least", number(f.speedLeast)},
              {"speed_most", number(f.speedMost)},
              {"cold_share", share(f.machine.coldShare)},
              {"cold_for", time(f.machine.coldFor)},
              {"fall_multiple", number(f.machine.fallMultiple)},
              {"fall_for", time(f.machine.fallFor)},
              {"ship_least", time(f.shipLeast)},
              {"ship_most", time(f.shipMost)},
              {"apply_work", time(f.applyWork)},
              {"detect_least", time(f.detectLeast)},
              {"detect_most", time(f.detectMost)},
              {"takeover_least", time(f.takeoverLeast)},
              {"takeover_most", time(f.takeoverMost)},
              {"probe_work", time(f.probeWork)},
              {"value_bytes", count(f.valueBytes)},
              {"base_port", count(f.basePort)}});
    for (const std::string& name : splitWords(generations)) {
      const auto g = serverGenerationOf(name);
      if (g)
        f.generations.push_back(*g);
      else
        fault(s.line, s.title() + " generations", "there is no generation '" + name + "'",
              "write one or more of plain, old, modern");
    }
  }
  void load(const IniSection& s) {
    ClientSettings c;
    std::string server, version;
    bool loop = false;
    apply(s, {{"rate", number(c.rate)},
              {"strict_ends", setter(c.strictEnds, readFlag)},
              {"retries", count(c.retries)},
              {"asks_again", count(c.unknownOutcomeRetries)},
              {"doubles", share(c.duplicateShare)},
              {"again_least", time(c.repeatDelayLeast)},
              {"again_most", time(c.repeatDelayMost)},
              {"loop", setter(loop, readFlag)},
              {"value_bytes", count(c.valueBytes)},
              {"version", text(version)},
              {"way", text(c.mode)},
              {"address", text(c.address)},
              {"addresses", count(c.addresses)},
              {"server", text(server)}});
    if (c.addresses < 1) fault(s.line, s.title() + " addresses", "it is out of range", "write 1 or more");
    if (c.repeatDelayMost < c.repeatDelayLeast)
      fault(s.line, s.title() + " again_most", "it is below again_least", "raise it, or lower again_least");
    c.loop = loop;
    c.version = versionOf(version);
    if (s.name.empty()) {
      e_.load = c;
      return;
    }
    c.direct = true;
    if (server.empty())
      fault(s.line, s.title() + " server", "it is missing", "name a data server, such as s-1");
    e_.direct.push_back({s.name, server, c});
  }
  void crowd(const IniSection& s) {
    CrowdSettings c;
    bool returns = c.returns;
    apply(s, {{"rate", number(c.rate)},
              {"from", time(c.from)},
              {"until", time(c.until)},
              {"address", text(c.address)},
              {"addresses", count(c.addresses)},
              {"way", text(c.mode)},
              {"stay", time(c.stay)},
              {"returns", setter(returns, readFlag)}});
    c.returns = returns;
    if (c.mode != "ask" && c.mode != "silent" && c.mode != "startup" && c.mode != "mute")
      fault(s.line, s.title() + " way", "'" + c.mode + "' is not a supported way",
            "write ask, silent, startup or mute");
    if (c.rate <= 0 || c.addresses < 1)
      fault(s.line, s.title(), "rate or addresses is out of range", "write more than 0");
    e_.crowds.push_back({s.name, c});
  }
  void desks(const IniSection& s) {
    ClientSettings c;
    std::string version, extension;
    bool loop = false;
    apply(s, {{"version", text(version)},
              {"way", text(c.mode)},
              {"rate", number(c.rate)},
              {"loop", setter(loop, readFlag)},
              {"retries", count(c.retries)},
              {"cancels", share(c.cancelShare)},
              {"missing", share(c.missingColumnShare)},
              {"extension", text(extension)},
              {"value_bytes", count(c.valueBytes)}});
    c.loop = loop;
    c.version = versionOf(version);
    if (!extension.empty()) c.startup.emplace_back("_pq_." + extension, "on");
    if (!c.version)
      fault(s.line, s.title() + " version", "'" + version + "' is not a protocol version",
            "write 2.0, 3.0 or 3.2");
    if (c.mode != "simple" && ((c.mode != "extended" && c.mode != "binary") || c.version == Version::V20))
      fault(s.line, s.title() + " way", "'" + c.mode + "' is not available in this version",
            "write simple, and for 3.x extended or binary");
    e_.desks.push_back({s.name, c});
  }
  void requestClass(const IniSection& s) {
    ClassModel m;
    m.name = s.name;
    std::string data, age, dropped, aim, giveUp, worth, late;
    const auto forwardToProxy = [&](const IniEntry& e) { m.settings += e.key + " = " + e.value + "\n"; };
    const auto setAndForward = [&](const Setter& set) {
      return Setter([set, forwardToProxy](const IniEntry& e) {
        set(e);
        forwardToProxy(e);
      });
    };
    apply(s,
          {{"share", share(m.share)},
           {"work_least", time(m.workLeast)},
           {"work_most", time(m.workMost)},
           {"data", setAndForward(text(data))},
           {"max_age", setAndForward(time(m.bound))},
           {"repeats_dropped_for", setAndForward(time(m.droppedFor))},
           {"aim", setAndForward(time(m.aim))},
           {"give_up", setAndForward(time(m.giveUp))},
           {"worth", setAndForward(number(m.worth))},
           {"late_worth", setAndForward(share(m.lateWorth))}},
          forwardToProxy);
    m.write = data == "write";
    e_.classes.push_back(std::move(m));
  }
  void settings(const IniSection& s) {
    for (const IniEntry& e : s.entries) {
      const std::size_t dot = e.key.find('.');
      if (dot == std::string::npos)
        fault(e.line, s.title() + " " + e.key, "the key names no section",
              "write SECTION.KEY, such as dnssd.refresh_most");
      else
        settings_[e.key.substr(0, dot)] += e.key.substr(dot + 1) + " = " + e.value + "\n";
      if (e.key == "data_servers.probes") e_.probes = e.value == "yes";
    }
  }

  std::optional<Time> parseTime(const IniEntry& e, const std::string& word) {
    const auto t = readTime(word);
    if (const ValueError* w = std::get_if<ValueError>(&t)) {
      fault(e.line, "[script]", w->problem,
            "a line is TIME ACTION, or from TIME every TIME until TIME ACTION");
      return std::nullopt;
    }
    return std::get<Time>(t);
  }
  // A line is "5s withdraw s-3" or, repeated, "from 2s every 400ms until 42s toggle s-4".
  void script(const IniSection& s) {
    for (const IniEntry& e : s.entries) {
      std::vector<std::string> words = splitWords(e.value);
      Time from{}, every{}, until{};
      std::size_t skip = 1;
      if (words.size() > 6 && words[0] == "from" && words[2] == "every" && words[4] == "until") {
        const auto a = parseTime(e, words[1]), b = parseTime(e, words[3]), c = parseTime(e, words[5]);
        if (!a || !b || !c) continue;
        from = *a;
        every = *b;
        until = *c;
        skip = 6;
        if (every < std::chrono::milliseconds(1)) {
          fault(e.line, "[script]", "it repeats without end", "write every 1ms or more");
          continue;
        }
      } else {
        const auto a = words.empty() ? std::nullopt : parseTime(e, words[0]);
        if (!a) continue;
        from = until = *a;
        every = Time(1);
      }
      words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(skip));
      const auto known = words.empty() ? actionArguments().end() : actionArguments().find(words[0]);
      if (known == actionArguments().end() || words.size() < 1 + known->second) {
        std::string list;
        for (const auto& [name, n] : actionArguments()) list += (list.empty() ? "" : ", ") + name;
        fault(e.line, "[script]", "'" + e.value + "' is not an action, or an argument is missing",
              "actions are " + list);
        continue;
      }
      e_.stepsWallClocks |= words[0] == "wall";
      for (Time t = from; t <= until; t += every) e_.script.push_back({t, words, e.line});
    }
  }
  void claims(const IniSection& s) {
    for (const IniEntry& e : s.entries) {
      const std::vector<std::string> w = splitWords(e.value);
      static const std::vector<std::string> relations{"=", "<", "<=", ">", ">="};
      if (w.size() == 3 && std::find(relations.begin(), relations.end(), w[1]) != relations.end()) {
        const auto v = readNumber(w[2]);
        if (const double* d = std::get_if<double>(&v)) {
          e_.claims.push_back({e.value, w[0], w[1], *d, e.line});
          continue;
        }
      }
      fault(e.line, "[claims]", "'" + e.value + "' is no claim",
            "write FIGURE RELATION NUMBER, such as late_sends = 0");
    }
  }

  const std::string path_;
  std::vector<Fault>& faults_;
  const IniFile file_;
  Experiment e_;
  const IniSection* section_ = nullptr;
  std::map<std::string, std::string> settings_;
};

}  // namespace

bool Claim::holds(double v) const {
  if (relation == "=") return v == value;
  if (relation == "<") return v < value;
  if (relation == "<=") return v <= value;
  if (relation == ">") return v > value;
  return v >= value;
}

Experiment parseExperiment(const std::string& text, const std::string& file, std::vector<Fault>& faults) {
  return Reader(text, file, faults).read();
}

Experiment readExperiment(const std::string& path, std::vector<Fault>& faults) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) faults.push_back({path, 0, "", "it cannot be read", "see that it exists"});
  return parseExperiment(text.str(), path, faults);
}

}  // namespace sablespur::lab
