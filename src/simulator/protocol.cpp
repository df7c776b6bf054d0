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

// Codes of the records from the simulator.
constexpr std::uint8_t kAttemptEnded = 1, kEstablished = 2, kCreateInstance = 3, kDefineList = 5,
                       kHealthCheckEnded = 6, kRequest = 7, kClientDisconnected = 8, kTimerFired = 9,
                       kEndpointsListed = 10, kStopInstance = 11;
// Codes of the records to the simulator.
constexpr std::uint8_t kSend = 65, kReject = 66, kFail = 67, kCancel = 68, kScheduleTimer = 69,
                       kStartHealthCheck = 70, kInstanceFailed = 74, kSubscribe = 75;
constexpr std::size_t kListEntryBytes = 29, kMaxTextBytes = 60000;
constexpr std::uint32_t kMaxFrameBytes = 1u << 30;

// Reads the fields of a record; throws Malformed if the record ends too early.
class Reader {
 public:
  Reader(const std::uint8_t* data, std::size_t size, std::uint64_t offset)
      : data_(data), size_(size), offset_(offset) {}
  std::size_t remaining() const { return size_ - at_; }
  std::uint64_t offset() const { return offset_ + at_; }
  const std::uint8_t* skip(std::size_t n, const char* what) {
    if (remaining() < n) throw Malformed(std::string(what) + " is truncated", offset());
    const std::uint8_t* p = data_ + at_;
    at_ += n;
    return p;
  }
  // Little-endian, like this wire protocol and the supported machines.
  template <typename T>
  T get(const char* what) {
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

// Builds a reply: a header with the number of records and their size, then the records.
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
    const std::size_t n = std::min(s.size(), kMaxTextBytes);
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

std::vector<std::string> split(const std::string& s, char separator) {
  std::vector<std::string> parts;
  for (std::size_t from = 0; from <= s.size();) {
    const std::size_t to = std::min(s.find(separator, from), s.size());
    parts.push_back(s.substr(from, to - from));
    from = to + 1;
  }
  return parts;
}

// Parsed `key=value` lines with typed accessors, which throw BadSetting.
class SettingsText {
 public:
  explicit SettingsText(const std::string& text) {
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
  int count(const std::string& key, double minimum, double maximum) const {
    const double v = number(key);
    if (v < minimum || v > maximum || v != std::floor(v))
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

// `std::nullopt` for a code that this version does not know.
std::optional<AttemptResult> toResult(std::uint16_t code) {
  switch (code) {
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

Settings parseSettings(const std::string& text) {
  const SettingsText f(text);
  Settings s;
  const int n = f.count("classes.count", 1, 65535);
  const auto requirements = split(f.text("specifics.consistency"), ',');
  const auto bounds = split(f.text("specifics.classBoundUs"), ',');
  if (requirements.size() != static_cast<std::size_t>(n))
    throw BadSetting("setting specifics.consistency does not fit classes.count: '" +
                     f.text("specifics.consistency") + "'");
  if (bounds.size() != requirements.size())
    throw BadSetting("setting specifics.classBoundUs does not fit classes.count: '" +
                     f.text("specifics.classBoundUs") + "'");
  for (int k = 0; k < n; ++k) {
    const std::string p = "classes." + std::to_string(k) + ".";
    const auto at = static_cast<std::size_t>(k);
    ClassSettings c;
    c.requirement = SettingsText::toChoice<Requirement>("specifics.consistency", requirements[at],
                                                        {{"any", Requirement::Any},
                                                         {"bounded", Requirement::BoundedStaleness},
                                                         {"session", Requirement::Session},
                                                         {"fresh", Requirement::Strong},
                                                         {"write", Requirement::Write}});
    c.maxStaleness =
        Time(static_cast<std::int64_t>(SettingsText::toNumber("specifics.classBoundUs", bounds[at])));
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
  bool terminated = false;

  void send(RequestId id, EndpointId m, Time until) override {
    out->record(kSend, number);
    out->put(static_cast<std::uint32_t>(id));
    out->put(static_cast<std::uint64_t>(until.count()));
    out->node(m);
  }
  void reject(RequestId id, Time retryAfter) override {
    out->record(kReject, number);
    out->put(static_cast<std::uint32_t>(id));
    out->put(static_cast<std::uint32_t>(retryAfter.count()));
  }
  void fail(RequestId id) override {
    out->record(kFail, number);
    out->put(static_cast<std::uint32_t>(id));
  }
  void cancel(RequestId id, int attempt) override {
    out->record(kCancel, number);
    out->put(static_cast<std::uint32_t>(id));
    out->put(static_cast<std::uint8_t>(attempt));
  }
  void scheduleTimer(Time in, std::uint64_t token) override {
    out->record(kScheduleTimer, number);
    out->put(static_cast<std::uint32_t>(in.count()));
    out->put(token);
  }
  void startHealthCheck(EndpointId m) override {
    out->record(kStartHealthCheck, number);
    out->node(m);
  }
  void subscribe() override {
    out->record(kSubscribe, number);
    out->put(std::uint8_t{1});
  }
  void terminate(const std::string& why) {
    terminated = true;
    balancer.reset();
    out->record(kInstanceFailed, number);
    out->text(why);
  }
};

Host::Host() = default;
Host::~Host() = default;

std::vector<std::uint8_t> Host::handle(const std::uint8_t* batch, std::size_t size, std::uint64_t offset) {
  Writer out;
  Reader in(batch, size, offset);
  const Time now(static_cast<std::int64_t>(in.get<std::uint64_t>("clock")));
  while (in.remaining()) {
    const auto code = in.get<std::uint8_t>("record code");
    const auto length = in.get<std::uint32_t>("record length");
    const std::uint64_t recordOffset = in.offset();
    Reader r(in.skip(length, "record"), length, recordOffset);
    if (code == kDefineList) {
      const auto ref = r.get<std::uint32_t>("list number");
      const auto n = r.get<std::uint32_t>("list length");
      if (r.remaining() / kListEntryBytes < n) throw Malformed("list is truncated", r.offset());
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
    if (code < kAttemptEnded || code > kStopInstance) continue;  // a record of a later version
    const auto number = r.get<std::uint16_t>("instance");
    if (code == kCreateInstance) {
      const auto seed = r.get<std::uint64_t>("seed");
      const auto n = r.get<std::uint32_t>("settings length");
      const auto* text = reinterpret_cast<const char*>(r.skip(n, "settings"));
      auto created = std::make_unique<Instance>();
      created->number = number;
      created->out = &out;
      try {
        created->balancer = std::make_unique<Balancer>(parseSettings(std::string(text, n)), seed, *created);
      } catch (const std::exception& e) {
        created->terminate(e.what());
      }
      instances_[number] = std::move(created);
      continue;
    }
    const auto it = instances_.find(number);
    Instance* const inst = it == instances_.end() || it->second->terminated ? nullptr : it->second.get();
    if (inst) inst->out = &out;
    // An exception thrown by a Balancer terminates its instance only.
    const auto deliver = [&](auto&& event) {
      if (!inst) return;
      try {
        event(*inst->balancer);
      } catch (const std::exception& e) {
        inst->terminate(e.what());
      }
    };
    switch (code) {
      case kStopInstance:
        instances_.erase(number);
        break;
      case kEndpointsListed: {
        const auto kind = r.get<std::uint8_t>("list kind");
        r.get<std::uint64_t>("list version");
        const auto ref = r.get<std::uint32_t>("list number");
        if (kind > 3) break;
        static const std::vector<ListedEndpoint> none;
        const auto list = lists_.find(ref);
        if (kind != 3 && list == lists_.end()) throw Malformed("unknown list number", recordOffset);
        deliver([&](Balancer& b) {
          b.endpointsListed(now, static_cast<ListKind>(kind), kind == 3 ? none : list->second);
        });
        break;
      }
      case kRequest: {
        Request q;
        q.id = r.get<std::uint32_t>("request");
        r.get<std::uint8_t>("bits");
        r.get<std::uint32_t>("owner");
        q.session = r.get<std::uint64_t>("session");
        q.sessionTokenAgeMs = r.get<float>("token");
        q.deadline = Time(static_cast<std::int64_t>(r.get<std::uint64_t>("deadline")));
        const float group = r.get<float>("group");
        if (!(group >= 0 && group < 65536)) throw Malformed("group out of range", recordOffset);
        q.group = static_cast<GroupId>(group);
        q.classIndex = r.get<std::uint16_t>("class");
        r.get<std::uint32_t>("effort");
        deliver([&](Balancer& b) { b.request(now, q); });
        break;
      }
      case kAttemptEnded: {
        AttemptOutcome o;
        o.request = r.get<std::uint32_t>("request");
        o.attempt = r.get<std::uint8_t>("attempt");
        o.endpoint = r.node();
        const auto result = toResult(r.get<std::uint16_t>("outcome"));
        o.latency = Time(r.get<std::uint32_t>("latency"));
        o.clientAnswered = r.get<std::uint8_t>("closed") != 0;
        o.replicationStatus = r.get<std::uint32_t>("note");
        o.report = r.report();
        // A result of a later protocol version: the request may have run.
        o.result = result.value_or(AttemptResult::Error);
        deliver([&](Balancer& b) { b.attemptEnded(now, o); });
        break;
      }
      case kClientDisconnected: {
        const auto id = r.get<std::uint32_t>("request");
        deliver([&](Balancer& b) { b.clientDisconnected(now, id); });
        break;
      }
      case kTimerFired: {
        const auto token = r.get<std::uint64_t>("token");
        deliver([&](Balancer& b) { b.timerFired(now, token); });
        break;
      }
      case kHealthCheckEnded: {
        HealthCheckResult p;
        p.endpoint = r.node();
        p.latency = Time(r.get<std::uint32_t>("latency"));
        p.ok = r.get<std::uint16_t>("outcome") == 0;
        p.report = r.report();
        deliver([&](Balancer& b) { b.healthCheckEnded(now, p); });
        break;
      }
      default:
        break;  // streams and messages of peers are not used
    }
  }
  return out.finish();
}

namespace {
// Reads n bytes. Returns fewer only if the input ended or a read failed.
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
      if (size < 8 || size > kMaxFrameBytes)
        throw Malformed("invalid frame length " + std::to_string(size), offset);
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
