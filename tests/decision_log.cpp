#include "decision_log.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace sablespur::balancer::test {
namespace {

constexpr std::size_t kDigestDigits = 16;
// A folder: the lines of each test are written there, for a look at what has changed.
constexpr const char* kTextFolderVariable = "DECISION_LOG_FOLDER";

std::int64_t thousandths(double value) { return std::llround(value * 1000); }

std::string fileNameOf(std::string testName) {
  for (char& c : testName)
    if (c == '/') c = '-';
  return testName + ".txt";
}

}  // namespace

struct DecisionLog::State {
  XXH3_state_t hash;
  int balancers = 0;
  std::ofstream text;
};

DecisionLog::DecisionLog() : state_(std::make_unique<State>()) { XXH3_64bits_reset(&state_->hash); }
DecisionLog::~DecisionLog() = default;

DecisionLog& DecisionLog::current() {
  static DecisionLog log;
  return log;
}

void DecisionLog::begin(const std::string& testName) {
  state_ = std::make_unique<State>();
  XXH3_64bits_reset(&state_->hash);
  const char* const folder = std::getenv(kTextFolderVariable);
  if (folder) state_->text.open(std::string(folder) + "/" + fileNameOf(testName));
}

int DecisionLog::addBalancer(std::uint64_t seed) {
  const int number = state_->balancers++;
  add(number, "balancer", {static_cast<std::int64_t>(seed)});
  return number;
}

void DecisionLog::add(int balancer, std::string_view word, std::initializer_list<std::int64_t> numbers) {
  std::string line = std::to_string(balancer);
  line += ' ';
  line += word;
  for (const std::int64_t n : numbers) {
    char digits[24];
    const auto written = std::to_chars(digits, digits + sizeof digits, n);
    line += ' ';
    line.append(digits, written.ptr);
  }
  line += '\n';
  XXH3_64bits_update(&state_->hash, line.data(), line.size());
  if (state_->text.is_open()) state_->text << line;
}

std::optional<std::string> DecisionLog::digest() const {
  if (state_->balancers == 0) return std::nullopt;
  char digits[kDigestDigits + 1];
  std::snprintf(digits, sizeof digits, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits_digest(&state_->hash)));
  return digits;
}

DecisionDigests parseDecisionDigests(const std::string& text) {
  DecisionDigests digests;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t space = line.find(' ');
    const bool wellFormed = space != std::string::npos && space > 0 &&
                            line.size() == space + 1 + kDigestDigits &&
                            line.find_first_not_of("0123456789abcdef", space + 1) == std::string::npos;
    if (!wellFormed) throw std::runtime_error("no line of the form NAME DIGEST: " + line);
    if (!digests.emplace(line.substr(0, space), line.substr(space + 1)).second)
      throw std::runtime_error("a second digest of " + line.substr(0, space));
  }
  return digests;
}

std::string formatDecisionDigests(const DecisionDigests& digests) {
  std::string text;
  for (const auto& [name, digest] : digests) text += name + " " + digest + "\n";
  return text;
}

std::string compareDecisionDigest(const DecisionDigests& expected, const std::string& testName,
                                  const std::optional<std::string>& recorded) {
  const auto found = expected.find(testName);
  if (!recorded && found == expected.end()) return "";
  if (!recorded) return "the file has a digest of this test, which makes no decisions";
  if (found == expected.end()) return "the file has no digest of this test; it is " + *recorded;
  if (*recorded == found->second) return "";
  return "its decisions have changed: digest " + *recorded + ", the file has " + found->second;
}

class RecordingBalancer::RecordingSink final : public ActionSink {
 public:
  RecordingSink(int number, ActionSink& to) : number_(number), to_(to) {}
  void send(RequestId id, EndpointId member, Time until) override {
    record("send", {as(id), as(member), until.count()});
    to_.send(id, member, until);
  }
  void reject(RequestId id, Time retryAfter) override {
    record("refuse", {as(id), retryAfter.count()});
    to_.reject(id, retryAfter);
  }
  void fail(RequestId id) override {
    record("fail", {as(id)});
    to_.fail(id);
  }
  void cancel(RequestId id, int attempt) override {
    record("cancel", {as(id), attempt});
    to_.cancel(id, attempt);
  }
  void scheduleTimer(Time in, std::uint64_t token) override {
    record("set-timer", {in.count(), as(token)});
    to_.scheduleTimer(in, token);
  }
  void startHealthCheck(EndpointId member) override {
    record("probe", {as(member)});
    to_.startHealthCheck(member);
  }
  void subscribe() override {
    record("subscribe", {});
    to_.subscribe();
  }

 private:
  static std::int64_t as(std::uint64_t id) { return static_cast<std::int64_t>(id); }
  void record(std::string_view word, std::initializer_list<std::int64_t> numbers) const {
    DecisionLog::current().add(number_, word, numbers);
  }

  const int number_;
  ActionSink& to_;
};

namespace {
std::int64_t as(std::uint64_t id) { return static_cast<std::int64_t>(id); }
}  // namespace

RecordingBalancer::RecordingBalancer(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : number_(DecisionLog::current().addBalancer(seed)),
      sink_(std::make_shared<RecordingSink>(number_, sink)),
      balancer_(settings, seed, *sink_) {}

void RecordingBalancer::record(std::string_view word, std::initializer_list<std::int64_t> numbers) const {
  DecisionLog::current().add(number_, word, numbers);
}

void RecordingBalancer::recordReport(const std::vector<float>& report) const {
  for (const float value : report) record("report-value", {thousandths(static_cast<double>(value))});
}

void RecordingBalancer::list(Time now, ListKind kind, const std::vector<ListedEndpoint>& members) {
  record("list", {now.count(), static_cast<int>(kind)});
  for (const ListedEndpoint& m : members)
    record("member", {as(m.id), m.group, m.zone, static_cast<int>(m.state), m.primary, thousandths(m.weight),
                      m.started.count(), m.suspended});
  balancer_.endpointsListed(now, kind, members);
}

void RecordingBalancer::request(Time now, const Request& request) {
  record("request", {now.count(), as(request.id), request.classIndex, request.group, as(request.session),
                     thousandths(static_cast<double>(request.sessionTokenAgeMs)),
                     request.mayHaveRunSince.count(), request.deadline.count()});
  balancer_.request(now, request);
}

void RecordingBalancer::outcome(Time now, const AttemptOutcome& outcome) {
  record("outcome", {now.count(), as(outcome.request), outcome.attempt, as(outcome.endpoint),
                     static_cast<int>(outcome.result), outcome.latency.count(), outcome.clientAnswered,
                     outcome.replicationStatus});
  recordReport(outcome.report);
  balancer_.attemptEnded(now, outcome);
}

void RecordingBalancer::clientLeft(Time now, RequestId id) {
  record("client-left", {now.count(), as(id)});
  balancer_.clientDisconnected(now, id);
}

void RecordingBalancer::probed(Time now, const HealthCheckResult& probe) {
  record("probed", {now.count(), as(probe.endpoint), probe.ok, probe.latency.count()});
  recordReport(probe.report);
  balancer_.healthCheckEnded(now, probe);
}

void RecordingBalancer::timer(Time now, std::uint64_t token) {
  record("timer", {now.count(), as(token)});
  balancer_.timerFired(now, token);
}

void RecordingBalancer::heard(Time now, EndpointId member, std::uint32_t note, int cls, Time latency) {
  record("heard", {now.count(), as(member), note, cls, latency.count()});
  balancer_.gossipReceived(now, member, note, cls, latency);
}

bool RecordingBalancer::fit(Time now, RequestId id, EndpointId member) {
  const bool mayGo = balancer_.maySendNow(now, id, member);
  record("fit", {now.count(), as(id), as(member), mayGo});
  return mayGo;
}

bool RecordingBalancer::fresh(Time now, const AttemptOutcome& outcome) {
  const bool mayBeDelivered = balancer_.isFreshEnough(now, outcome);
  record("fresh",
         {now.count(), as(outcome.request), outcome.attempt, outcome.replicationStatus, mayBeDelivered});
  return mayBeDelivered;
}

void RecordingBalancer::suspend(Time now, EndpointId member, bool on) {
  record("suspend", {now.count(), as(member), on});
  balancer_.suspend(now, member, on);
}

void RecordingBalancer::settle(Time now, const Settings& settings) {
  record("settings", {now.count()});
  balancer_.updateSettings(now, settings);
}

std::vector<EndpointId> RecordingBalancer::forget(Time now) {
  record("forget", {now.count()});
  std::vector<EndpointId> forgotten = balancer_.removeExpiredEndpoints(now);
  for (const EndpointId member : forgotten) record("forgotten", {as(member)});
  return forgotten;
}

void RecordingBalancer::countFrom(Time zero) {
  record("count-from", {zero.count()});
  balancer_.setPositionEpoch(zero);
}

}  // namespace sablespur::balancer::test
