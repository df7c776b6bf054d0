#include "durability/rules.hpp"

#include <algorithm>

namespace sablespur::durability {
namespace {

// Bound the size of a record however often its request is retried.
constexpr std::size_t kMaxAttemptsPerKey = 8, kMaxRequestIdsPerKey = 8;

// Adds the id unless it is present. Returns true if the oldest id was removed to make room.
bool appendBounded(std::vector<std::string>& ids, const std::string& id) {
  if (std::find(ids.begin(), ids.end(), id) != ids.end()) return false;
  const bool full = ids.size() >= kMaxRequestIdsPerKey;
  if (full) ids.erase(ids.begin());
  ids.push_back(id);
  return full;
}
void eraseId(std::vector<std::string>& ids, const std::string& id) {
  ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

}  // namespace

const char* name(Disposition disposition) {
  constexpr const char* kNames[] = {"run", "again", "recorded", "unknown"};
  return kNames[static_cast<int>(disposition)];
}

KeyDecision decide(const KeyRecord* r, const KeyedRequest& a, Time now, Time gapAt) {
  if (!r) return {Disposition::Execute, {}};
  if (r->outcome == Outcome::Served)
    return {r->hasResponse && r->group == a.group ? Disposition::Replay : Disposition::OutcomeUnknown, {}};
  if (!r->mayHaveHadEffect()) return {Disposition::Execute, {}};
  // Data servers of another group cannot recognize the repeat. The age of an intent from before the
  // clock gap is unknown.
  if (r->group != a.group || r->intentAt < gapAt) return {Disposition::OutcomeUnknown, {}};
  const Time since = now - r->intentAt;
  // The shorter window applies: otherwise a settings reload that lengthens the window would make an
  // expired key eligible for a retry.
  if (since >= std::min(r->deduplicationWindow, a.deduplicationWindow))
    return {Disposition::OutcomeUnknown, {}};
  return {Disposition::Retry, since};
}

KeyRecord beginRequest(const std::optional<KeyRecord>& previous, const KeyedRequest& a,
                       const KeyDecision& decision, Time now, Time retention, std::uint64_t epoch,
                       std::int64_t wallMs) {
  KeyRecord r;
  if (previous && decision.disposition != Disposition::Execute) r = *previous;
  if (decision.disposition == Disposition::Execute) {
    r.intentAt = now;
    r.deduplicationWindow = a.deduplicationWindow;
    r.group = a.group;
    r.className = a.className;
    r.wallMs = wallMs;
  }
  r.epoch = epoch;
  r.expiresAt = now + retention;
  if (decision.disposition == Disposition::Execute || decision.disposition == Disposition::Retry)
    r.outcome = Outcome::Pending;
  // The removed request is no longer tracked, so it counts as one that may have been executed.
  if (appendBounded(r.pendingIds, a.id)) r.mayHaveExecuted = true;
  return r;
}

void recordAttemptSent(KeyRecord& r, Attempt a) {
  // The attempt is already recorded if a commit was durable although it failed, and was applied
  // again.
  const bool known = std::any_of(r.attempts.begin(), r.attempts.end(), [&](const Attempt& other) {
    return other.id == a.id && other.number == a.number;
  });
  if (known) return;
  if (r.attempts.size() >= kMaxAttemptsPerKey) {
    r.mayHaveExecuted = r.mayHaveExecuted || r.attempts.front().effect != AttemptEffect::NotExecuted;
    r.attempts.erase(r.attempts.begin());
  }
  r.attempts.push_back(std::move(a));
}
void recordAttemptEnd(KeyRecord& r, const std::string& id, int attempt, AttemptEffect end) {
  for (Attempt& a : r.attempts)
    if (a.id == id && a.number == attempt) a.effect = end;
}
// Served is final. Any other outcome applies only if no other request of the key is pending, since
// it says nothing about that request's attempts in flight.
void recordOutcome(KeyRecord& r, const std::string& id, Outcome o, Time now, Time retention) {
  const bool others =
      std::any_of(r.pendingIds.begin(), r.pendingIds.end(), [&](const std::string& x) { return x != id; });
  if (r.outcome != Outcome::Served && (o == Outcome::Served || !others)) r.outcome = o;
  r.expiresAt = std::max(r.expiresAt, now + retention);
}
void recordResponseDelivered(KeyRecord& r, const std::string& id) {
  eraseId(r.pendingIds, id);
  appendBounded(r.answeredIds, id);
}

// No further attempt of the request will be sent. If no request of the key is left, the outcome is
// Failed, and the recorded attempts decide whether the write may be executed again.
void abandonRequest(KeyRecord& r, const std::string& id) {
  eraseId(r.pendingIds, id);
  if (r.outcome == Outcome::Pending && r.pendingIds.empty()) r.outcome = Outcome::Failed;
}

}  // namespace sablespur::durability
