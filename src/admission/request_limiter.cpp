#include "admission/request_limiter.hpp"

#include <algorithm>
#include <stdexcept>

namespace sablespur::admission {

RequestLimiter::RequestLimiter(RequestLimiterSettings s) : s_(std::move(s)), limit_(s_.limit) {
  if (s_.groups.empty()) throw std::invalid_argument("requests without a group");
  for (const ShareSettings& g : s_.groups) groups_.push_back({g, 0, {}, {}});
}

// What a group has of the whole by its weight; the smallest is served next.
double RequestLimiter::share(const Group& g, std::size_t extra) const {
  return static_cast<double>(g.out + extra) / std::max(g.settings.weight, 1e-9);
}

// Spread: as many as wait and are out need so long; those refused come back one after another, not together.
Time RequestLimiter::comeBack() {
  const Time each = std::max(limit_.typicalLatency(), Time(1000));
  const auto ahead = static_cast<double>(waiting_ + refused_++) /
                     static_cast<double>(std::max<std::size_t>(limit_.value(), 1));
  const Time t =
      s_.minRetryAfter + Time(static_cast<std::int64_t>(ahead * static_cast<double>(each.count())));
  if (t <= s_.maxRetryAfter) return t;
  refused_ = 0;
  return s_.maxRetryAfter;
}
ResolvedRequest RequestLimiter::refuse(RequestKey key, RequestRejection why) {
  const auto it = open_.find(key);
  ++groups_[it->second.group].count.rejected[static_cast<std::size_t>(why)];
  open_.erase(it);
  return {key, RequestDecision::Reject, comeBack()};
}

const char* requestRejectionName(RequestRejection t) {
  static const char* const names[] = {"share", "late", "queue"};
  return names[static_cast<std::size_t>(t)];
}
RequestLimiter::Counters RequestLimiter::counters(std::size_t group) const {
  Counters c = groups_[group].count;
  c.inFlight = groups_[group].out;
  c.queued = groups_[group].waiting.size();
  return c;
}
void RequestLimiter::reload(RequestLimiterSettings s) {
  if (s.groups.empty()) throw std::invalid_argument("requests without a group");
  // Groups that are no more go on in the last one: what they have out still ends here.
  while (groups_.size() > s.groups.size()) {
    Group gone = std::move(groups_.back());
    groups_.pop_back();
    Group& last = groups_.back();
    last.out += gone.out;
    for (const Waiting& w : gone.waiting) last.waiting.push_back(w);
    for (auto& [key, o] : open_) o.group = std::min(o.group, groups_.size() - 1);
  }
  groups_.resize(s.groups.size());
  for (std::size_t k = 0; k < groups_.size(); ++k) groups_[k].settings = s.groups[k];
  last_ = 0;
  s.limit = s_.limit;
  s_ = std::move(s);
}

void RequestLimiter::go(RequestKey key, std::size_t group) {
  open_[key] = {group, true};
  ++groups_[group].out;
  ++groups_[group].count.admitted;
  ++out_;
  last_ = group;
}

void RequestLimiter::drop(Time now, std::vector<ResolvedRequest>& all) {
  for (Group& g : groups_)
    for (auto it = g.waiting.begin(); it != g.waiting.end();) {
      if (it->deadline - now > limit_.latencyUpperBound()) {
        ++it;
        continue;
      }
      --waiting_;
      const RequestKey key = it->key;
      it = g.waiting.erase(it);
      all.push_back(refuse(key, RequestRejection::Late));
    }
}

void RequestLimiter::take(std::vector<ResolvedRequest>& all) {
  while (waiting_ > 0 && out_ < limit_.value()) {
    Group* next = nullptr;
    for (std::size_t k = 1; k <= groups_.size(); ++k) {
      Group& g = groups_[(last_ + k) % groups_.size()];
      if (!g.waiting.empty() && (!next || share(g, 1) < share(*next, 1))) next = &g;
    }
    const RequestKey key = next->waiting.front().key;
    next->waiting.pop_front();
    --waiting_;
    go(key, static_cast<std::size_t>(next - groups_.data()));
    all.push_back({key, RequestDecision::Admit, Time(0)});
  }
  if (waiting_ == 0) refused_ = 0;
}

RequestLimiter::SubmitResult RequestLimiter::submit(Time now, RequestKey key, std::size_t group,
                                                    Time deadline) {
  SubmitResult a;
  group = std::min(group, groups_.size() - 1);
  Group& g = groups_[group];
  const auto turnedAway = [&](RequestRejection why) {
    a.retryAfter = reject(group, why);
    return a;
  };
  if (g.settings.maxOpen > 0 && g.out + g.waiting.size() >= g.settings.maxOpen)
    return turnedAway(RequestRejection::Share);
  if (waiting_ == 0 && out_ < limit_.value()) {
    go(key, group);
    a.decision = RequestDecision::Admit;
    return a;
  }
  if (deadline - now <= limit_.latencyUpperBound())
    return turnedAway(RequestRejection::Late);  // it could not be on time
  if (waiting_ >= s_.maxQueued) drop(now, a.resolved);
  if (waiting_ >= s_.maxQueued) {
    // Whoever has most waiting by weight gives way, with its newest: it has waited least.
    Group* widest = &g;
    const auto width = [](const Group& x, std::size_t extra) {
      return static_cast<double>(x.waiting.size() + extra) / std::max(x.settings.weight, 1e-9);
    };
    for (Group& x : groups_)
      if (!x.waiting.empty() && width(x, 0) > width(*widest, widest == &g ? 1 : 0)) widest = &x;
    if (widest == &g) return turnedAway(RequestRejection::Queue);
    const RequestKey gives = widest->waiting.back().key;
    widest->waiting.pop_back();
    --waiting_;
    a.resolved.push_back(refuse(gives, RequestRejection::Queue));
  }
  g.waiting.push_back({key, deadline});
  open_[key] = {group, false};
  ++waiting_;
  ++g.count.enqueued;
  a.decision = RequestDecision::Queue;
  // A slot may be free: what stood before it has just been dropped.
  std::vector<ResolvedRequest> went;
  take(went);
  for (const ResolvedRequest& w : went) {
    if (w.key == key)
      a.decision = RequestDecision::Admit;
    else
      a.resolved.push_back(w);
  }
  return a;
}

std::vector<ResolvedRequest> RequestLimiter::complete(Time now, RequestKey key, Time latency, bool dropped) {
  std::vector<ResolvedRequest> all;
  const auto it = open_.find(key);
  if (it == open_.end() || !it->second.out) return all;
  limit_.recordCompletion(now, latency, out_, dropped);
  --groups_[it->second.group].out;
  --out_;
  open_.erase(it);
  drop(now, all);
  take(all);
  return all;
}

std::vector<ResolvedRequest> RequestLimiter::cancel(Time now, RequestKey key) {
  std::vector<ResolvedRequest> all;
  const auto it = open_.find(key);
  if (it == open_.end()) return all;
  Group& g = groups_[it->second.group];
  if (it->second.out) {
    --g.out;
    --out_;
  } else {
    const auto at =
        std::find_if(g.waiting.begin(), g.waiting.end(), [&](const Waiting& w) { return w.key == key; });
    g.waiting.erase(at);
    --waiting_;
  }
  open_.erase(it);
  drop(now, all);
  take(all);
  return all;
}

std::vector<ResolvedRequest> RequestLimiter::rejectOverdue(Time now) {
  std::vector<ResolvedRequest> all;
  drop(now, all);
  return all;
}

}  // namespace sablespur::admission
