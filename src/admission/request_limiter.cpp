#include "admission/request_limiter.hpp"

#include <algorithm>
#include <stdexcept>

#include "admission/weighted_share.hpp"

namespace sablespur::admission {
namespace {

// Lower bound of the latency in the retry delay, for when few or no latencies have been measured.
constexpr Time kMinLatencyEstimate = std::chrono::milliseconds(1);

}  // namespace

const char* requestRejectionName(RequestRejection reason) {
  static const char* const names[] = {"share", "late", "queue"};
  return names[static_cast<std::size_t>(reason)];
}

RequestLimiter::RequestLimiter(RequestLimiterSettings settings)
    : settings_(std::move(settings)), limit_(settings_.limit) {
  if (settings_.groups.empty()) throw std::invalid_argument("request limiter requires at least one group");
  for (const ShareSettings& share : settings_.groups) groups_.push_back({share, 0, {}, {}});
}

// Returns the estimated time to serve the queued requests and those rejected before, so that
// clients that are rejected together retry one after another.
Time RequestLimiter::nextRetryAfter() {
  const Time latency = std::max(limit_.typicalLatency(), kMinLatencyEstimate);
  const auto roundsAhead = static_cast<double>(queued_ + rejectedInARow_) /
                           static_cast<double>(std::max<std::size_t>(limit_.value(), 1));
  ++rejectedInARow_;
  const Time wait = settings_.minRetryAfter +
                    Time(static_cast<std::int64_t>(roundsAhead * static_cast<double>(latency.count())));
  if (wait <= settings_.maxRetryAfter) return wait;
  rejectedInARow_ = 0;
  return settings_.maxRetryAfter;
}

Time RequestLimiter::reject(std::size_t group, RequestRejection reason) {
  ++groups_[group].counters.rejected[static_cast<std::size_t>(reason)];
  return nextRetryAfter();
}

ResolvedRequest RequestLimiter::rejectQueued(RequestKey key, RequestRejection reason) {
  const auto it = requests_.find(key);
  const std::size_t group = it->second.group;
  requests_.erase(it);
  return {key, RequestDecision::Reject, reject(group, reason)};
}

RequestLimiter::Counters RequestLimiter::counters(std::size_t group) const {
  Counters counters = groups_[group].counters;
  counters.inFlight = groups_[group].inFlight;
  counters.queued = groups_[group].queue.size();
  return counters;
}

void RequestLimiter::reload(RequestLimiterSettings settings) {
  if (settings.groups.empty()) throw std::invalid_argument("request limiter requires at least one group");
  // The requests of a removed group move to the last group, which accounts for their completion.
  while (groups_.size() > settings.groups.size()) {
    const Group removed = std::move(groups_.back());
    groups_.pop_back();
    Group& last = groups_.back();
    last.inFlight += removed.inFlight;
    last.queue.insert(last.queue.end(), removed.queue.begin(), removed.queue.end());
    for (auto& [key, request] : requests_) request.group = std::min(request.group, groups_.size() - 1);
  }
  groups_.resize(settings.groups.size());
  for (std::size_t k = 0; k < groups_.size(); ++k) groups_[k].settings = settings.groups[k];
  lastAdmittedGroup_ = 0;
  settings.limit = settings_.limit;
  settings_ = std::move(settings);
}

void RequestLimiter::admit(RequestKey key, std::size_t group) {
  requests_[key] = {group, true};
  ++groups_[group].inFlight;
  ++groups_[group].counters.admitted;
  ++inFlight_;
  lastAdmittedGroup_ = group;
}

void RequestLimiter::enqueue(RequestKey key, std::size_t group, Time deadline) {
  requests_[key] = {group, false};
  groups_[group].queue.push_back({key, deadline});
  ++groups_[group].counters.enqueued;
  ++queued_;
}

void RequestLimiter::rejectLate(Time now, std::vector<ResolvedRequest>& resolved) {
  for (Group& group : groups_) {
    auto it = group.queue.begin();
    while (it != group.queue.end()) {
      if (it->deadline - now > limit_.latencyUpperBound()) {
        ++it;
        continue;
      }
      --queued_;
      const RequestKey key = it->key;
      it = group.queue.erase(it);
      resolved.push_back(rejectQueued(key, RequestRejection::TooLate));
    }
  }
}

RequestLimiter::Group* RequestLimiter::nextGroupToAdmit() {
  Group* next = nullptr;
  const auto shareAfter = [](const Group& group) {
    return weightedShare(group.inFlight + 1, group.settings.weight);
  };
  for (std::size_t k = 1; k <= groups_.size(); ++k) {
    Group& group = groups_[(lastAdmittedGroup_ + k) % groups_.size()];
    if (group.queue.empty()) continue;
    if (!next || shareAfter(group) < shareAfter(*next)) next = &group;
  }
  return next;
}

void RequestLimiter::admitQueued(std::vector<ResolvedRequest>& resolved) {
  while (queued_ > 0 && inFlight_ < limit_.value()) {
    Group* const next = nextGroupToAdmit();
    const RequestKey key = next->queue.front().key;
    next->queue.pop_front();
    --queued_;
    admit(key, static_cast<std::size_t>(next - groups_.data()));
    resolved.push_back({key, RequestDecision::Admit, Time(0)});
  }
  if (queued_ == 0) rejectedInARow_ = 0;
}

// Returns the group with the largest weighted share of the queue, counting the new request of
// `submitter` as queued.
RequestLimiter::Group& RequestLimiter::groupWithLongestQueue(const Group& submitter) {
  const auto share = [&](const Group& group) {
    return weightedShare(group.queue.size() + (&group == &submitter ? 1 : 0), group.settings.weight);
  };
  std::size_t longest = static_cast<std::size_t>(&submitter - groups_.data());
  for (std::size_t k = 0; k < groups_.size(); ++k) {
    const Group& group = groups_[k];
    if (&group != &submitter && !group.queue.empty() && share(group) > share(groups_[longest])) longest = k;
  }
  return groups_[longest];
}

bool RequestLimiter::makeRoomInQueue(Time now, const Group& submitter,
                                     std::vector<ResolvedRequest>& resolved) {
  if (queued_ >= settings_.maxQueued) rejectLate(now, resolved);
  if (queued_ < settings_.maxQueued) return true;
  Group& longest = groupWithLongestQueue(submitter);
  if (&longest == &submitter) return false;
  const RequestKey displaced = longest.queue.back().key;  // the newest, which has waited least
  longest.queue.pop_back();
  --queued_;
  resolved.push_back(rejectQueued(displaced, RequestRejection::QueueFull));
  return true;
}

RequestLimiter::SubmitResult RequestLimiter::submit(Time now, RequestKey key, std::size_t group,
                                                    Time deadline) {
  SubmitResult result;
  group = std::min(group, groups_.size() - 1);
  const Group& own = groups_[group];
  const auto rejected = [&](RequestRejection reason) {
    result.retryAfter = reject(group, reason);
    return result;
  };
  if (own.settings.maxOpen > 0 && own.inFlight + own.queue.size() >= own.settings.maxOpen)
    return rejected(RequestRejection::GroupLimit);
  if (queued_ == 0 && inFlight_ < limit_.value()) {
    admit(key, group);
    result.decision = RequestDecision::Admit;
    return result;
  }
  if (deadline - now <= limit_.latencyUpperBound()) return rejected(RequestRejection::TooLate);
  if (!makeRoomInQueue(now, own, result.resolved)) return rejected(RequestRejection::QueueFull);
  enqueue(key, group, deadline);
  result.decision = RequestDecision::Queue;
  // makeRoomInQueue may have rejected every queued request, so the concurrency limit may have
  // capacity now.
  std::vector<ResolvedRequest> admitted;
  admitQueued(admitted);
  for (const ResolvedRequest& request : admitted) {
    if (request.key == key)
      result.decision = RequestDecision::Admit;
    else
      result.resolved.push_back(request);
  }
  return result;
}

std::vector<ResolvedRequest> RequestLimiter::complete(Time now, RequestKey key, Time latency, bool dropped) {
  std::vector<ResolvedRequest> resolved;
  const auto it = requests_.find(key);
  if (it == requests_.end() || !it->second.inFlight) return resolved;
  limit_.recordCompletion(now, latency, inFlight_, dropped);
  --groups_[it->second.group].inFlight;
  --inFlight_;
  requests_.erase(it);
  rejectLate(now, resolved);
  admitQueued(resolved);
  return resolved;
}

void RequestLimiter::removeFromQueue(Group& group, RequestKey key) {
  const auto it = std::find_if(group.queue.begin(), group.queue.end(),
                               [&](const QueuedRequest& request) { return request.key == key; });
  group.queue.erase(it);
  --queued_;
}

std::vector<ResolvedRequest> RequestLimiter::cancel(Time now, RequestKey key) {
  std::vector<ResolvedRequest> resolved;
  const auto it = requests_.find(key);
  if (it == requests_.end()) return resolved;
  Group& group = groups_[it->second.group];
  if (it->second.inFlight) {
    --group.inFlight;
    --inFlight_;
  } else {
    removeFromQueue(group, key);
  }
  requests_.erase(it);
  rejectLate(now, resolved);
  admitQueued(resolved);
  return resolved;
}

std::vector<ResolvedRequest> RequestLimiter::rejectOverdue(Time now) {
  std::vector<ResolvedRequest> resolved;
  rejectLate(now, resolved);
  return resolved;
}

}  // namespace sablespur::admission
