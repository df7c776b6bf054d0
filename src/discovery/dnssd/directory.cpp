#include "discovery/dnssd/directory.hpp"

#include <algorithm>

#include "discovery/dnssd/records.hpp"

namespace sablespur {

using dns::Data;
using dns::Message;
using dns::Name;
using dns::Question;
using dns::Record;
using dns::Type;

namespace {

// Guards against an answer that names instances without end.
constexpr std::size_t kMaxInstances = 4096;
constexpr std::size_t kMaxRecordQueriesInFlight = 16;  // questions for single records
// So many instances without their records in a PTR answer are worth a connection.
constexpr std::size_t kMaxMissingRecordsOverUdp = 3;
constexpr int kRoundsWithoutTcp = 20;  // after TCP brought no more, so many refreshes go without it
constexpr Time kInitialBackoff = std::chrono::milliseconds(250);

Name nameOf(const std::string& text) {
  const auto n = dns::parseName(text);
  if (!n) throw BadInput("'" + text + "' is no domain name");
  return *n;
}

const dns::Soa* soaOf(const Message& m) {
  for (const Record& r : m.authorities)
    if (r.type == Type::Soa) return std::get_if<dns::Soa>(&r.data);
  return nullptr;
}

}  // namespace

// RFC 2308 section 2: a negative answer bears the zone's SOA, or comes from the zone's own server. An empty
// answer without either is a referral, or from one that does not serve the zone.
AnswerKind classifyAnswer(const Question& q, const Message& m) {
  if (m.rcode != dns::Rcode::NoError && m.rcode != dns::Rcode::NxDomain) return AnswerKind::Unusable;
  for (const Record& r : m.answers)
    if (r.type == q.type && r.name == q.name) return AnswerKind::Records;
  if (m.rcode == dns::Rcode::NoError && !m.answers.empty()) return AnswerKind::Unusable;
  return m.authoritative || soaOf(m) ? AnswerKind::Negative : AnswerKind::Unusable;
}

DnsSdDirectory::DnsSdDirectory(const DnsSdSettings& settings, const std::vector<GroupName>& groups,
                               std::uint64_t seed)
    : settings_(settings),
      groups_(groups),
      ptr_{nameOf(settings.service + "." + settings.domain), Type::Ptr},
      domain_(nameOf(settings.domain)),
      random_(seed) {
  sets_[ptr_];
}

Time DnsSdDirectory::refreshTime(Time now, std::uint32_t ttl) {
  const Time told = std::chrono::seconds(ttl);
  const Time bounded = std::clamp(told, settings_.minRefresh, settings_.maxRefresh);
  const double part = 1 - settings_.jitter * static_cast<double>(random_()) / 4294967296.0;
  return now + Time(static_cast<std::int64_t>(static_cast<double>(bounded.count()) * part));
}

Time DnsSdDirectory::backoff(int failures) {
  const Time doubled = kInitialBackoff * (std::int64_t{1} << std::min(failures - 1, 10));
  const double part = 1 - 0.5 * static_cast<double>(random_()) / 4294967296.0;
  const Time most = std::max(settings_.maxRefresh, kInitialBackoff);
  return Time(static_cast<std::int64_t>(static_cast<double>(std::min(doubled, most).count()) * part));
}

const DnsSdDirectory::RecordSet* DnsSdDirectory::find(const Name& name, Type type) const {
  const auto it = sets_.find({name, type});
  return it == sets_.end() ? nullptr : &it->second;
}

std::vector<Name> DnsSdDirectory::listedInstances() const {
  std::vector<Name> all;
  for (const Data& d : sets_.at(ptr_).data) all.push_back(std::get<Name>(d));
  return all;
}

std::vector<DnsSdDirectory::Query> DnsSdDirectory::dueQueries(Time now) {
  std::vector<Query> asks;
  RecordSet& ptr = sets_.at(ptr_);
  if (ptr.inFlight) return asks;
  // One question does for all, as long as it brings all: not again in the same breath.
  const auto anyDue = [&] {
    return std::any_of(sets_.begin(), sets_.end(),
                       [&](const auto& s) { return !s.second.inFlight && s.second.refreshAt <= now; });
  };
  const bool forAll = lastAnswerComplete_ && ptrFailures_ == 0 &&
                      now - lastPtrAnswer_ >= settings_.minRefresh / 2 && anyDue();
  if (ptr.refreshAt <= now || forAll) {
    ptr.inFlight = true;
    asks.push_back({ptr_, ptrOverTcp_});
    return asks;
  }
  if (ptrFailures_ > 0) return asks;  // the same servers would be asked in vain
  // The longest due first; what describes an instance before addresses, which its answer may bring along.
  std::vector<std::pair<const Question*, RecordSet*>> all;
  for (auto& [q, s] : sets_)
    if (!s.inFlight && s.refreshAt <= now) all.emplace_back(&q, &s);
  const auto address = [](const Question& q) { return q.type == Type::A || q.type == Type::Aaaa; };
  std::stable_sort(all.begin(), all.end(), [&](const auto& a, const auto& b) {
    if (a.second->refreshAt != b.second->refreshAt) return a.second->refreshAt < b.second->refreshAt;
    return !address(*a.first) && address(*b.first);
  });
  for (const auto& [q, set] : all) {
    if (recordQueriesInFlight_ >= kMaxRecordQueriesInFlight || !spendQueryBudget(now)) break;
    set->inFlight = true;
    ++recordQueriesInFlight_;
    asks.push_back({*q, false});
  }
  return asks;
}

// The budget of a second may be saved up for one second.
bool DnsSdDirectory::spendQueryBudget(Time now) {
  const double most = settings_.queriesPerSecond;
  const double passed = static_cast<double>((now - queryBudgetUpdatedAt_).count()) / 1e6;
  queryBudget_ = queryBudgetUpdatedAt_ == Time(0) ? most : std::min(most, queryBudget_ + passed * most);
  queryBudgetUpdatedAt_ = now;
  if (queryBudget_ < 1) return false;
  queryBudget_ -= 1;
  return true;
}

std::optional<Time> DnsSdDirectory::nextDeadline() const {
  std::optional<Time> at;
  const RecordSet& ptr = sets_.at(ptr_);
  if (ptr.inFlight) return at;
  // Single records wait for the budget, too.
  const double most = settings_.queriesPerSecond;
  const Time afford =
      queryBudget_ >= 1 || most <= 0
          ? Time(0)
          : queryBudgetUpdatedAt_ + Time(static_cast<std::int64_t>((1 - queryBudget_) / most * 1e6) + 1);
  for (const auto& [q, s] : sets_) {
    if (s.inFlight || (ptrFailures_ > 0 && !(q == ptr_))) continue;
    const Time due = q == ptr_ ? s.refreshAt : std::max(s.refreshAt, afford);
    at = at ? std::min(*at, due) : due;
  }
  return at;
}

void DnsSdDirectory::storeRecords(Time now, const Question& q, std::vector<Data> data, std::uint32_t ttl) {
  RecordSet& s = sets_[q];
  s.state = RecordSet::State::Known;
  s.data = std::move(data);
  s.refreshAt = refreshTime(now, ttl);
  s.attempted = true;
  s.failures = 0;
}

void DnsSdDirectory::storeNegativeAnswer(Time now, const Question& q, const Message& m) {
  RecordSet& s = sets_[q];
  s.state = RecordSet::State::Absent;
  s.data.clear();
  const dns::Soa* const soa = soaOf(m);
  std::uint32_t ttl = 0;
  if (soa) {
    ttl = soa->minimum;
    for (const Record& r : m.authorities)
      if (r.type == Type::Soa) ttl = std::min(ttl, r.ttl);
  }
  s.refreshAt = refreshTime(now, ttl);
  s.attempted = true;
  s.failures = 0;
}

// Takes the sets that are of use: those that are known by name already. Of additionals only what stands
// within the domain is believed; the rest may be anyone's.
std::vector<Question> DnsSdDirectory::storeKnownRecords(Time now, const std::vector<Record>& records,
                                                        bool additional) {
  std::vector<Question> taken;
  std::map<Question, std::pair<std::vector<Data>, std::uint32_t>> found;
  for (const Record& r : records) {
    const Question q{r.name, r.type};
    if (q == ptr_ || r.type == Type::Soa || sets_.count(q) == 0) continue;
    if (additional && !dns::within(r.name, domain_)) continue;
    const auto [it, fresh] = found.try_emplace(q, std::vector<Data>(), r.ttl);
    it->second.first.push_back(r.data);
    it->second.second = std::min(it->second.second, r.ttl);
  }
  for (auto& [q, set] : found) {
    storeRecords(now, q, std::move(set.first), set.second);
    taken.push_back(q);
  }
  if (!additional) return taken;
  // Additionals bring all addresses of a target (RFC 6763 section 12.2): where they are of the newer kind
  // alone, it has no older one.
  std::map<Name, std::pair<std::vector<Data>, std::uint32_t>> newer;
  for (const Record& r : records) {
    if (r.type != Type::Aaaa || !dns::within(r.name, domain_)) continue;
    if (sets_.count({r.name, Type::A}) == 0 || found.count({r.name, Type::A}) > 0) continue;
    auto& entry = newer.try_emplace(r.name, std::vector<Data>(), r.ttl).first->second;
    entry.first.push_back(r.data);
    entry.second = std::min(entry.second, r.ttl);
  }
  for (auto& [name, set] : newer) {
    RecordSet& a = sets_[{name, Type::A}];
    a.state = RecordSet::State::Absent;
    a.data.clear();
    a.refreshAt = refreshTime(now, set.second);
    a.attempted = true;
    storeRecords(now, {name, Type::Aaaa}, std::move(set.first), set.second);
    taken.push_back({name, Type::Aaaa});
  }
  return taken;
}

void DnsSdDirectory::handleAnswer(Time now, const Question& q, const Message& m, bool tcp) {
  const auto set = sets_.find(q);
  if (set == sets_.end()) return;  // of an instance that has gone meanwhile
  if (classifyAnswer(q, m) == AnswerKind::Unusable) return handleFailure(now, q);
  recordQueriesInFlight_ -= set->second.inFlight && !(q == ptr_);
  set->second.inFlight = false;
  if (q == ptr_) return handlePtrAnswer(now, m, tcp);
  if (classifyAnswer(q, m) == AnswerKind::Records) {
    std::vector<Data> data;
    std::uint32_t ttl = ~0u;
    for (const Record& r : m.answers)
      if (r.type == q.type && r.name == q.name) {
        data.push_back(r.data);
        ttl = std::min(ttl, r.ttl);
      }
    storeRecords(now, q, std::move(data), ttl);
  } else {
    storeNegativeAnswer(now, q, m);
  }
  resolve(q);
  // A target may have become known by this, and its addresses may stand in the same answer.
  for (const Question& other : storeKnownRecords(now, m.additionals, true)) resolve(other);
}

void DnsSdDirectory::handlePtrAnswer(Time now, const Message& m, bool tcp) {
  const AnswerKind verdict = classifyAnswer(ptr_, m);
  ptrFailures_ = 0;
  lastPtrAnswer_ = now;
  std::vector<Data> names;
  std::set<Name> seen;
  std::uint32_t ttl = 0;
  faults_.clear();
  for (const Record& r : m.answers) {
    const Name* const name =
        r.type == Type::Ptr && r.name == ptr_.name ? std::get_if<Name>(&r.data) : nullptr;
    if (!name) continue;
    ttl = names.empty() ? r.ttl : std::min(ttl, r.ttl);
    if (!dns::within(*name, ptr_.name) || *name == ptr_.name)
      faults_[*name] = "named by PTR, and no instance of the service";
    else if (names.size() < kMaxInstances && seen.insert(*name).second)
      names.push_back(*name);
  }
  if (verdict == AnswerKind::Records)
    storeRecords(now, ptr_, std::move(names), ttl);
  else
    storeNegativeAnswer(now, ptr_, m);
  for (const Name& n : seen)
    for (const Type t : {Type::Srv, Type::Txt}) sets_[{n, t}];
  storeKnownRecords(now, m.additionals, true);
  resolveInstances();
  // Targets have become known: their addresses may stand in the same answer.
  storeKnownRecords(now, m.additionals, true);
  resolveInstances();
  removeUnlisted();
  if (roundsWithoutTcp_ > 0) --roundsWithoutTcp_;
  std::size_t lacking = 0;
  for (const auto& [other, s] : sets_) lacking += other.type == Type::Srv && s.refreshAt <= now;
  lastAnswerComplete_ = verdict == AnswerKind::Records && additionalsComplete();
  if (tcp && lacking > kMaxMissingRecordsOverUdp) {  // it brings no more than a datagram
    ptrOverTcp_ = false;
    roundsWithoutTcp_ = kRoundsWithoutTcp;
  } else if (tcp) {
    ptrOverTcp_ = true;
  } else if (lacking > kMaxMissingRecordsOverUdp && roundsWithoutTcp_ == 0) {
    ptrOverTcp_ = true;
    sets_[ptr_].refreshAt = now;  // again, over TCP
  }
}

bool DnsSdDirectory::additionalsComplete() const {
  const auto fresh = [&](const RecordSet* s) { return s && s->refreshAt > lastPtrAnswer_; };
  for (const Name& n : listedInstances())
    if (!fresh(find(n, Type::Srv))) return false;
  return !listedInstances().empty();
}

void DnsSdDirectory::handleFailure(Time now, const Question& q) {
  const auto it = sets_.find(q);
  if (it == sets_.end()) return;
  RecordSet& s = it->second;
  recordQueriesInFlight_ -= s.inFlight && !(q == ptr_);
  s.inFlight = false;
  s.attempted = true;
  s.refreshAt = now + backoff(++s.failures);
  if (!(q == ptr_)) return;
  ptrFailures_ = s.failures;
  if (ptrOverTcp_) {  // the next round begins with a datagram
    ptrOverTcp_ = false;
    roundsWithoutTcp_ = kRoundsWithoutTcp;
  }
}

// What an instance is by its records: whole, at fault, or neither as yet.
void DnsSdDirectory::describeInstance(const Name& name, std::optional<DiscoveredEndpoint>& whole,
                                      std::string& fault) {
  const RecordSet &srv = sets_[{name, Type::Srv}], &txt = sets_[{name, Type::Txt}];
  // The lowest priority, then the greatest weight (RFC 2782): one target, the same at every proxy.
  const dns::Srv* best = nullptr;
  for (const Data& d : srv.data) {
    const auto& s = std::get<dns::Srv>(d);
    const auto rank = [](const dns::Srv& r) {
      return std::make_tuple(r.priority, 65535 - r.weight, r.target, r.port);
    };
    if (!best || rank(s) < rank(*best)) best = &s;
  }
  const bool had = best && best->target != "." && best->port != 0;
  const Name target = had ? best->target : Name();
  Name& was = targetByInstance_[name];
  if (was != target) {
    if (!was.empty() && instancesByTarget_[was].erase(name) > 0 && instancesByTarget_[was].empty())
      instancesByTarget_.erase(was);
    if (!target.empty()) instancesByTarget_[target].insert(name);
    was = target;
  }
  if (srv.state == RecordSet::State::Absent) fault = "it has no SRV record";
  if (srv.state == RecordSet::State::Known && !had) fault = "its SRV record says that it is not to be had";
  if (!had) return;
  const RecordSet& a = sets_[{target, Type::A}];
  const RecordSet* const addresses = a.state == RecordSet::State::Absent ? &sets_[{target, Type::Aaaa}] : &a;
  if (addresses->state == RecordSet::State::Absent) fault = "its target " + target + " has no address";
  if (addresses->state != RecordSet::State::Known) return;
  std::vector<std::string> bytes;
  for (const Data& d : addresses->data) bytes.push_back(std::get<dns::Bytes>(d).bytes);
  std::sort(bytes.begin(), bytes.end());
  // Of several addresses one is taken, and kept while it is there: the others are ways to the same server.
  Address& chosen = chosenAddresses_[name];
  const bool stays = std::any_of(bytes.begin(), bytes.end(), [&](const std::string& b) {
    return Address::fromBytes(b, best->port) == chosen;
  });
  if (!stays) chosen = Address::fromBytes(bytes.front(), best->port);
  if (txt.state == RecordSet::State::Unknown) return;
  DiscoveredEndpoint i;
  i.name = dns::firstLabel(name);
  i.address = chosen;
  std::vector<std::string> strings;
  for (const Data& d : txt.data)
    for (const std::string& s : std::get<dns::Strings>(d)) strings.push_back(s);
  if (const auto wrong = readTxt(strings, groups_, settings_.defaultGroup, i))
    fault = "TXT: " + *wrong;
  else
    whole = std::move(i);
}

void DnsSdDirectory::resolve(const Name& name) {
  std::optional<DiscoveredEndpoint> now;
  std::string fault;
  describeInstance(name, now, fault);
  const auto was = endpoints_.find(name);
  // Neither whole nor at fault: something has still to be asked, as after a change of target. It stands as it
  // was.
  const bool pending = !now && fault.empty();
  const bool same =
      pending || (now ? was != endpoints_.end() && was->second == *now : was == endpoints_.end());
  if (!same && now) endpoints_[name] = std::move(*now);
  if (!same && !now) endpoints_.erase(was);
  const auto wrong = faults_.find(name);
  const bool sameFault = wrong == faults_.end() ? fault.empty() : wrong->second == fault;
  if (!sameFault && fault.empty()) faults_.erase(wrong);
  if (!sameFault && !fault.empty()) faults_[name] = fault;
  version_ += !same || !sameFault;
}

void DnsSdDirectory::resolve(const Question& q) {
  if (q.type == Type::Srv || q.type == Type::Txt) return resolve(q.name);
  const auto it = instancesByTarget_.find(q.name);
  if (it == instancesByTarget_.end()) return;
  const std::set<Name> all = it->second;
  for (const Name& n : all) resolve(n);
}

void DnsSdDirectory::resolveInstances() {
  ++version_;
  const std::vector<Name> all = listedInstances();
  const std::set<Name> listed(all.begin(), all.end());
  for (auto it = endpoints_.begin(); it != endpoints_.end();)
    it = listed.count(it->first) > 0 ? std::next(it) : endpoints_.erase(it);
  for (const Name& n : all) resolve(n);
}

// Drops what belongs to instances that are no longer named.
void DnsSdDirectory::removeUnlisted() {
  const std::vector<Name> all = listedInstances();
  const std::set<Name> listed(all.begin(), all.end());
  for (auto it = targetByInstance_.begin(); it != targetByInstance_.end();) {
    if (listed.count(it->first) > 0) {
      ++it;
      continue;
    }
    const auto host = instancesByTarget_.find(it->second);
    if (host != instancesByTarget_.end() && host->second.erase(it->first) > 0 && host->second.empty())
      instancesByTarget_.erase(host);
    it = targetByInstance_.erase(it);
  }
  for (auto it = chosenAddresses_.begin(); it != chosenAddresses_.end();)
    it = listed.count(it->first) == 0 ? chosenAddresses_.erase(it) : std::next(it);
  for (auto it = sets_.begin(); it != sets_.end();) {
    const Question& q = it->first;
    const bool address = q.type == Type::A || q.type == Type::Aaaa;
    bool used = q == ptr_ || (address ? instancesByTarget_.count(q.name) > 0 : listed.count(q.name) > 0);
    if (used && q.type == Type::Aaaa) {  // asked for only where there is no older address
      const RecordSet* const a = find(q.name, Type::A);
      used = a && a->state == RecordSet::State::Absent;
    }
    if (!used) recordQueriesInFlight_ -= it->second.inFlight;
    it = used ? std::next(it) : sets_.erase(it);
  }
}

bool DnsSdDirectory::isComplete() {
  complete_ =
      complete_ || (sets_.at(ptr_).state != RecordSet::State::Unknown &&
                    std::all_of(sets_.begin(), sets_.end(), [](const auto& s) { return s.second.attempted; }));
  return complete_;
}

std::vector<DiscoveredEndpoint> DnsSdDirectory::instances() const {
  std::vector<DiscoveredEndpoint> all;
  for (const auto& [name, i] : endpoints_) all.push_back(i);
  return all;
}

}  // namespace sablespur
