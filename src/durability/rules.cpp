#include "durability/rules.hpp"

#include <algorithm>

namespace sablespur::durability {
namespace {

// Guards against a record that grows with its tries.
constexpr std::size_t kAttempts = 8, kIds = 8;

// True: the oldest had to go.
bool push(std::vector<std::string>& ids, const std::string& id) {
  if (std::find(ids.begin(), ids.end(), id) != ids.end()) return false;
  const bool full = ids.size() >= kIds;
  if (full) ids.erase(ids.begin());
  ids.push_back(id);
  return full;
}
void pull(std::vector<std::string>& ids, const std::string& id) {
  ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

}  // namespace

const char* name(Verdict v) {
  constexpr const char* kNames[] = {"run", "again", "recorded", "unknown"};
  return kNames[static_cast<int>(v)];
}

Judgement judge(const KeyRecord* r, const KeyedRequest& a, Time now, Time gapAt) {
  if (!r) return {Verdict::Run, {}};
  if (r->outcome == Outcome::Served)
    return {r->answered && r->group == a.group ? Verdict::Recorded : Verdict::Unknown, {}};
  if (!r->effectPossible()) return {Verdict::Run, {}};
  // Of another group nobody there knows the key; from before a gap its age is not known.
  if (r->group != a.group || r->asked < gapAt) return {Verdict::Unknown, {}};
  const Time since = now - r->asked;
  // By the shorter of the windows, lest a reload of the settings make an old key young.
  if (since >= std::min(r->window, a.window)) return {Verdict::Unknown, {}};
  return {Verdict::Again, since};
}

KeyRecord opened(const std::optional<KeyRecord>& was, const KeyedRequest& a, const Judgement& j, Time now,
                 Time keep, std::uint64_t epoch, std::int64_t wallMs) {
  KeyRecord r;
  if (was && j.verdict != Verdict::Run) r = *was;
  if (j.verdict == Verdict::Run) {
    r.asked = now;
    r.window = a.window;
    r.group = a.group;
    r.cls = a.cls;
    r.wallMs = wallMs;
  }
  r.epoch = epoch;
  r.expires = now + keep;
  if (j.verdict == Verdict::Run || j.verdict == Verdict::Again) r.outcome = Outcome::None;
  // Nobody will say how that request ended.
  if (push(r.owed, a.id)) r.mayHaveRun = true;
  return r;
}

void sent(KeyRecord& r, Attempt a) {
  // Told once more after a commit that failed and was durable all the same.
  const bool known = std::any_of(r.attempts.begin(), r.attempts.end(), [&](const Attempt& other) {
    return other.id == a.id && other.number == a.number;
  });
  if (known) return;
  if (r.attempts.size() >= kAttempts) {
    r.mayHaveRun = r.mayHaveRun || r.attempts.front().end != End::NeverRan;
    r.attempts.erase(r.attempts.begin());
  }
  r.attempts.push_back(std::move(a));
}
void ended(KeyRecord& r, const std::string& id, int attempt, End end) {
  for (Attempt& a : r.attempts)
    if (a.id == id && a.number == attempt) a.end = end;
}
// What another request of the same key has brought stands: served is final, and a failure says less than
// nothing of an attempt that is still out.
void finished(KeyRecord& r, const std::string& id, Outcome o, Time now, Time keep) {
  const bool others =
      std::any_of(r.owed.begin(), r.owed.end(), [&](const std::string& x) { return x != id; });
  if (r.outcome != Outcome::Served && (o == Outcome::Served || !others)) r.outcome = o;
  r.expires = std::max(r.expires, now + keep);
}
void told(KeyRecord& r, const std::string& id) {
  pull(r.owed, id);
  push(r.given, id);
}

// Nothing is sent for it any more: what its attempts have come to is all there is to know.
void left(KeyRecord& r, const std::string& id) {
  pull(r.owed, id);
  if (r.outcome == Outcome::None && r.owed.empty()) r.outcome = Outcome::Failed;
}

}  // namespace sablespur::durability
