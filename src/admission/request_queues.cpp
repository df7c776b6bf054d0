#include "admission/request_queues.hpp"

#include <algorithm>

namespace sablespur::admission {
namespace {

constexpr Time kQuiet = std::chrono::seconds(60);

void add(RequestLimiter::Counters& to, const RequestLimiter::Counters& c) {
  to.inFlight += c.inFlight;
  to.queued += c.queued;
  to.admitted += c.admitted;
  to.enqueued += c.enqueued;
  for (std::size_t k = 0; k < kRequestRejectionCount; ++k) to.rejected[k] += c.rejected[k];
}

}  // namespace

RequestLimiterSettings RequestQueues::within(RequestLimiterSettings s) {
  for (ShareSettings& g : s.groups) g.maxOpen = 0;
  return s;
}

RequestQueues::RequestQueues(RequestLimiterSettings s, std::size_t mostLanes)
    : s_(std::move(s)), most_(mostLanes), open_(s_.groups.size()), before_(s_.groups.size()) {}

RequestQueues::Queue& RequestQueues::queueFor(Time now, QueueKey key) {
  auto it = lanes_.find(key);
  if (it == lanes_.end() && lanes_.size() >= most_) {
    key = kSharedQueue;
    it = lanes_.find(key);
  }
  if (it == lanes_.end())
    it = lanes_.emplace(key, std::make_unique<Queue>(Queue{key, RequestLimiter(within(s_)), now})).first;
  it->second->used = now;
  return *it->second;
}

void RequestQueues::close(RequestKey key) {
  const auto it = requests_.find(key);
  if (it == requests_.end()) return;
  --open_[it->second.group];
  requests_.erase(it);
}
void RequestQueues::settle(const std::vector<ResolvedRequest>& all) {
  for (const ResolvedRequest& a : all)
    if (a.decision == RequestDecision::Reject) close(a.key);
}

RequestLimiter::SubmitResult RequestQueues::submit(Time now, RequestKey key, QueueKey at, std::size_t group,
                                                   Time deadline) {
  group = std::min(group, open_.size() - 1);
  Queue& l = queueFor(now, at);
  const std::size_t most = s_.groups[group].maxOpen;
  if (most > 0 && open_[group] >= most) {
    RequestLimiter::SubmitResult a;
    a.retryAfter = l.requests.reject(group, RequestRejection::Share);
    return a;
  }
  const RequestLimiter::SubmitResult a = l.requests.submit(now, key, group, deadline);
  if (a.decision != RequestDecision::Reject) {
    requests_.emplace(key, Open{&l, group});
    ++open_[group];
  }
  settle(a.resolved);
  return a;
}

std::vector<ResolvedRequest> RequestQueues::complete(Time now, RequestKey key, Time latency, bool dropped) {
  const auto it = requests_.find(key);
  if (it == requests_.end()) return {};
  Queue& l = *it->second.lane;
  l.used = now;
  close(key);
  std::vector<ResolvedRequest> all = l.requests.complete(now, key, latency, dropped);
  settle(all);
  return all;
}
std::vector<ResolvedRequest> RequestQueues::cancel(Time now, RequestKey key) {
  const auto it = requests_.find(key);
  if (it == requests_.end()) return {};
  Queue& l = *it->second.lane;
  close(key);
  std::vector<ResolvedRequest> all = l.requests.cancel(now, key);
  settle(all);
  return all;
}

std::vector<ResolvedRequest> RequestQueues::rejectOverdue(Time now) {
  std::vector<ResolvedRequest> all;
  for (auto it = lanes_.begin(); it != lanes_.end();) {
    Queue& l = *it->second;
    const std::vector<ResolvedRequest> some = l.requests.rejectOverdue(now);
    all.insert(all.end(), some.begin(), some.end());
    if (l.requests.inFlight() + l.requests.queued() > 0 || now - l.used < kQuiet) {
      ++it;
      continue;
    }
    for (std::size_t k = 0; k < before_.size(); ++k) add(before_[k], l.requests.counters(k));
    it = lanes_.erase(it);
  }
  settle(all);
  return all;
}

void RequestQueues::reload(RequestLimiterSettings s) {
  s.limit = s_.limit;
  s_ = std::move(s);
  const std::size_t last = s_.groups.size() - 1;
  std::vector<RequestLimiter::Counters> before(s_.groups.size());
  for (std::size_t k = 0; k < before_.size(); ++k) add(before[std::min(k, last)], before_[k]);
  before_ = std::move(before);
  open_.assign(s_.groups.size(), 0);
  for (auto& [key, o] : requests_) ++open_[o.group = std::min(o.group, last)];
  for (auto& [key, l] : lanes_) l->requests.reload(within(s_));
}

RequestLimiter::Counters RequestQueues::counters(std::size_t group) const {
  RequestLimiter::Counters c = before_[group];
  for (const auto& [key, l] : lanes_) add(c, l->requests.counters(group));
  return c;
}
std::vector<RequestQueues::QueueView> RequestQueues::view() const {
  std::vector<QueueView> all;
  for (const auto& [key, l] : lanes_)
    all.push_back({key, l->requests.limit(), l->requests.inFlight(), l->requests.queued(),
                   l->requests.typicalLatency()});
  std::sort(all.begin(), all.end(), [](const QueueView& a, const QueueView& b) { return a.key < b.key; });
  return all;
}

}  // namespace sablespur::admission
