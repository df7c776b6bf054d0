#include "lab/audit.hpp"

#include <algorithm>

#include "lab/quantiles.hpp"

namespace sablespur::lab {
namespace {

constexpr const char* kResultNames[] = {"served", "refused", "failed", "late", "unanswered"};

double ms(Time t) { return static_cast<double>(t.count()) / 1e3; }

void addQuantiles(std::map<std::string, double>& to, const std::string& prefix, const Quantiles& q) {
  if (q.count() == 0) return;
  to[prefix + "p50_ms"] = q.at(0.5);
  to[prefix + "p90_ms"] = q.at(0.9);
  to[prefix + "p99_ms"] = q.at(0.99);
  to[prefix + "max_ms"] = q.most();
}

}  // namespace

void Audit::reportViolation(Time at, const char* rule, std::string what) {
  ++count_[rule];
  if (violations_.size() < 1000) violations_.push_back({at, rule, std::move(what)});
}

void Audit::withdrawn(Time at, int server) { withdrawnAt_[server] = at; }

void Audit::restarted(int proxy) {
  const auto isOf = [proxy](const auto& entry) { return entry.first.first == proxy; };
  for (auto entry = withdrawnSince_.begin(); entry != withdrawnSince_.end();)
    entry = isOf(*entry) ? withdrawnSince_.erase(entry) : std::next(entry);
  for (auto entry = usable_.begin(); entry != usable_.end();)
    entry = isOf(*entry) ? usable_.erase(entry) : std::next(entry);
}

void Audit::told(Time at, int proxy, int server, bool in) {
  const auto key = std::make_pair(proxy, server);
  const auto was = usable_.find(key);
  if (was != usable_.end() && was->second == in) return;
  usable_[key] = in;
  if (in) {
    withdrawnSince_.erase(key);
  } else {
    withdrawnSince_[key] = at;
  }
  const auto w = withdrawnAt_.find(server);
  listUpdates_.push_back({at, proxy, server, in, !in && w != withdrawnAt_.end() ? at - w->second : Time(-1)});
}

std::uint64_t Audit::send(Send s) {
  reportOverlaps(s.at);
  s.token = ++tokens_;
  const auto out = withdrawnSince_.find({s.proxy, s.server});
  if (out != withdrawnSince_.end()) {
    if (s.at - out->second > rules_.drainGrace)
      reportViolation(s.at, "late_sends",
                      "to server " + std::to_string(s.server) + " by proxy " + std::to_string(s.proxy) +
                          ", " + std::to_string((s.at - out->second).count() / 1000) +
                          " ms after it was told of the withdrawal");
    else
      ++sendsInGrace_;
  }
  const bool isBounded = s.read && s.bound > Time(0);
  if (isBounded && s.age > s.bound + rules_.staleSlack && !isExcusedByTakeover(s))
    reportViolation(s.at, "stale_reads",
                    "id " + s.id + ": data " + std::to_string(s.age.count() / 1000) + " ms old, " +
                        std::to_string(s.bound.count() / 1000) + " allowed");
  auto& all = open_[s.id];
  for (OpenAttempt& o : all)
    if (!o.overlappedAt) {
      o.overlappedAt = s.at;
      overlaps_.emplace_back(s.at, s.id);
    }
  all.push_back({s.token, s.server, s.at, std::nullopt});
  if (isBounded && rules_.judgeTakeovers) openReads_[s.token] = {s.server, s.age, s.bound};
  idOf_[s.token] = s.id;
  sends_.push_back(std::move(s));
  return sends_.back().token;
}

void Audit::roleReported(Time at, int proxy, int server, bool primary) {
  if (primary)
    replicaSince_.erase({proxy, server});
  else
    replicaSince_.try_emplace({proxy, server}, at);
}

bool Audit::isExcusedByTakeover(const Send& s) const {
  if (!rules_.judgeTakeovers || !s.hasBeenPrimary) return false;
  const auto told = replicaSince_.find({s.proxy, s.server});
  return told == replicaSince_.end() || s.at < told->second + rules_.roleKnownAfter;
}

// Checks the staleness of a delivered answer: the client receives the answer of the last served
// attempt.
void Audit::checkDeliveredAnswer(Time at, const std::string& id) {
  const auto read = servedReads_.find(id);
  if (read == servedReads_.end()) return;
  const ServedRead served = read->second;
  servedReads_.erase(read);
  if (served.age <= served.bound + rules_.staleSlack) return;
  reportViolation(at, "stale_answers",
                  "id " + id + " was answered with data from server " + std::to_string(served.server) + ", " +
                      std::to_string(served.age.count() / 1000) + " ms old, " +
                      std::to_string(served.bound.count() / 1000) + " allowed");
}

// Reports overlapping attempts of one request that are older than the allowed overlap. An attempt
// that is still open when the next one arrives may already have ended, with the closing of its
// connection on the way.
void Audit::reportOverlaps(Time now) {
  std::size_t retained = 0;
  for (auto& [at, id] : overlaps_) {
    if (now - at <= rules_.overlap) {
      overlaps_[retained++] = {at, std::move(id)};
      continue;
    }
    const auto it = open_.find(id);
    if (it == open_.end()) continue;
    for (const OpenAttempt& o : it->second)
      if (o.overlappedAt == at)
        reportViolation(at, "second_copies",
                        "id " + id + " still has an open attempt at server " + std::to_string(o.server));
  }
  overlaps_.resize(retained);
}

void Audit::ended(Time at, std::uint64_t token, bool served) {
  reportOverlaps(at);
  const auto named = idOf_.find(token);
  if (named == idOf_.end()) return;
  const auto it = open_.find(named->second);
  if (it != open_.end()) {
    auto& all = it->second;
    all.erase(std::remove_if(all.begin(), all.end(), [&](const OpenAttempt& o) { return o.token == token; }),
              all.end());
    if (all.empty()) open_.erase(it);
  }
  const auto read = openReads_.find(token);
  if (read != openReads_.end()) {
    if (served) servedReads_[named->second] = read->second;
    openReads_.erase(read);
  }
  idOf_.erase(named);
  count_["attempts_served"] += served;
}

void Audit::writeApplied(Time at, const std::string& key, Time droppedFor) {
  const auto [it, fresh] = effects_.emplace(key, at);
  if (!fresh)
    reportViolation(at, "double_effects",
                    "key " + key + " took effect twice, " + std::to_string((at - it->second).count() / 1000) +
                        " ms apart; repeats are dropped for " + std::to_string(droppedFor.count() / 1000));
}

void Audit::overloaded(Time at, int server) {
  reportViolation(at, "felled", "server " + std::to_string(server));
}
void Audit::crashed(Time at, int proxy, int status) {
  reportViolation(at, "crashed", "proxy " + std::to_string(proxy) + " ended with " + std::to_string(status));
}
void Audit::cold(double multiple) { worstCold_ = std::max(worstCold_, multiple); }

void Audit::request(Time at, const std::string& id, const std::string& key) {
  waiting_[id] = at;
  if (!key.empty()) keys_[id] = key;
}

void Audit::lost(const std::string& id, const char* why) {
  reportViolation(Time(0), "lost", "id " + id + ": " + why);
}

void Audit::answer(Time at, const std::string& id, Result got, const std::string& value, Time latency,
                   bool onTime, double worth, double earned) {
  const auto it = waiting_.find(id);
  if (it == waiting_.end()) {
    ++extraAnswers_;
    return;
  }
  waiting_.erase(it);
  worth_ += worth;
  earned_ += earned;
  ++count_[kResultNames[static_cast<int>(got)]];
  if (got == Result::Served) checkDeliveredAnswer(at, id);
  servedReads_.erase(id);
  count_["on_time"] += onTime;
  ++count_["requests"];
  const auto key = keys_.find(id);
  if (got == Result::Served && key != keys_.end()) acknowledged_.insert(key->second);
  // A recorded answer to another request with the same idempotency key is a valid answer to this
  // one.
  const auto other = value.size() > 2 && value != "v-" + id ? keys_.find(value.substr(2)) : keys_.end();
  const bool recorded = other != keys_.end() && key != keys_.end() && other->second == key->second;
  if (got == Result::Served && recorded) countEvent("recorded_answers");
  if (got == Result::Served && value != "v-" + id && !recorded)
    reportViolation(at, "lost", "id " + id + " was served '" + value.substr(0, 40) + "'");
  if (got == Result::Unanswered) reportViolation(at, "lost", "id " + id + ": no answer before its deadline");
  answers_.push_back({at, latency, id, got, {}});
}

std::size_t Audit::count(Result g) const {
  const auto it = count_.find(kResultNames[static_cast<int>(g)]);
  return it == count_.end() ? 0 : it->second;
}

void Audit::finish(Time now) {
  reportOverlaps(now + rules_.overlap + Time(1));
  for (const std::string& key : acknowledged_)
    if (effects_.count(key) == 0)
      reportViolation(now, "lost_writes", "key " + key + " was acknowledged but never took effect");
}

std::map<std::string, double> Audit::figures() const {
  std::map<std::string, double> f;
  for (const char* name : {"late_sends", "stale_reads", "stale_answers", "second_copies", "double_effects",
                           "lost_writes", "felled", "lost", "served", "refused", "failed", "late",
                           "unanswered", "on_time", "requests", "attempts_served"}) {
    const auto it = count_.find(name);
    f[name] = it == count_.end() ? 0 : static_cast<double>(it->second);
  }
  for (const auto& [name, n] : hits_) f[name] = static_cast<double>(n);
  if (valuesRight_ + valuesWrong_ > 0) {
    f["values_right"] = static_cast<double>(valuesRight_);
    f["values_wrong"] = static_cast<double>(valuesWrong_);
  }
  f.emplace("replies_broken", 0);
  f.emplace("recorded_answers", 0);
  f.emplace("asked_again", 0);
  f["extra_answers"] = static_cast<double>(extraAnswers_);
  f["sends"] = static_cast<double>(sends_.size());
  f["sends_in_grace"] = static_cast<double>(sendsInGrace_);
  f["probes"] = static_cast<double>(probes_);
  f["worst_cold_multiple"] = worstCold_;
  f["worth_share"] = worth_ > 0 ? earned_ / worth_ : 0;
  f["served_share"] = f["requests"] > 0 ? f["served"] / f["requests"] : 0;
  f["attempts_per_request"] = f["requests"] > 0 ? f["sends"] / f["requests"] : 0;
  Quantiles latency, told;
  for (const Answer& a : answers_)
    if (a.got == Result::Served) latency.add(ms(a.latency));
  for (const ListUpdate& t : listUpdates_)
    if (!t.in && t.after >= Time(0)) told.add(ms(t.after));
  addQuantiles(f, "", latency);
  addQuantiles(f, "told_", told);
  f["withdrawals_told"] = static_cast<double>(told.count());
  return f;
}

}  // namespace sablespur::lab
