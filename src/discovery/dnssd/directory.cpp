#include "discovery/dnssd/directory.hpp"

#include <algorithm>

#include "discovery/dnssd/answer_kind.hpp"

namespace sablespur {

using dns::Data;
using dns::Message;
using dns::Name;
using dns::Question;
using dns::Record;
using dns::Type;

namespace {

// Bounds what one answer can make the directory keep.
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

}  // namespace

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
  return dueRecordQueries(now);
}

std::vector<DnsSdDirectory::Query> DnsSdDirectory::dueRecordQueries(Time now) {
  std::vector<Query> asks;
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
    if (additional && !dns::isWithin(r.name, domain_)) continue;
    const auto [it, fresh] = found.try_emplace(q, std::vector<Data>(), r.ttl);
    it->second.first.push_back(r.data);
    it->second.second = std::min(it->second.second, r.ttl);
  }
  for (auto& [q, set] : found) {
    storeRecords(now, q, std::move(set.first), set.second);
    taken.push_back(q);
  }
  if (additional) storeIpv6OnlyTargets(now, records, taken);
  return taken;
}

// Additionals bring all addresses of a target (RFC 6763 section 12.2): where they are IPv6 alone, it has no
// IPv4 address.
void DnsSdDirectory::storeIpv6OnlyTargets(Time now, const std::vector<Record>& records,
                                          std::vector<Question>& stored) {
  const std::set<Question> known(stored.begin(), stored.end());
  std::map<Name, std::pair<std::vector<Data>, std::uint32_t>> ipv6Only;
  for (const Record& record : records) {
    if (record.type != Type::Aaaa || !dns::isWithin(record.name, domain_)) continue;
    const Question ipv4{record.name, Type::A};
    if (sets_.count(ipv4) == 0 || known.count(ipv4) > 0) continue;
    auto& [data, ttl] = ipv6Only.try_emplace(record.name, std::vector<Data>(), record.ttl).first->second;
    data.push_back(record.data);
    ttl = std::min(ttl, record.ttl);
  }
  for (auto& [name, set] : ipv6Only) {
    RecordSet& ipv4 = sets_[{name, Type::A}];
    ipv4.state = RecordSet::State::Absent;
    ipv4.data.clear();
    ipv4.refreshAt = refreshTime(now, set.second);
    ipv4.attempted = true;
    storeRecords(now, {name, Type::Aaaa}, std::move(set.first), set.second);
    stored.push_back({name, Type::Aaaa});
  }
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

std::vector<Name> DnsSdDirectory::storePtrRecords(Time now, const Message& message) {
  std::vector<Data> names;
  std::set<Name> seen;
  std::uint32_t ttl = 0;
  faults_.clear();
  for (const Record& record : message.answers) {
    const bool ofService = record.type == Type::Ptr && record.name == ptr_.name;
    const Name* const name = ofService ? std::get_if<Name>(&record.data) : nullptr;
    if (!name) continue;
    ttl = names.empty() ? record.ttl : std::min(ttl, record.ttl);
    if (!dns::isWithin(*name, ptr_.name) || *name == ptr_.name)
      faults_[*name] = "named by PTR, and no instance of the service";
    else if (names.size() < kMaxInstances && seen.insert(*name).second)
      names.push_back(*name);
  }
  if (classifyAnswer(ptr_, message) == AnswerKind::Records)
    storeRecords(now, ptr_, std::move(names), ttl);
  else
    storeNegativeAnswer(now, ptr_, message);
  return {seen.begin(), seen.end()};
}

void DnsSdDirectory::handlePtrAnswer(Time now, const Message& message, bool tcp) {
  ptrFailures_ = 0;
  lastPtrAnswer_ = now;
  for (const Name& name : storePtrRecords(now, message))
    for (const Type type : {Type::Srv, Type::Txt}) sets_[{name, type}];
  storeKnownRecords(now, message.additionals, true);
  resolveInstances();
  // Targets have become known: their addresses may stand in the same answer.
  storeKnownRecords(now, message.additionals, true);
  resolveInstances();
  removeUnlisted();
  lastAnswerComplete_ = classifyAnswer(ptr_, message) == AnswerKind::Records && additionalsComplete();
  chooseTransport(now, tcp);
}

void DnsSdDirectory::chooseTransport(Time now, bool answeredOverTcp) {
  if (roundsWithoutTcp_ > 0) --roundsWithoutTcp_;
  const auto missing = std::count_if(sets_.begin(), sets_.end(), [&](const auto& set) {
    return set.first.type == Type::Srv && set.second.refreshAt <= now;
  });
  const bool manyMissing = static_cast<std::size_t>(missing) > kMaxMissingRecordsOverUdp;
  if (answeredOverTcp && manyMissing) {  // TCP brings no more than a datagram
    ptrOverTcp_ = false;
    roundsWithoutTcp_ = kRoundsWithoutTcp;
  } else if (answeredOverTcp) {
    ptrOverTcp_ = true;
  } else if (manyMissing && roundsWithoutTcp_ == 0) {
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

bool DnsSdDirectory::isComplete() {
  complete_ = complete_ ||
              (sets_.at(ptr_).state != RecordSet::State::Unknown &&
               std::all_of(sets_.begin(), sets_.end(), [](const auto& s) { return s.second.attempted; }));
  return complete_;
}

std::vector<DiscoveredEndpoint> DnsSdDirectory::instances() const {
  std::vector<DiscoveredEndpoint> all;
  for (const auto& [name, i] : endpoints_) all.push_back(i);
  return all;
}

}  // namespace sablespur
