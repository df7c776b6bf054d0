// Example of the Balancer interface: an endpoint list, a write and a bounded read with a failed
// attempt. Prints the decisions of the Balancer.
#include <cstdio>

#include "balancer/balancer.hpp"

using namespace sablespur::balancer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
struct Printer : ActionSink {
  int sends = 0, rejectedOrFailed = 0;
  EndpointId lastEndpoint = 0;
  void send(RequestId id, EndpointId m, Time) override {
    ++sends;
    lastEndpoint = m;
    std::printf("  send request %d to endpoint %d\n", static_cast<int>(id), static_cast<int>(m));
  }
  void reject(RequestId id, Time) override {
    ++rejectedOrFailed, std::printf("  reject %d\n", static_cast<int>(id));
  }
  void fail(RequestId id) override { ++rejectedOrFailed, std::printf("  fail %d\n", static_cast<int>(id)); }
  void cancel(RequestId id, int a) override { std::printf("  cancel %d/%d\n", static_cast<int>(id), a); }
  // A real program calls Balancer::timerFired when the timer is due.
  void scheduleTimer(Time, std::uint64_t) override {}
  // A real program requests a report from the server and calls Balancer::healthCheckEnded.
  void startHealthCheck(EndpointId) override {}
  void subscribe() override {}
};
}  // namespace

int main() {
  Settings s;
  s.classes.resize(2);
  s.classes[0].requirement = Requirement::BoundedStaleness;
  s.classes[0].maxStaleness = milliseconds(500);
  s.classes[0].latencyObjective = milliseconds(200);
  s.classes[0].deadline = seconds(1);
  s.classes[1].requirement = Requirement::Write;
  s.classes[1].idempotency = Idempotency::NonIdempotent;
  s.classes[1].latencyObjective = milliseconds(500);
  s.classes[1].deadline = seconds(3);
  // Servers reject reads for which their data are too old.
  s.laggingReplicaPolicy = LaggingReplicaPolicy::Reject;
  s.positionsInAnswers = true;
  s.maxAttempts = 4;
  Printer out;
  Balancer b(s, 1, out);
  Time now = seconds(100);

  std::printf("a list of two endpoints\n");
  ListedEndpoint one, two;
  one.id = 1;
  two.id = 2;
  b.endpointsListed(now, ListKind::Full, {one, two});

  std::printf("a write: no primary is known, so endpoints are tried by id\n");
  Request w;
  w.id = 10;
  w.classIndex = 1;
  w.deadline = now + seconds(3);
  b.request(now, w);
  AttemptOutcome o;
  o.request = 10;
  o.endpoint = 1;
  o.result = AttemptResult::TooStale;
  o.replicationStatus = 2;  // the role: replica
  b.attemptEnded(now += milliseconds(1), o);
  o.attempt = 1;
  o.endpoint = 2;
  o.result = AttemptResult::Ok;
  o.clientAnswered = true;
  o.replicationStatus = 4u * 100050 + 1;  // committed at 100.050 s, by the primary
  b.attemptEnded(now += milliseconds(49), o);

  std::printf("a bounded read: the attempt at the replica fails, the retry goes to the primary\n");
  Request r;
  r.id = 11;
  r.deadline = now + seconds(1);
  b.request(now, r);
  if (out.lastEndpoint != 1) return 1;
  o = AttemptOutcome();
  o.request = 11;
  o.endpoint = 1;
  o.result = AttemptResult::Reset;
  b.attemptEnded(now += milliseconds(5), o);
  if (out.lastEndpoint != 2) return 1;
  o.attempt = 1;
  o.endpoint = 2;
  o.result = AttemptResult::Ok;
  o.clientAnswered = true;
  b.attemptEnded(now += milliseconds(30), o);

  std::printf("%d sends, %d rejected or failed\n", out.sends, out.rejectedOrFailed);
  return out.sends == 4 && out.rejectedOrFailed == 0 ? 0 : 1;
}
