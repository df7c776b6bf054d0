#include "lab/run.hpp"

#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>

#include "auth/scram.hpp"
#include "lab/quantiles.hpp"

namespace sablespur::lab {
namespace {

constexpr const char* kDomain = "lab.example.org";
constexpr const char* kService = "_postgresql._tcp";
constexpr Time kStartTimeout = std::chrono::seconds(10), kFinishTimeout = std::chrono::seconds(5);

Audit::Rules auditRules(const Experiment& e) {
  Audit::Rules rules;
  rules.judgeTakeovers = e.takeoverRules;
  return rules;
}

Availability::Rules availabilityRules(const Experiment& e) {
  Availability::Rules rules;
  rules.foundByWrites = !e.probes;
  return rules;
}

double total(const std::vector<double>& v) {
  double s = 0;
  for (const double x : v) s += x;
  return s;
}

}  // namespace

std::size_t Outcome::brokenClaims() const {
  return static_cast<std::size_t>(
      std::count_if(claims.begin(), claims.end(), [](const ClaimResult& j) { return !j.held; }));
}

Run::Run(const Experiment& e, const Options& o)
    : e_(e),
      o_(o),
      c_(e.seed),
      audit_(auditRules(e)),
      availability_(availabilityRules(e)),
      stepTimer_(c_, [this] { executeDueSteps(); }),
      sampleTimer_(c_, [this] { sampleSecond(); }),
      lagTimer_(c_, [this] { measureLag(); }),
      availabilityTimer_(c_, [this] { observeAvailability(); }) {}
Run::~Run() = default;

std::string Run::settings(std::size_t k) const {
  const Proxy& p = proxies_[k];
  std::string zones;
  for (const std::string& z : e_.fleet.zones) zones += (zones.empty() ? "" : ", ") + z;
  std::string s = "[proxy]\nname = p" + std::to_string(k + 1) +
                  "\nlisten = 127.0.0.1:0\nproxies = " + std::to_string(proxies_.size()) +
                  "\nzones = " + zones +
                  "\n[rules]\ncold_capacity = " + std::to_string(e_.fleet.machine.coldShare) +
                  "\ncold_for = " + std::to_string(e_.fleet.machine.coldFor.count()) +
                  "us\nfall_multiple = " + std::to_string(e_.fleet.machine.fallMultiple) +
                  "\nfall_for = " + std::to_string(e_.fleet.machine.fallFor.count()) + "us\n[discovery]\n";
  if (p.names)
    s += "source = dnssd\n[dnssd]\ndomain = " + std::string(kDomain) +
         "\nname_servers = 127.0.0.1:" + std::to_string(p.names->port()) + "\n";
  else
    s += "source = registry\nregistry = 127.0.0.1:" + std::to_string(p.registry->port()) + "\n";
  for (const ClassModel& m : e_.classes) s += "[class " + m.name + "]\n" + m.settings;
  // Inserts the experiment's own keys at the head of their sections. Sections that do not exist are
  // appended.
  std::string text = s;
  std::string section;
  for (std::size_t at = 0; at < e_.settings.size();) {
    const std::size_t end = std::min(e_.settings.find('\n', at), e_.settings.size());
    const std::string line = e_.settings.substr(at, end - at);
    at = end + 1;
    if (!line.empty() && line[0] == '[') {
      section = line;
      if (text.find(line + "\n") == std::string::npos) text += line + "\n";
      continue;
    }
    const std::size_t place = text.find(section + "\n");
    text.insert(place + section.size() + 1, line + "\n");
  }
  // Expands the placeholders: {proxy} is the number of the proxy, {peer} the address at which it
  // listens for its peers. With {peer}, a [peer] section is added for every proxy.
  const auto peer = [&](std::size_t n) {
    return addressText(loopbackAddress(250, static_cast<int>(n) + 1, e_.fleet.basePort));
  };
  const std::string peerPlaceholder = "{peer}";
  if (const std::size_t at = text.find(peerPlaceholder); at != std::string::npos) {
    text.replace(at, peerPlaceholder.size(), peer(k));
    for (std::size_t n = 0; n < proxies_.size(); ++n)
      text += "[peer p" + std::to_string(n + 1) + "]\naddress = " + peer(n) + "\n";
  }
  const std::string proxyPlaceholder = "{proxy}";
  for (std::size_t at = 0; (at = text.find(proxyPlaceholder, at)) != std::string::npos;)
    text.replace(at, proxyPlaceholder.size(), std::to_string(k + 1));
  return text;
}

namespace {
// Writes a file that only its owner may read.
void writePrivateFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
  chmod(path.c_str(), 0600);
}
}  // namespace

void Run::startAll() {
  writePrivateFile(o_.directory + "/inner", std::string(kInnerPassword) + "\n");
  writePrivateFile(o_.directory + "/users",
                   "desk:" + auth::makeVerifier(kDeskPassword, "0123456789abcdef", 4096).text() +
                       "\ndesk:" + auth::md5Stored("desk", kDeskPassword) + "\n");
  if (e_.fleet.basePort == 0) e_.fleet.basePort = 10000 + getpid() * 8 % 20000;
  fleet_ = std::make_unique<Fleet>(c_, audit_, e_.fleet, e_.classes);
  proxies_.resize(static_cast<std::size_t>(e_.proxies));
  for (std::size_t k = 0; k < proxies_.size(); ++k) {
    Proxy& p = proxies_[k];
    const int number = static_cast<int>(k) + 1;
    p.number = number;
    const auto onListed = [this, number](const std::string& name, bool in) {
      for (const auto& s : fleet_->servers())
        if (s->name() == name) audit_.told(c_.now(), number, s->number(), in);
    };
    if (e_.discovery == "dnssd") {
      p.names = std::make_unique<NameServer>(c_.loop.get(), kDomain, kService);
      p.names->onListSent = [this, number](const std::map<std::string, bool>& all) {
        for (const auto& s : fleet_->servers()) {
          const auto it = all.find(s->name());
          audit_.told(c_.now(), number, s->number(), it != all.end() && it->second);
        }
      };
    } else {
      p.registry = std::make_unique<Registry>(c_, onListed);
    }
  }
  for (const auto& s : fleet_->servers()) publish(*s, false);
  for (std::size_t k = 0; k < proxies_.size(); ++k) {
    Proxy& p = proxies_[k];
    const std::string base = o_.directory + "/proxy-" + std::to_string(k + 1);
    p.settingsPath = base + ".ini";
    std::ofstream(p.settingsPath) << settings(k);
    p.process = std::make_unique<ProxyProcess>(c_, o_.program, p.settingsPath, base + ".log");
    ClientSettings load = e_.load;
    load.rate /= static_cast<double>(proxies_.size());
    load.groups = e_.fleet.groups;
    load.valueBytes = load.valueBytes > 0 ? load.valueBytes : e_.fleet.valueBytes;
    p.clients =
        std::make_unique<Clients>(c_, audit_, fleet_->classes(), load, "p" + std::to_string(k + 1) + "-");
    if (e_.takeoverRules) watchReads(*p.clients, static_cast<int>(k) + 1);
    for (const Desks& d : e_.desks) {
      ClientSettings desk = d.settings;
      desk.rate /= static_cast<double>(proxies_.size());
      desk.groups = e_.fleet.groups;
      desk.valueBytes = desk.valueBytes > 0 ? desk.valueBytes : e_.fleet.valueBytes;
      p.desks.push_back(std::make_unique<Clients>(c_, audit_, fleet_->classes(), desk,
                                                  d.name + std::to_string(k + 1) + "-"));
    }
    for (const CrowdLoad& d : e_.crowds) {
      CrowdSettings crowd = d.settings;
      crowd.rate /= static_cast<double>(proxies_.size());
      crowd.groups = e_.fleet.groups;
      p.crowds.push_back(std::make_unique<Crowd>(c_, audit_, fleet_->classes(), crowd,
                                                 d.name + std::to_string(k + 1) + "-"));
    }
    p.process->limits(e_.inherited, e_.descriptors);
    if (e_.stepsWallClocks) p.process->useOwnWallClock(base + ".clock");
    p.process->start([this, k](int port) {
      proxies_[k].address = loopbackAddress(0, 1, port);
      for (const auto& d : proxies_[k].crowds) d->target(proxies_[k].address);
      for (const auto& d : proxies_[k].desks) d->target(proxies_[k].address);
      proxies_[k].clients->target(loopbackAddress(0, 1, port));
      proxies_[k].ready = true;
    });
  }
  for (const DirectLoad& d : e_.direct) {
    DataServer* const s = fleet_->byName(d.server);
    if (!s) throw std::runtime_error("[load " + d.name + "] server: there is no data server " + d.server);
    ClientSettings load = d.settings;
    load.groups = 1;
    load.valueBytes = load.valueBytes > 0 ? load.valueBytes : e_.fleet.valueBytes;
    direct_.push_back(std::make_unique<Clients>(c_, audit_, fleet_->classes(), load, d.name + "-"));
    direct_.back()->target(s->address(0));
  }
  const auto allReady = [this] {
    return std::all_of(proxies_.begin(), proxies_.end(), [](const Proxy& p) { return p.ready; });
  };
  if (!wait(kStartTimeout, allReady))
    throw std::runtime_error("a proxy did not start in time; see " + o_.directory + "/proxy-1.log");
}

bool Run::wait(Time most, const std::function<bool()>& done) {
  const Time end = c_.now() + most;
  Timer tick(c_, [] {});
  while (!done()) {
    if (c_.now() >= end) return false;
    tick.in(std::chrono::milliseconds(5));
    event_base_loop(c_.loop.get(), EVLOOP_ONCE);
  }
  return true;
}

void Run::publish(DataServer& s, bool leaving) {
  listed_[s.number()] = true;
  for (std::size_t k = 0; k < proxies_.size(); ++k) {
    const sockaddr_in a = s.address(static_cast<int>(k) + 1);
    if (proxies_[k].names) {
      ServiceInstance i;
      i.label = s.name();
      i.addresses = {hostText(a)};
      i.port = ntohs(a.sin_port);
      i.txt = {"group=" + std::to_string(s.group()), "zone=" + s.zone()};
      if (leaving) i.txt.push_back("state=leaving");
      proxies_[k].names->publish(i);
    } else {
      const std::string json =
          "\"instanceId\":\"" + s.name() + "\",\"hostPort\":\"" + addressText(a) + "\",\"zone\":\"" +
          s.zone() + "\",\"machineType\":\"m\",\"cell\":" + std::to_string(s.group()) + ",\"lifecycle\":\"" +
          (leaving ? "leaving" : "active") + "\",\"weight\":1.0,\"startedAtMs\":" +
          std::to_string(s.startedAt() > Time(0) ? c_.unixMs(s.startedAt()) : 0);
      proxies_[k].registry->set(s.name(), json, !leaving);
    }
  }
}

void Run::withdraw(DataServer& s) {
  listed_[s.number()] = false;
  audit_.withdrawn(c_.now(), s.number());
  for (Proxy& p : proxies_) p.names ? p.names->withdraw(s.name()) : p.registry->left(s.name());
}

void Run::execute(const Step& step) {
  const std::vector<std::string>& w = step.words;
  const std::string& what = w[0];
  const auto fail = [&](const std::string& why) {
    throw std::runtime_error(e_.file + ":" + std::to_string(step.line) + ": [script]: " + why);
  };
  const auto server = [&]() -> DataServer& {
    DataServer* const s = fleet_->byName(w[1]);
    if (!s) fail("there is no data server " + w[1]);
    return *s;
  };
  const auto value = [&](std::size_t k) { return std::atof(w[k].c_str()); };
  if (what == "withdraw")
    withdraw(server());
  else if (what == "publish")
    publish(server(), false);
  else if (what == "toggle")
    listed_[server().number()] ? withdraw(server()) : publish(server(), false);
  else if (what == "drain") {
    audit_.withdrawn(c_.now(), server().number());
    publish(server(), true);
  } else if (what == "rename") {
    DataServer& s = server();
    for (Proxy& p : proxies_) p.names ? p.names->withdraw(s.name()) : p.registry->left(s.name());
    s.rename(w[2]);
    publish(s, false);
  } else if (what == "empty") {
    for (const auto& s : fleet_->servers()) withdraw(*s);
  } else if (what == "refill") {
    for (const auto& s : fleet_->servers()) publish(*s, false);
  } else if (what == "kill")
    server().kill();
  else if (what == "start")
    server().start();
  else if (what == "vanish")
    server().vanish(true);
  else if (what == "back") {
    server().vanish(false);
    server().hang(false);
  } else if (what == "hang")
    server().hang(true);
  else if (what == "slow")
    server().slow(value(2));
  else if (what == "errors")
    server().errors(value(2) / 100);
  else if (what == "resets")
    server().resets(value(2) / 100);
  else if (what == "lag")
    server().lag(value(2));
  else if (what == "primary") {  // "primary kill 1": of group 1
    DataServer* const s = fleet_->primary(std::atoi(w[2].c_str()));
    if (s && w[1] == "kill") s->kill();
    if (s && w[1] == "hang") s->hang(true);
    if (s && w[1] == "vanish") s->vanish(true);
    if (s && w[1] == "stepdown") fleet_->stepDown(std::atoi(w[2].c_str()));
  } else if (what == "behind") {
    // "behind 1 3000": the positions that group 1 tells are 3000 ms behind the present
    fleet_->delay(std::atoi(w[1].c_str()), std::chrono::milliseconds(std::atoi(w[2].c_str())));
  } else if (what == "group") {  // "group stop 1": all servers of group 1
    executeGroupAction(w[1], std::atoi(w[2].c_str()), fail);
  } else if (what == "wall") {
    // "wall 2 -3000": the wall clock of proxy 2 is 3000 ms behind the true time
    const auto k = static_cast<std::size_t>(std::atoi(w[1].c_str())) - 1;
    if (k >= proxies_.size()) fail("there is no proxy " + w[1]);
    proxies_[k].process->setWallClockOffset(std::chrono::milliseconds(std::atoi(w[2].c_str())));
  } else if (what == "revive") {
    // "revive 1": servers of group 1 that hang or have vanished answer again
    fleet_->revive(std::atoi(w[1].c_str()));
  } else if (what == "load") {  // "load 2 15": 15 requests per second at proxy 2
    const auto k = static_cast<std::size_t>(std::atoi(w[1].c_str())) - 1;
    if (k >= proxies_.size()) fail("there is no proxy " + w[1]);
    proxies_[k].clients->rate(value(2));
  } else if (what == "dns") {
    NameServer::ResponseMode responseMode{};
    if (!NameServer::parseResponseMode(w[1], responseMode))
      fail("there is no name server fault mode " + w[1]);
    for (Proxy& p : proxies_)
      if (p.names) p.names->responseMode(responseMode);
  } else if (what == "registry") {
    for (Proxy& p : proxies_)
      if (p.registry && !setRegistryMode(*p.registry, w[1])) fail("there is no registry fault mode " + w[1]);
  } else if (what == "logins") {  // "logins 200 3.0": 200 logins at once at proxy 1, in version 3.0
    const auto version = versionOf(w[2]);
    if (!version) fail("there is no protocol version " + w[2]);
    bursts_.push_back(
        std::make_unique<LoginBurst>(c_, proxies_[0].address, *version, std::atoi(w[1].c_str())));
  } else if (what == "reconnect") {
    // "reconnect 40": replaces the idle connections by 40 new ones, over all proxies
    for (Proxy& p : proxies_)
      p.clients->reconnect(std::atoi(w[1].c_str()) / static_cast<int>(proxies_.size()));
  } else if (what == "power") {
    // "power 300 1500": kills all servers and proxies at once. Servers restart after 300 to 1500 ms,
    // proxies after 100 to 1500 ms.
    power_->lose(std::chrono::milliseconds(std::atoi(w[1].c_str())),
                 std::chrono::milliseconds(std::atoi(w[2].c_str())));
  } else if (what == "rate") {
    for (Proxy& p : proxies_) p.clients->rate(value(1) / static_cast<double>(proxies_.size()));
  } else if (what == "proxy") {  // "proxy 2 kill"
    const auto k = static_cast<std::size_t>(std::atoi(w[1].c_str())) - 1;
    if (k >= proxies_.size()) fail("there is no proxy " + w[1]);
    Proxy& p = proxies_[k];
    if (w[2] == "term" || w[2] == "kill") p.cpuOfEndedProcesses += p.process->cpuSeconds() - p.cpuAtStart;
    if (w[2] == "term" || w[2] == "kill") p.cpuAtStart = 0;
    if (w[2] == "term")
      terminateProxy(p);
    else if (w[2] == "hup")
      p.process->signal(SIGHUP);
    else if (w[2] == "stop")
      p.process->signal(SIGSTOP);
    else if (w[2] == "cont")
      p.process->signal(SIGCONT);
    else if (w[2] == "kill")
      killProxy(p);
    else if (w[2] == "start")
      startProxy(k);
    else
      fail("the proxy action must be term, hup, stop, cont, kill or start");
  }
}

void Run::executeGroupAction(const std::string& action, int group,
                             const std::function<void(const std::string&)>& fail) {
  if (action == "stop")
    fleet_->stopGroup(group);
  else if (action == "start")
    fleet_->startGroup(group);
  else if (action == "publish")
    publishGroup(group);
  else
    fail("the group action must be stop, start or publish");
}

// The list tells the new start of each server of the group.
void Run::publishGroup(int group) {
  for (const auto& s : fleet_->servers())
    if (s->group() == group && listed_[s->number()]) publish(*s, false);
}

void Run::terminateProxy(Proxy& p) {
  if (!p.terminatedAt) p.terminatedAt = c_.now();
  availability_.proxyStopped(p.number);
  p.process->signal(SIGTERM);
}

// A request that is unanswered at SIGKILL counts as lost only if it was sent more than 0.7 s after
// SIGTERM. Without a SIGTERM before, no unanswered request counts as lost.
void Run::killProxy(Proxy& p) {
  constexpr Time kAcceptedAfterTerm = std::chrono::milliseconds(700);
  p.clients->excuseClosesUntil(p.terminatedAt ? *p.terminatedAt + kAcceptedAfterTerm : c_.now());
  p.process->kill();
  availability_.proxyStopped(p.number);
}

void Run::startProxy(std::size_t k) {
  Proxy& p = proxies_[k];
  if (!p.process->running() && p.process->exitStatus() > 0)
    audit_.crashed(c_.now(), static_cast<int>(k) + 1, p.process->exitStatus());
  p.terminatedAt.reset();
  audit_.restarted(static_cast<int>(k) + 1);
  p.process->start([this, k](int port) {
    proxies_[k].clients->target(loopbackAddress(0, 1, port));
    availability_.proxyStarted(c_.now(), proxies_[k].number);
  });
}

// Sets the fault mode of a registry stand-in. Returns false if `mood` names no mode.
bool Run::setRegistryMode(Registry& registry, const std::string& responseMode) {
  static const std::map<std::string, Registry::ResponseMode> kMoods{
      {"well", Registry::ResponseMode::Well},
      {"silent", Registry::ResponseMode::WatchesSilent},
      {"cut", Registry::ResponseMode::Cut},
      {"pieces", Registry::ResponseMode::Pieces},
      {"older", Registry::ResponseMode::Older}};
  const std::string slow = "slow-";  // followed by the delay of each call in ms
  if (responseMode == "down" || responseMode == "up")
    registry.down(responseMode == "down");
  else if (responseMode == "reset")
    registry.resetWatches();
  else if (responseMode.rfind(slow, 0) == 0)
    registry.responseMode(Registry::ResponseMode::Slow,
                          std::chrono::milliseconds(std::atoi(responseMode.c_str() + slow.size())));
  else if (const auto known = kMoods.find(responseMode); known != kMoods.end())
    registry.responseMode(known->second);
  else
    return false;
  return true;
}

void Run::executeDueSteps() {
  const Time now = c_.now() - started_;
  while (step_ < e_.script.size() && e_.script[step_].at <= now) execute(e_.script[step_++]);
  if (step_ < e_.script.size()) stepTimer_.in(e_.script[step_].at - now);
}

double Run::cpu() const {
  double s = 0;
  for (const Proxy& p : proxies_) s += p.process->cpuSeconds() - p.cpuAtStart + p.cpuOfEndedProcesses;
  return s;
}

void Run::sampleSecond() {
  SecondTotals s;
  s.at = static_cast<double>((c_.now() - started_).count()) / 1e6;
  s.cpu = cpu();
  for (const Proxy& p : proxies_) s.residentMb = std::max(s.residentMb, p.process->residentMb());
  s.served = audit_.count(Result::Served);
  s.refused = audit_.count(Result::Refused);
  s.failed = audit_.count(Result::Failed) + audit_.count(Result::Unanswered);
  for (const auto& [server, in] : listed_) s.members += in;
  const SecondTotals before = samples_.empty() ? SecondTotals() : samples_.back();
  samples_.push_back(s);
  if (o_.progress) {
    std::fprintf(
        stderr,
        "\r%5.0f s  served %zu/s  refused %zu/s  failed %zu/s  members %zu  cpu %.1f%%  memory %.1f MB   ",
        s.at, s.served - before.served, s.refused - before.refused, s.failed - before.failed, s.members,
        100 * (s.cpu - before.cpu), s.residentMb);
    if (o_.untilStopped) std::fprintf(stderr, "\n");
    std::fflush(stderr);
  }
  sampleTimer_.in(std::chrono::seconds(1));
}

void Run::measureLag() {
  constexpr Time kInterval = std::chrono::milliseconds(20);
  const Time now = c_.now();
  if (lagDue_ > Time(0)) worstLag_ = std::max(worstLag_, now - lagDue_);
  lagDue_ = now + kInterval;
  lagTimer_.in(kInterval);
}

// Uses half of the tightest staleness bound, so that data that counts as available stays fresh enough
// for a few more round trips.
void Run::observeAvailability() {
  constexpr Time kInterval = std::chrono::milliseconds(20);
  Time bound{};
  for (const ClassModel& m : e_.classes)
    if (m.bound > Time(0) && (bound == Time(0) || m.bound < bound)) bound = m.bound;
  for (int group = 1; group <= e_.fleet.groups; ++group)
    availability_.observe(
        c_.now(), group,
        e_.probes ? fleet_->isAvailable(group, bound / 2) : fleet_->hasHealthyPrimary(group));
  availabilityTimer_.in(kInterval);
}

void Run::watchReads(Clients& clients, int proxy) {
  clients.onEnded([this, proxy](const ClassModel& cls, int group, Time begun, bool served) {
    if (cls.write)
      availability_.writeEnded(c_.now(), proxy, group, begun);
    else
      availability_.readEnded(c_.now(), proxy, group, begun, served);
  });
}

void Run::stop() { stopped_ = true; }

Outcome Run::play() {
  startAll();
  wait(e_.warmup, [] { return false; });
  started_ = c_.now();
  for (Proxy& p : proxies_) p.cpuAtStart = p.process->cpuSeconds();
  for (const Proxy& p : proxies_)
    if (p.names) dnsAtStart_ += static_cast<double>(p.names->counts().udp + p.names->counts().tcp);
  for (Proxy& p : proxies_) {
    if (e_.load.rate > 0 || e_.load.loop) p.clients->start();
    for (const auto& d : p.desks) d->start();
    for (const auto& d : p.crowds) d->start();
  }
  for (const auto& d : direct_) d->start();
  PowerLossSimulator::Controls controls;
  controls.proxies = static_cast<int>(proxies_.size());
  controls.directory = o_.directory;
  controls.proxy = [this](int k, bool on) {
    if (proxies_[static_cast<std::size_t>(k) - 1].process->running() != on)
      execute({{}, {"proxy", std::to_string(k), on ? "start" : "kill"}, 0});
  };
  power_ = std::make_unique<PowerLossSimulator>(c_, *fleet_, audit_, std::move(controls));
  if (e_.takeoverRules) observeAvailability();
  executeDueSteps();
  sampleTimer_.in(std::chrono::seconds(1));
  measureLag();
  wait(o_.untilStopped ? std::chrono::hours(24 * 365) : e_.duration, [this] { return stopped_; });
  const Time loaded = c_.now() - started_;
  const double cpuUsed = cpu();
  for (Proxy& p : proxies_) {
    p.clients->stop();
    for (const auto& d : p.desks) d->stop();
    for (const auto& d : p.crowds) d->stop();
  }
  for (const auto& d : direct_) d->stop();
  wait(kFinishTimeout, [this] {
    return std::all_of(proxies_.begin(), proxies_.end(), [](const Proxy& p) {
      return p.clients->open() == 0 &&
             std::all_of(p.desks.begin(), p.desks.end(), [](const auto& d) { return d->open() == 0; }) &&
             std::all_of(p.crowds.begin(), p.crowds.end(), [](const auto& d) { return d->open() == 0; });
    });
  });
  sampleTimer_.stop();
  stepTimer_.stop();
  if (o_.progress) std::fprintf(stderr, "\n");
  fleet_->finish(c_.now());
  audit_.finish(c_.now());

  Outcome out;
  out.seconds = samples_;
  out.figures["proxy_cpu_s"] = cpuUsed;
  figures(out, loaded);
  for (const Claim& claim : e_.claims) {
    Outcome::ClaimResult j;
    j.claim = claim;
    const auto it = out.figures.find(claim.figure);
    j.known = it != out.figures.end();
    j.measured = j.known ? it->second : 0;
    j.held = j.known && claim.holds(j.measured);  // a figure that was not measured breaks its claim
    out.claims.push_back(j);
  }
  return out;
}

void Run::figures(Outcome& out, Time loaded) {
  auto& f = out.figures;
  for (const auto& [name, v] : audit_.figures()) f[name] = v;
  const double seconds = static_cast<double>(loaded.count()) / 1e6;
  f["seconds"] = seconds;
  std::size_t servedTotal = 0, crashed = 0;
  std::vector<double> latencies;
  double dns = 0, peak = 0;
  for (Proxy& p : proxies_) {
    servedTotal += p.clients->latencies().size();
    latencies.insert(latencies.end(), p.clients->latencies().begin(), p.clients->latencies().end());
    for (const auto& d : p.desks) {
      servedTotal += d->latencies().size();
      latencies.insert(latencies.end(), d->latencies().begin(), d->latencies().end());
    }
    crashed += !p.process->running() && p.process->exitStatus() != 0;
    if (p.names) dns += static_cast<double>(p.names->counts().udp + p.names->counts().tcp);
  }
  for (const SecondTotals& s : samples_) peak = std::max(peak, s.residentMb);
  for (const auto& b : bursts_) {
    f["logins"] += static_cast<double>(b->in());
    f["logins_failed"] += static_cast<double>(b->failed());
    Quantiles q;
    for (const double x : b->latencies()) q.add(x);
    f["logins_p50_ms"] = q.at(0.5);
    f["logins_most_ms"] = q.most();
    if (q.most() > 0) f["logins_per_s"] = 1e3 * static_cast<double>(b->in()) / q.most();
  }
  // Admission of connections, as seen by the load and by the crowds.
  double asked = 0, served = 0;
  Quantiles admitted;
  for (const Proxy& p : proxies_) {
    asked += static_cast<double>(p.clients->asked());
    served += static_cast<double>(p.clients->served());
    for (const double ms : p.clients->admissions()) admitted.add(ms);
    f["load_refused_at_door"] += static_cast<double>(p.clients->rejectedLogins());
    f["load_outside"] += static_cast<double>(p.clients->notLoggedIn());
    for (const auto& d : p.crowds) {
      const Crowd::Counts& n = d->counts();
      f["crowd_opened"] += static_cast<double>(n.opened);
      f["crowd_in"] += static_cast<double>(n.in);
      f["crowd_refused"] += static_cast<double>(n.refused);
      f["crowd_cut"] += static_cast<double>(n.cut);
      f["crowd_not_connected"] += static_cast<double>(n.failed);
      f["crowd_served"] += static_cast<double>(n.served);
      f["crowd_requests_turned_away"] += static_cast<double>(n.turnedAway);
      f["crowd_returned"] += static_cast<double>(n.returned);
      f["crowd_returned_early"] += static_cast<double>(n.early);
      f["crowd_peak_returns_100ms"] =
          std::max(f["crowd_peak_returns_100ms"], static_cast<double>(n.peakReturns));
    }
  }
  if (asked > 0) f["load_served_share"] = served / asked;
  f["load_admissions"] = static_cast<double>(admitted.count());
  f["load_admit_p50_ms"] = admitted.at(0.5);
  f["load_admit_most_ms"] = admitted.most();
  if (power_) power_->figures(f);
  f["crashes"] = static_cast<double>(crashed);
  if (e_.takeoverRules) f["read_outages"] = static_cast<double>(availability_.outages().size());
  f["resident_mb"] = peak;
  f["worst_lag_ms"] = static_cast<double>(worstLag_.count()) / 1e3;
  f["proxy_cpu_share"] = f["proxy_cpu_s"] / seconds / static_cast<double>(proxies_.size());
  if (f["requests"] > 0 && servedTotal > 0)
    f["proxy_cpu_us_per_request"] = 1e6 * f["proxy_cpu_s"] / static_cast<double>(servedTotal);
  f["requests_per_s"] = f["requests"] / seconds;
  f["dns_queries_per_s_and_proxy"] = (dns - dnsAtStart_) / seconds / static_cast<double>(proxies_.size());
  const auto median = [](const std::vector<double>& v) {
    Quantiles q;
    for (const double x : v) q.add(x);
    return q.at(0.5);
  };
  for (const auto& d : direct_) {
    f["direct_p50_ms"] = median(d->latencies());
    f["direct_mean_ms"] =
        d->latencies().empty() ? 0 : total(d->latencies()) / static_cast<double>(d->latencies().size());
    f["proxied_p50_ms"] = median(latencies);
    f["added_p50_us"] = 1e3 * (f["proxied_p50_ms"] - f["direct_p50_ms"]);
  }
}

}  // namespace sablespur::lab
