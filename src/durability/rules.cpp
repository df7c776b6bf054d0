#include "durability/rules.hpp"

#include <algorithm>

namespace sablespur::durability {
namespace {

// Guards against a record that grows with its tries.
constexpr std::size_t kMaxAttemptsPerKey = 8, kMaxRequestIdsPerKey = 8;

// True: the oldest had to go.
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

const char* name(Disposition v) {
  constexpr const char* kNames[] = {"run", "again", "recorded", "unknown"};
  return kNames[static_cast<int>(v)];
}

KeyDecision decide(const KeyRecord* r, const KeyedRequest& a, Time now, Time gapAt) {
  if (!r) return {Disposition::Execute, {}};
  if (r->outcome == Outcome::Served)
    return {r->hasResponse && r->group == a.group ? Disposition::Replay : Disposition::OutcomeUnknown, {}};
  if (!r->mayHaveHadEffect()) return {Disposition::Execute, {}};
  // Of another group nobody there knows the key; from before a gap its age is not known.
  if (r->group != a.group || r->intentAt < gapAt) return {Disposition::OutcomeUnknown, {}};
  const Time since = now - r->intentAt;
  // By the shorter of the windows, lest a reload of the settings make an old key young.
  if (since >= std::min(r->deduplicationWindow, a.deduplicationWindow))
    return {Disposition::OutcomeUnknown, {}};
  return {Disposition::Retry, since};
}

KeyRecord beginRequest(const std::optional<KeyRecord>& was, const KeyedRequest& a, const KeyDecision& j,
                       Time now, Time keyRetention, std::uint64_t epoch, std::int64_t wallMs) {
  KeyRecord r;
  if (was && j.disposition != Disposition::Execute) r = *was;
  if (j.disposition == Disposition::Execute) {
    r.intentAt = now;
    r.deduplicationWindow = a.deduplicationWindow;
    r.group = a.group;
    r.className = a.className;
    r.wallMs = wallMs;
  }
  r.epoch = epoch;
  r.expiresAt = now + keyRetention;
  if (j.disposition == Disposition::Execute || j.disposition == Disposition::Retry)
    r.outcome = Outcome::Pending;
  // Nobody will say how that request ended.
  if (appendBounded(r.pendingIds, a.id)) r.mayHaveExecuted = true;
  return r;
}

void recordAttemptSent(KeyRecord& r, Attempt a) {
  // Told once more after a commit that failed and was durable all the same.
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
// What another request of the same key has brought stands: served is final, and a failure says less than
// nothing of an attempt that is still out.
void recordOutcome(KeyRecord& r, const std::string& id, Outcome o, Time now, Time keyRetention) {
  const bool others =
      std::any_of(r.pendingIds.begin(), r.pendingIds.end(), [&](const std::string& x) { return x != id; });
  if (r.outcome != Outcome::Served && (o == Outcome::Served || !others)) r.outcome = o;
  r.expiresAt = std::max(r.expiresAt, now + keyRetention);
}
void recordResponseDelivered(KeyRecord& r, const std::string& id) {
  eraseId(r.pendingIds, id);
  appendBounded(r.answeredIds, id);
}

// Nothing is sent for it any more: what its attempts have come to is all there is to know.
void abandonRequest(KeyRecord& r, const std::string& id) {
  eraseId(r.pendingIds, id);
  if (r.outcome == Outcome::Pending && r.pendingIds.empty()) r.outcome = Outcome::Failed;
}

}  // namespace sablespur::durability
