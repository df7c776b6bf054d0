#include "admission/request_queues.hpp"

#include <algorithm>

namespace sablespur::admission {
namespace {

constexpr Time kQuiet = std::chrono::seconds(60);

void add(RequestLimiter::Count& to, const RequestLimiter::Count& c) {
  to.out += c.out;
  to.waiting += c.waiting;
  to.went += c.went;
  to.waited += c.waited;
  for (std::size_t k = 0; k < kTurned; ++k) to.refused[k] += c.refused[k];
}

}  // namespace

RequestLimiterSettings RequestQueues::within(RequestLimiterSettings s) {
  for (ShareSettings& g : s.groups) g.mostOpen = 0;
  return s;
}

RequestQueues::RequestQueues(RequestLimiterSettings s, std::size_t mostLanes)
    : s_(std::move(s)), most_(mostLanes), open_(s_.groups.size()), before_(s_.groups.size()) {}

RequestQueues::Lane& RequestQueues::lane(Time now, QueueKey key) {
  auto it = lanes_.find(key);
  if (it == lanes_.end() && lanes_.size() >= most_) {
    key = kRest;
    it = lanes_.find(key);
  }
  if (it == lanes_.end())
    it = lanes_.emplace(key, std::make_unique<Lane>(Lane{key, RequestLimiter(within(s_)), now})).first;
  it->second->used = now;
  return *it->second;
}

void RequestQueues::close(RequestKey key) {
  const auto it = requests_.find(key);
  if (it == requests_.end()) return;
  --open_[it->second.group];
  requests_.erase(it);
}
void RequestQueues::settle(const std::vector<Answered>& all) {
  for (const Answered& a : all)
    if (a.turn == RequestDecision::Reject) close(a.key);
}

RequestLimiter::Asked RequestQueues::ask(Time now, RequestKey key, QueueKey at, std::size_t group,
                                         Time deadline) {
  group = std::min(group, open_.size() - 1);
  Lane& l = lane(now, at);
  const std::size_t most = s_.groups[group].mostOpen;
  if (most > 0 && open_[group] >= most) {
    RequestLimiter::Asked a;
    a.comeBack = l.requests.turnAway(group, RequestRejection::Share);
    return a;
  }
  const RequestLimiter::Asked a = l.requests.ask(now, key, group, deadline);
  if (a.turn != RequestDecision::Reject) {
    requests_.emplace(key, Open{&l, group});
    ++open_[group];
  }
  settle(a.others);
  return a;
}

std::vector<Answered> RequestQueues::ended(Time now, RequestKey key, Time latency, bool dropped) {
  const auto it = requests_.find(key);
  if (it == requests_.end()) return {};
  Lane& l = *it->second.lane;
  l.used = now;
  close(key);
  std::vector<Answered> all = l.requests.ended(now, key, latency, dropped);
  settle(all);
  return all;
}
std::vector<Answered> RequestQueues::left(Time now, RequestKey key) {
  const auto it = requests_.find(key);
  if (it == requests_.end()) return {};
  Lane& l = *it->second.lane;
  close(key);
  std::vector<Answered> all = l.requests.left(now, key);
  settle(all);
  return all;
}

std::vector<Answered> RequestQueues::overdue(Time now) {
  std::vector<Answered> all;
  for (auto it = lanes_.begin(); it != lanes_.end();) {
    Lane& l = *it->second;
    const std::vector<Answered> some = l.requests.overdue(now);
    all.insert(all.end(), some.begin(), some.end());
    if (l.requests.out() + l.requests.waiting() > 0 || now - l.used < kQuiet) {
      ++it;
      continue;
    }
    for (std::size_t k = 0; k < before_.size(); ++k) add(before_[k], l.requests.count(k));
    it = lanes_.erase(it);
  }
  settle(all);
  return all;
}

void RequestQueues::reload(RequestLimiterSettings s) {
  s.limit = s_.limit;
  s_ = std::move(s);
  const std::size_t last = s_.groups.size() - 1;
  std::vector<RequestLimiter::Count> before(s_.groups.size());
  for (std::size_t k = 0; k < before_.size(); ++k) add(before[std::min(k, last)], before_[k]);
  before_ = std::move(before);
  open_.assign(s_.groups.size(), 0);
  for (auto& [key, o] : requests_) ++open_[o.group = std::min(o.group, last)];
  for (auto& [key, l] : lanes_) l->requests.reload(within(s_));
}

RequestLimiter::Count RequestQueues::count(std::size_t group) const {
  RequestLimiter::Count c = before_[group];
  for (const auto& [key, l] : lanes_) add(c, l->requests.count(group));
  return c;
}
std::vector<RequestQueues::View> RequestQueues::view() const {
  std::vector<View> all;
  for (const auto& [key, l] : lanes_)
    all.push_back({key, l->requests.limit(), l->requests.out(), l->requests.waiting(), l->requests.usual()});
  std::sort(all.begin(), all.end(), [](const View& a, const View& b) { return a.lane < b.lane; });
  return all;
}

}  // namespace sablespur::admission
