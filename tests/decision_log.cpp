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
// If set, the lines of each test are also written to a file in this folder, to compare them by
// hand.
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

void DecisionLog::add(int balancer, std::string_view event, std::initializer_list<std::int64_t> numbers) {
  std::string line = std::to_string(balancer);
  line += ' ';
  line += event;
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
    if (!wellFormed) throw std::runtime_error("line is not of the form NAME DIGEST: " + line);
    if (!digests.emplace(line.substr(0, space), line.substr(space + 1)).second)
      throw std::runtime_error("duplicate digest of " + line.substr(0, space));
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
  if (!recorded) return "the file has a digest for this test, which uses no Balancer";
  if (found == expected.end()) return "the file has no digest for this test; its digest is " + *recorded;
  if (*recorded == found->second) return "";
  return "the decisions have changed: digest " + *recorded + ", the file has " + found->second;
}

// The words that are recorded are part of the stored digests: they stay when a method is renamed.
class RecordingBalancer::RecordingSink final : public ActionSink {
 public:
  RecordingSink(int number, ActionSink& target) : number_(number), target_(target) {}
  void send(RequestId id, EndpointId endpoint, Time until) override {
    record("send", {asSigned(id), asSigned(endpoint), until.count()});
    target_.send(id, endpoint, until);
  }
  void reject(RequestId id, Time retryAfter) override {
    record("refuse", {asSigned(id), retryAfter.count()});
    target_.reject(id, retryAfter);
  }
  void fail(RequestId id) override {
    record("fail", {asSigned(id)});
    target_.fail(id);
  }
  void cancel(RequestId id, int attempt) override {
    record("cancel", {asSigned(id), attempt});
    target_.cancel(id, attempt);
  }
  void scheduleTimer(Time in, std::uint64_t token) override {
    record("set-timer", {in.count(), asSigned(token)});
    target_.scheduleTimer(in, token);
  }
  void startHealthCheck(EndpointId endpoint) override {
    record("probe", {asSigned(endpoint)});
    target_.startHealthCheck(endpoint);
  }
  void subscribe() override {
    record("subscribe", {});
    target_.subscribe();
  }

 private:
  static std::int64_t asSigned(std::uint64_t id) { return static_cast<std::int64_t>(id); }
  void record(std::string_view event, std::initializer_list<std::int64_t> numbers) const {
    DecisionLog::current().add(number_, event, numbers);
  }

  const int number_;
  ActionSink& target_;
};

namespace {
std::int64_t asSigned(std::uint64_t id) { return static_cast<std::int64_t>(id); }
}  // namespace

RecordingBalancer::RecordingBalancer(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : number_(DecisionLog::current().addBalancer(seed)),
      sink_(std::make_shared<RecordingSink>(number_, sink)),
      balancer_(settings, seed, *sink_) {}

void RecordingBalancer::record(std::string_view event, std::initializer_list<std::int64_t> numbers) const {
  DecisionLog::current().add(number_, event, numbers);
}

void RecordingBalancer::recordReport(const std::vector<float>& report) const {
  for (const float value : report) record("report-value", {thousandths(static_cast<double>(value))});
}

void RecordingBalancer::endpointsListed(Time now, ListKind kind,
                                        const std::vector<ListedEndpoint>& endpoints) {
  record("list", {now.count(), static_cast<int>(kind)});
  for (const ListedEndpoint& m : endpoints)
    record("member", {asSigned(m.id), m.group, m.zone, static_cast<int>(m.state), m.primary,
                      thousandths(m.weight), m.started.count(), m.suspended});
  balancer_.endpointsListed(now, kind, endpoints);
}

void RecordingBalancer::request(Time now, const Request& request) {
  record("request", {now.count(), asSigned(request.id), request.classIndex, request.group,
                     asSigned(request.session), thousandths(static_cast<double>(request.sessionTokenAgeMs)),
                     request.mayHaveRunSince.count(), request.deadline.count()});
  balancer_.request(now, request);
}

void RecordingBalancer::attemptEnded(Time now, const AttemptOutcome& outcome) {
  record("outcome", {now.count(), asSigned(outcome.request), outcome.attempt, asSigned(outcome.endpoint),
                     static_cast<int>(outcome.result), outcome.latency.count(), outcome.clientAnswered,
                     outcome.replicationStatus});
  recordReport(outcome.report);
  balancer_.attemptEnded(now, outcome);
}

void RecordingBalancer::clientDisconnected(Time now, RequestId id) {
  record("client-left", {now.count(), asSigned(id)});
  balancer_.clientDisconnected(now, id);
}

void RecordingBalancer::healthCheckEnded(Time now, const HealthCheckResult& result) {
  record("probed", {now.count(), asSigned(result.endpoint), result.ok, result.latency.count()});
  recordReport(result.report);
  balancer_.healthCheckEnded(now, result);
}

void RecordingBalancer::timerFired(Time now, std::uint64_t token) {
  record("timer", {now.count(), asSigned(token)});
  balancer_.timerFired(now, token);
}

void RecordingBalancer::gossipReceived(Time now, EndpointId endpoint, std::uint32_t status, int cls,
                                       Time latency) {
  record("heard", {now.count(), asSigned(endpoint), status, cls, latency.count()});
  balancer_.gossipReceived(now, endpoint, status, cls, latency);
}

bool RecordingBalancer::maySendNow(Time now, RequestId id, EndpointId endpoint) {
  const bool allowed = balancer_.maySendNow(now, id, endpoint);
  record("fit", {now.count(), asSigned(id), asSigned(endpoint), allowed});
  return allowed;
}

bool RecordingBalancer::isFreshEnough(Time now, const AttemptOutcome& outcome) {
  const bool fresh = balancer_.isFreshEnough(now, outcome);
  record("fresh",
         {now.count(), asSigned(outcome.request), outcome.attempt, outcome.replicationStatus, fresh});
  return fresh;
}

void RecordingBalancer::suspend(Time now, EndpointId endpoint, bool on) {
  record("suspend", {now.count(), asSigned(endpoint), on});
  balancer_.suspend(now, endpoint, on);
}

void RecordingBalancer::unseenCommitsPossible(Time now) {
  record("unseen_commits", {now.count()});
  balancer_.unseenCommitsPossible(now);
}

void RecordingBalancer::updateSettings(Time now, const Settings& settings) {
  record("settings", {now.count()});
  balancer_.updateSettings(now, settings);
}

std::vector<EndpointId> RecordingBalancer::removeExpiredEndpoints(Time now) {
  record("forget", {now.count()});
  std::vector<EndpointId> removed = balancer_.removeExpiredEndpoints(now);
  for (const EndpointId endpoint : removed) record("forgotten", {asSigned(endpoint)});
  return removed;
}

void RecordingBalancer::setPositionEpoch(Time epoch) {
  record("count-from", {epoch.count()});
  balancer_.setPositionEpoch(epoch);
}

}  // namespace sablespur::balancer::test
