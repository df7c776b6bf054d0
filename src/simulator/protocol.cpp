#include "simulator/protocol.hpp"

#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <set>
#include <unordered_map>

namespace sablespur::simulator {

using namespace balancer;

namespace {

constexpr std::uint8_t kReportBack = 1, kEstablished = 2, kProvision = 3, kDefineList = 5, kHealth = 6,
                       kOrder = 7, kGone = 8, kBell = 9, kFleet = 10, kStop = 11;
constexpr std::uint8_t kDispatch = 65, kRefuse = 66, kError = 67, kRecall = 68, kSleep = 69, kAskLoad = 70,
                       kDie = 74, kKeepInformed = 75;
constexpr std::size_t kEntryBytes = 29, kLongestText = 60000;
constexpr std::uint32_t kLongestFrame = 1u << 30;

class Reader {
 public:
  Reader(const std::uint8_t* data, std::size_t size, std::uint64_t offset)
      : data_(data), size_(size), offset_(offset) {}
  std::size_t left() const { return size_ - at_; }
  std::uint64_t where() const { return offset_ + at_; }
  const std::uint8_t* skip(std::size_t n, const char* what) {
    if (left() < n) throw Malformed(std::string(what) + " is cut short", where());
    const std::uint8_t* p = data_ + at_;
    at_ += n;
    return p;
  }
  template <typename T>
  T get(const char* what) {  // little-endian, as this wire and the machines that it is built for
    T v;
    std::memcpy(&v, skip(sizeof(T), what), sizeof(T));
    return v;
  }
  EndpointId node() {
    const std::uint8_t* p = skip(6, "node");
    EndpointId id = 0;
    for (int k = 0; k < 4; ++k) id = id << 8 | p[k];
    return id << 16 | static_cast<EndpointId>(p[4] | p[5] << 8);
  }
  std::vector<float> report() {
    std::vector<float> v(get<std::uint8_t>("report length"));
    for (float& f : v) f = get<float>("report");
    return v;
  }

 private:
  const std::uint8_t* data_;
  std::size_t size_, at_ = 0;
  std::uint64_t offset_;
};

class Writer {
 public:
  void record(std::uint8_t code, std::uint16_t instance) {
    close();
    put(code);
    open_ = bytes_.size();
    put<std::uint32_t>(0);
    put(instance);
    ++count_;
  }
  template <typename T>
  void put(T v) {
    const auto* p = reinterpret_cast<const std::uint8_t*>(&v);
    for (std::size_t k = 0; k < sizeof(T); ++k) bytes_.push_back(p[k]);
  }
  void node(EndpointId id) {
    for (int k = 3; k >= 0; --k) put(static_cast<std::uint8_t>(id >> (16 + 8 * k)));
    put(static_cast<std::uint16_t>(id));
  }
  void text(const std::string& s) {
    const std::size_t n = std::min(s.size(), kLongestText);
    put(static_cast<std::uint16_t>(n));
    bytes_.insert(bytes_.end(), s.begin(), s.begin() + static_cast<std::ptrdiff_t>(n));
  }
  std::vector<std::uint8_t> finish() {
    close();
    Writer head;
    head.put(count_);
    head.put(static_cast<std::uint32_t>(bytes_.size()));
    head.bytes_.insert(head.bytes_.end(), bytes_.begin(), bytes_.end());
    return std::move(head.bytes_);
  }

 private:
  void close() {
    if (!open_) return;
    const auto n = static_cast<std::uint32_t>(bytes_.size() - open_ - 4);
    std::memcpy(&bytes_[open_], &n, 4);
    open_ = 0;
  }
  std::vector<std::uint8_t> bytes_;
  std::size_t open_ = 0;
  std::uint32_t count_ = 0;
};

std::vector<std::string> split(const std::string& s, char by) {
  std::vector<std::string> parts;
  for (std::size_t from = 0; from <= s.size();) {
    const std::size_t to = std::min(s.find(by, from), s.size());
    parts.push_back(s.substr(from, to - from));
    from = to + 1;
  }
  return parts;
}

class Facts {
 public:
  explicit Facts(const std::string& text) {
    for (const std::string& line : split(text, '\n')) {
      const std::size_t eq = line.find('=');
      if (eq != std::string::npos) values_[line.substr(0, eq)] = line.substr(eq + 1);
    }
  }
  const std::string& text(const std::string& key) const {
    const auto it = values_.find(key);
    if (it == values_.end()) throw BadSetting("setting " + key + " is missing");
    return it->second;
  }
  bool has(const std::string& key) const { return values_.count(key) != 0; }
  double number(const std::string& key) const { return toNumber(key, text(key)); }
  static double toNumber(const std::string& key, const std::string& value) {
    char* end = nullptr;
    const double v = std::strtod(value.c_str(), &end);
    if (value.empty() || *end || !std::isfinite(v) || v < 0 || v > 9e15)
      throw BadSetting("setting " + key + " is no usable number: '" + value + "'");
    return v;
  }
  int count(const std::string& key, double least, double most) const {
    const double v = number(key);
    if (v < least || v > most || v != std::floor(v))
      throw BadSetting("setting " + key + " is out of range: '" + text(key) + "'");
    return static_cast<int>(v);
  }
  Time time(const std::string& key) const { return Time(static_cast<std::int64_t>(number(key))); }
  bool flag(const std::string& key) const { return choice<bool>(key, {{"true", true}, {"false", false}}); }
  template <typename T>
  T choice(const std::string& key, const std::map<std::string, T>& known) const {
    return toChoice(key, text(key), known);
  }
  template <typename T>
  static T toChoice(const std::string& key, const std::string& value, const std::map<std::string, T>& known) {
    const auto it = known.find(value);
    if (it == known.end()) throw BadSetting("setting " + key + " has an unknown value: '" + value + "'");
    return it->second;
  }

 private:
  std::map<std::string, std::string> values_;
};

std::optional<AttemptResult> toResult(std::uint16_t how) {
  switch (how) {
    case 0:
      return AttemptResult::Ok;
    case 13:
      return AttemptResult::Error;
    case 8:
      return AttemptResult::Rejected;
    case 4:
      return AttemptResult::Timeout;
    case 14:
      return AttemptResult::ConnectFailed;
    case 10:
      return AttemptResult::Reset;
    case 1:
      return AttemptResult::Cancelled;
    case 9:
      return AttemptResult::NotSent;
    case 5:
      return AttemptResult::TooStale;
    default:
      return std::nullopt;
  }
}

}  // namespace

Settings parseSettings(const std::string& facts) {
  const Facts f(facts);
  Settings s;
  const int n = f.count("classes.count", 1, 65535);
  const auto needs = split(f.text("specifics.consistency"), ',');
  const auto bounds = split(f.text("specifics.classBoundUs"), ',');
  if (needs.size() != static_cast<std::size_t>(n))
    throw BadSetting("setting specifics.consistency does not fit classes.count: '" +
                     f.text("specifics.consistency") + "'");
  if (bounds.size() != needs.size())
    throw BadSetting("setting specifics.classBoundUs does not fit classes.count: '" +
                     f.text("specifics.classBoundUs") + "'");
  for (int k = 0; k < n; ++k) {
    const std::string p = "classes." + std::to_string(k) + ".";
    const auto at = static_cast<std::size_t>(k);
    ClassSettings c;
    c.requirement = Facts::toChoice<Requirement>("specifics.consistency", needs[at],
                                                 {{"any", Requirement::Any},
                                                  {"bounded", Requirement::BoundedStaleness},
                                                  {"session", Requirement::Session},
                                                  {"fresh", Requirement::Strong},
                                                  {"write", Requirement::Write}});
    c.maxStaleness = Time(static_cast<std::int64_t>(Facts::toNumber("specifics.classBoundUs", bounds[at])));
    c.idempotency = f.choice<Idempotency>(p + "effect", {{"safe", Idempotency::Idempotent},
                                                         {"keyed", Idempotency::WithKey},
                                                         {"unsafe", Idempotency::NonIdempotent}});
    if (c.idempotency == Idempotency::WithKey) {
      c.idempotencyScope = f.choice<IdempotencyScope>(p + "group", {{"all", IdempotencyScope::All},
                                                                    {"zone", IdempotencyScope::Zone},
                                                                    {"cell", IdempotencyScope::Group}});
      c.deduplicationWindow = f.time(p + "memorySpanUs");
    }
    c.latencyObjective = f.time(p + "promiseUs");
    c.deadline = f.time(p + "deadlineUs");
    c.priorityWeight = f.number(p + "worth");
    c.lateWeight = f.number(p + "lateWorth");
    s.classes.push_back(c);
  }
  s.laggingReplicaPolicy =
      f.choice<LaggingReplicaPolicy>("specifics.checks", {{"silent", LaggingReplicaPolicy::Serve},
                                                          {"refuse", LaggingReplicaPolicy::Reject},
                                                          {"wait", LaggingReplicaPolicy::Wait}});
  s.listedRolePolicy =
      f.choice<ListedRolePolicy>("specifics.roleListed", {{"silent", ListedRolePolicy::NotListed},
                                                          {"start", ListedRolePolicy::AtStart},
                                                          {"late", ListedRolePolicy::Delayed}});
  s.discoveryMode = f.choice<DiscoveryMode>(
      "discovery", {{"automatic", DiscoveryMode::Automatic}, {"subscribe", DiscoveryMode::Subscribe}});
  s.loadReportMode = f.choice<LoadReportMode>("report.how", {{"silent", LoadReportMode::None},
                                                             {"piggyback", LoadReportMode::Piggyback},
                                                             {"pull", LoadReportMode::Pull}});
  if (s.loadReportMode != LoadReportMode::None) {
    const std::map<std::string, ReportField> known{{"x0", ReportField::Position},
                                                   {"x1", ReportField::Primary},
                                                   {"inflight", ReportField::Inflight},
                                                   {"queue", ReportField::Queue}};
    for (const std::string& name : split(f.text("report.names"), ',')) {
      const auto it = known.find(name);
      s.reportFields.push_back(it == known.end() ? ReportField::Other : it->second);
    }
  }
  s.positionsInAnswers = f.flag("specifics.stamps");
  s.sessionTokensCarried =
      f.choice<bool>("specifics.sessionMarks", {{"carried", true}, {"remembered", false}});
  s.synchronousReplication = f.flag("specifics.synchronous");
  s.healthChecksAllowed = f.flag("allowed.probing");
  s.cancelAllowed = f.flag("allowed.cancel");
  s.parallelAttemptsAllowed = f.flag("allowed.parallelTries");
  s.retryAfterAllowed = f.flag("allowed.retryAfter");
  s.removedEndpointsStayUsable =
      f.has("obligations.droppedStayOpen") && f.flag("obligations.droppedStayOpen");
  s.maxAttempts = f.count("allowed.attemptsCap", 1, 255);
  s.proxyCount = f.count("balancers", 1, 1e9);
  s.replicaWaitLimit = f.time("specifics.holdsForUs");
  s.positionEpoch = f.time("specifics.zeroUs");
  s.maxRetryAfter = f.time("allowed.maxRetryAfterUs");
  s.drainGrace = f.time("obligations.drainGraceUs");
  s.warmUpPeriod = f.time("obligations.coldUs");
  s.overloadWindow = f.time("obligations.fallUs");
  if (s.discoveryMode == DiscoveryMode::Subscribe)
    s.discoveryPollDeadline = f.time("obligations.mustAskInUs");
  s.timerResolution = f.time("stepUs");
  s.warmUpStartCapacity = f.number("obligations.startCapacity");
  s.overloadFactor = f.number("obligations.fallMultiple");
  s.wholeServiceGoalWeight = f.number("goal.whole");
  s.worstClassGoalWeight = f.number("goal.worstClass");
  return s;
}

struct Host::Instance final : ActionSink {
  std::uint16_t number = 0;
  Writer* out = nullptr;
  std::unique_ptr<Balancer> balancer;
  bool dead = false;

  void send(RequestId id, EndpointId m, Time until) override {
    out->record(kDispatch, number);
    out->put(static_cast<std::uint32_t>(id));
    out->put(static_cast<std::uint64_t>(until.count()));
    out->node(m);
  }
  void reject(RequestId id, Time retryAfter) override {
    out->record(kRefuse, number);
    out->put(static_cast<std::uint32_t>(id));
    out->put(static_cast<std::uint32_t>(retryAfter.count()));
  }
  void fail(RequestId id) override {
    out->record(kError, number);
    out->put(static_cast<std::uint32_t>(id));
  }
  void cancel(RequestId id, int attempt) override {
    out->record(kRecall, number);
    out->put(static_cast<std::uint32_t>(id));
    out->put(static_cast<std::uint8_t>(attempt));
  }
  void scheduleTimer(Time in, std::uint64_t token) override {
    out->record(kSleep, number);
    out->put(static_cast<std::uint32_t>(in.count()));
    out->put(token);
  }
  void startHealthCheck(EndpointId m) override {
    out->record(kAskLoad, number);
    out->node(m);
  }
  void subscribe() override {
    out->record(kKeepInformed, number);
    out->put(std::uint8_t{1});
  }
  void die(const std::string& why) {
    dead = true;
    balancer.reset();
    out->record(kDie, number);
    out->text(why);
  }
};

Host::Host() = default;
Host::~Host() = default;

std::vector<std::uint8_t> Host::handle(const std::uint8_t* batch, std::size_t size, std::uint64_t offset) {
  Writer out;
  Reader in(batch, size, offset);
  const Time now(static_cast<std::int64_t>(in.get<std::uint64_t>("clock")));
  while (in.left()) {
    const auto code = in.get<std::uint8_t>("record code");
    const auto length = in.get<std::uint32_t>("record length");
    const std::uint64_t where = in.where();
    Reader r(in.skip(length, "record"), length, where);
    if (code == kDefineList) {
      const auto ref = r.get<std::uint32_t>("list number");
      const auto n = r.get<std::uint32_t>("list length");
      if (r.left() / kEntryBytes < n) throw Malformed("list is cut short", r.where());
      std::vector<ListedEndpoint> items(n);
      for (ListedEndpoint& m : items) {
        m.id = r.node();
        m.zone = r.get<std::uint16_t>("zone");
        r.get<std::uint16_t>("kind");
        m.group = r.get<std::uint16_t>("group");
        const auto state = r.get<std::uint8_t>("lifecycle");
        m.state = state == 1 ? Lifecycle::Ready : state == 2 ? Lifecycle::Draining : Lifecycle::Gone;
        m.primary = r.get<float>("leader") == 1.0f;
        m.weight = static_cast<double>(r.get<float>("power hint"));
        m.started = Time(static_cast<std::int64_t>(r.get<std::uint64_t>("start")));
      }
      lists_[ref] = std::move(items);
      continue;
    }
    if (code < kReportBack || code > kStop) continue;  // a later version's record
    const auto number = r.get<std::uint16_t>("instance");
    if (code == kProvision) {
      const auto seed = r.get<std::uint64_t>("seed");
      const auto n = r.get<std::uint32_t>("settings length");
      const auto* text = reinterpret_cast<const char*>(r.skip(n, "settings"));
      auto fresh = std::make_unique<Instance>();
      fresh->number = number;
      fresh->out = &out;
      try {
        fresh->balancer = std::make_unique<Balancer>(parseSettings(std::string(text, n)), seed, *fresh);
      } catch (const std::exception& e) {
        fresh->die(e.what());
      }
      instances_[number] = std::move(fresh);
      continue;
    }
    const auto it = instances_.find(number);
    Instance* const inst = it == instances_.end() || it->second->dead ? nullptr : it->second.get();
    if (inst) inst->out = &out;
    const auto tell = [&](auto&& event) {  // an exception in the decisions ends that instance, and it alone
      if (!inst) return;
      try {
        event(*inst->balancer);
      } catch (const std::exception& e) {
        inst->die(e.what());
      }
    };
    switch (code) {
      case kStop:
        instances_.erase(number);
        break;
      case kFleet: {
        const auto kind = r.get<std::uint8_t>("list kind");
        r.get<std::uint64_t>("list version");
        const auto ref = r.get<std::uint32_t>("list number");
        if (kind > 3) break;
        static const std::vector<ListedEndpoint> none;
        const auto list = lists_.find(ref);
        if (kind != 3 && list == lists_.end()) throw Malformed("list number without a list", where);
        tell([&](Balancer& b) {
          b.endpointsListed(now, static_cast<ListKind>(kind), kind == 3 ? none : list->second);
        });
        break;
      }
      case kOrder: {
        Request q;
        q.id = r.get<std::uint32_t>("request");
        r.get<std::uint8_t>("bits");
        r.get<std::uint32_t>("owner");
        q.session = r.get<std::uint64_t>("session");
        q.sessionTokenAgeMs = r.get<float>("token");
        q.deadline = Time(static_cast<std::int64_t>(r.get<std::uint64_t>("deadline")));
        const float group = r.get<float>("group");
        if (!(group >= 0 && group < 65536)) throw Malformed("group out of range", where);
        q.group = static_cast<GroupId>(group);
        q.classIndex = r.get<std::uint16_t>("class");
        r.get<std::uint32_t>("effort");
        tell([&](Balancer& b) { b.request(now, q); });
        break;
      }
      case kReportBack: {
        AttemptOutcome o;
        o.request = r.get<std::uint32_t>("request");
        o.attempt = r.get<std::uint8_t>("attempt");
        o.endpoint = r.node();
        const auto result = toResult(r.get<std::uint16_t>("outcome"));
        o.latency = Time(r.get<std::uint32_t>("latency"));
        o.clientAnswered = r.get<std::uint8_t>("closed") != 0;
        o.replicationStatus = r.get<std::uint32_t>("note");
        o.report = r.report();
        o.result = result.value_or(AttemptResult::Error);  // an ending of a later version proves nothing
        tell([&](Balancer& b) { b.attemptEnded(now, o); });
        break;
      }
      case kGone: {
        const auto id = r.get<std::uint32_t>("request");
        tell([&](Balancer& b) { b.clientDisconnected(now, id); });
        break;
      }
      case kBell: {
        const auto token = r.get<std::uint64_t>("token");
        tell([&](Balancer& b) { b.timerFired(now, token); });
        break;
      }
      case kHealth: {
        HealthCheckResult p;
        p.endpoint = r.node();
        p.latency = Time(r.get<std::uint32_t>("latency"));
        p.ok = r.get<std::uint16_t>("outcome") == 0;
        p.report = r.report();
        tell([&](Balancer& b) { b.healthCheckEnded(now, p); });
        break;
      }
      default:
        break;  // streams and peers' messages: nothing here asks for them
    }
  }
  return out.finish();
}

namespace {
// Reads n bytes; gives how many came before the input ended.
std::size_t readAll(int fd, std::uint8_t* to, std::size_t n) {
  std::size_t got = 0;
  while (got < n) {
    const ssize_t k = ::read(fd, to + got, n - got);
    if (k < 0 && errno == EINTR) continue;
    if (k <= 0) break;
    got += static_cast<std::size_t>(k);
  }
  return got;
}
}  // namespace

int run(int in, int out) {
  Host host;
  std::vector<std::uint8_t> batch;
  std::uint64_t offset = 0;
  try {
    for (;;) {
      std::uint8_t head[4];
      const std::size_t got = readAll(in, head, sizeof head);
      if (got == 0) return 0;
      if (got < sizeof head) throw Malformed("input ends inside a frame's length", offset + got);
      std::uint32_t size = 0;
      std::memcpy(&size, head, sizeof size);
      if (size < 8 || size > kLongestFrame) throw Malformed("frame length " + std::to_string(size), offset);
      offset += sizeof head;
      batch.resize(size);
      const std::size_t have = readAll(in, batch.data(), size);
      if (have < size) throw Malformed("input ends inside a frame", offset + have);
      const std::vector<std::uint8_t> reply = host.handle(batch.data(), size, offset);
      offset += size;
      for (std::size_t at = 0; at < reply.size();) {
        const ssize_t k = ::write(out, reply.data() + at, reply.size() - at);
        if (k < 0 && errno == EINTR) continue;
        if (k <= 0) {
          std::fprintf(stderr, "sablespur_simulator_adapter: the reply could not be written\n");
          return 1;
        }
        at += static_cast<std::size_t>(k);
      }
    }
  } catch (const Malformed& e) {
    std::fprintf(stderr, "sablespur_simulator_adapter: %s\n", e.what());
    return 1;
  }
}

}  // namespace sablespur::simulator
