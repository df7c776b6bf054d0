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
constexpr std::size_t kMostInstances = 4096;
constexpr std::size_t kMostAtOnce = 16;  // questions for single records
// So many instances without their records in a PTR answer are worth a connection.
constexpr std::size_t kWorthTcp = 3;
constexpr int kTcpRounds = 20;  // after TCP brought no more, so many refreshes go without it
constexpr Time kFirstBackoff = std::chrono::milliseconds(250);

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
Verdict judge(const Question& q, const Message& m) {
  if (m.rcode != dns::Rcode::NoError && m.rcode != dns::Rcode::NxDomain) return Verdict::Useless;
  for (const Record& r : m.answers)
    if (r.type == q.type && r.name == q.name) return Verdict::Records;
  if (m.rcode == dns::Rcode::NoError && !m.answers.empty()) return Verdict::Useless;
  return m.authoritative || soaOf(m) ? Verdict::NotThere : Verdict::Useless;
}

Directory::Directory(const DnsSdSettings& settings, const std::vector<GroupName>& groups, std::uint64_t seed)
    : settings_(settings),
      groups_(groups),
      ptr_{nameOf(settings.service + "." + settings.domain), Type::Ptr},
      domain_(nameOf(settings.domain)),
      random_(seed) {
  sets_[ptr_];
}

Time Directory::after(Time now, std::uint32_t ttl) {
  const Time told = std::chrono::seconds(ttl);
  const Time bounded = std::clamp(told, settings_.refreshLeast, settings_.refreshMost);
  const double part = 1 - settings_.jitter * static_cast<double>(random_()) / 4294967296.0;
  return now + Time(static_cast<std::int64_t>(static_cast<double>(bounded.count()) * part));
}

Time Directory::backoff(int failures) {
  const Time doubled = kFirstBackoff * (std::int64_t{1} << std::min(failures - 1, 10));
  const double part = 1 - 0.5 * static_cast<double>(random_()) / 4294967296.0;
  const Time most = std::max(settings_.refreshMost, kFirstBackoff);
  return Time(static_cast<std::int64_t>(static_cast<double>(std::min(doubled, most).count()) * part));
}

const Directory::Set* Directory::find(const Name& name, Type type) const {
  const auto it = sets_.find({name, type});
  return it == sets_.end() ? nullptr : &it->second;
}

std::vector<Name> Directory::names() const {
  std::vector<Name> all;
  for (const Data& d : sets_.at(ptr_).data) all.push_back(std::get<Name>(d));
  return all;
}

std::vector<Directory::Ask> Directory::due(Time now) {
  std::vector<Ask> asks;
  Set& ptr = sets_.at(ptr_);
  if (ptr.out) return asks;
  // One question does for all, as long as it brings all: not again in the same breath.
  const auto anyDue = [&] {
    return std::any_of(sets_.begin(), sets_.end(),
                       [&](const auto& s) { return !s.second.out && s.second.refreshAt <= now; });
  };
  const bool forAll = bundled_ && ptrFailures_ == 0 && now - ptrAt_ >= settings_.refreshLeast / 2 && anyDue();
  if (ptr.refreshAt <= now || forAll) {
    ptr.out = true;
    asks.push_back({ptr_, tcp_});
    return asks;
  }
  if (ptrFailures_ > 0) return asks;  // the same servers would be asked in vain
  // The longest due first; what describes an instance before addresses, which its answer may bring along.
  std::vector<std::pair<const Question*, Set*>> all;
  for (auto& [q, s] : sets_)
    if (!s.out && s.refreshAt <= now) all.emplace_back(&q, &s);
  const auto address = [](const Question& q) { return q.type == Type::A || q.type == Type::Aaaa; };
  std::stable_sort(all.begin(), all.end(), [&](const auto& a, const auto& b) {
    if (a.second->refreshAt != b.second->refreshAt) return a.second->refreshAt < b.second->refreshAt;
    return !address(*a.first) && address(*b.first);
  });
  for (const auto& [q, set] : all) {
    if (out_ >= kMostAtOnce || !spend(now)) break;
    set->out = true;
    ++out_;
    asks.push_back({*q, false});
  }
  return asks;
}

// The budget of a second may be saved up for one second.
bool Directory::spend(Time now) {
  const double most = settings_.queriesPerSecond;
  const double passed = static_cast<double>((now - budgetAt_).count()) / 1e6;
  budget_ = budgetAt_ == Time(0) ? most : std::min(most, budget_ + passed * most);
  budgetAt_ = now;
  if (budget_ < 1) return false;
  budget_ -= 1;
  return true;
}

std::optional<Time> Directory::next() const {
  std::optional<Time> at;
  const Set& ptr = sets_.at(ptr_);
  if (ptr.out) return at;
  // Single records wait for the budget, too.
  const double most = settings_.queriesPerSecond;
  const Time afford = budget_ >= 1 || most <= 0
                          ? Time(0)
                          : budgetAt_ + Time(static_cast<std::int64_t>((1 - budget_) / most * 1e6) + 1);
  for (const auto& [q, s] : sets_) {
    if (s.out || (ptrFailures_ > 0 && !(q == ptr_))) continue;
    const Time due = q == ptr_ ? s.refreshAt : std::max(s.refreshAt, afford);
    at = at ? std::min(*at, due) : due;
  }
  return at;
}

void Directory::put(Time now, const Question& q, std::vector<Data> data, std::uint32_t ttl) {
  Set& s = sets_[q];
  s.state = Set::State::Known;
  s.data = std::move(data);
  s.refreshAt = after(now, ttl);
  s.tried = true;
  s.failures = 0;
}

void Directory::absent(Time now, const Question& q, const Message& m) {
  Set& s = sets_[q];
  s.state = Set::State::Absent;
  s.data.clear();
  const dns::Soa* const soa = soaOf(m);
  std::uint32_t ttl = 0;
  if (soa) {
    ttl = soa->minimum;
    for (const Record& r : m.authorities)
      if (r.type == Type::Soa) ttl = std::min(ttl, r.ttl);
  }
  s.refreshAt = after(now, ttl);
  s.tried = true;
  s.failures = 0;
}

// Takes the sets that are of use: those that are known by name already. Of additionals only what stands
// within the domain is believed; the rest may be anyone's.
std::vector<Question> Directory::take(Time now, const std::vector<Record>& records, bool additional) {
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
    put(now, q, std::move(set.first), set.second);
    taken.push_back(q);
  }
  if (!additional) return taken;
  // Additionals bring all addresses of a target (RFC 6763 section 12.2): where they are of the newer kind
  // alone, it has no older one.
  std::map<Name, std::pair<std::vector<Data>, std::uint32_t>> newer;
  for (const Record& r : records) {
    if (r.type != Type::Aaaa || !dns::isWithin(r.name, domain_)) continue;
    if (sets_.count({r.name, Type::A}) == 0 || found.count({r.name, Type::A}) > 0) continue;
    auto& entry = newer.try_emplace(r.name, std::vector<Data>(), r.ttl).first->second;
    entry.first.push_back(r.data);
    entry.second = std::min(entry.second, r.ttl);
  }
  for (auto& [name, set] : newer) {
    Set& a = sets_[{name, Type::A}];
    a.state = Set::State::Absent;
    a.data.clear();
    a.refreshAt = after(now, set.second);
    a.tried = true;
    put(now, {name, Type::Aaaa}, std::move(set.first), set.second);
    taken.push_back({name, Type::Aaaa});
  }
  return taken;
}

void Directory::answered(Time now, const Question& q, const Message& m, bool tcp) {
  const auto set = sets_.find(q);
  if (set == sets_.end()) return;  // of an instance that has gone meanwhile
  if (judge(q, m) == Verdict::Useless) return failed(now, q);
  out_ -= set->second.out && !(q == ptr_);
  set->second.out = false;
  if (q == ptr_) return answeredPtr(now, m, tcp);
  if (judge(q, m) == Verdict::Records) {
    std::vector<Data> data;
    std::uint32_t ttl = ~0u;
    for (const Record& r : m.answers)
      if (r.type == q.type && r.name == q.name) {
        data.push_back(r.data);
        ttl = std::min(ttl, r.ttl);
      }
    put(now, q, std::move(data), ttl);
  } else {
    absent(now, q, m);
  }
  resolve(q);
  // A target may have become known by this, and its addresses may stand in the same answer.
  for (const Question& other : take(now, m.additionals, true)) resolve(other);
}

void Directory::answeredPtr(Time now, const Message& m, bool tcp) {
  const Verdict verdict = judge(ptr_, m);
  ptrFailures_ = 0;
  ptrAt_ = now;
  std::vector<Data> names;
  std::set<Name> seen;
  std::uint32_t ttl = 0;
  faults_.clear();
  for (const Record& r : m.answers) {
    const Name* const name =
        r.type == Type::Ptr && r.name == ptr_.name ? std::get_if<Name>(&r.data) : nullptr;
    if (!name) continue;
    ttl = names.empty() ? r.ttl : std::min(ttl, r.ttl);
    if (!dns::isWithin(*name, ptr_.name) || *name == ptr_.name)
      faults_[*name] = "named by PTR, and no instance of the service";
    else if (names.size() < kMostInstances && seen.insert(*name).second)
      names.push_back(*name);
  }
  if (verdict == Verdict::Records)
    put(now, ptr_, std::move(names), ttl);
  else
    absent(now, ptr_, m);
  for (const Name& n : seen)
    for (const Type t : {Type::Srv, Type::Txt}) sets_[{n, t}];
  take(now, m.additionals, true);
  resolveAll();
  // Targets have become known: their addresses may stand in the same answer.
  take(now, m.additionals, true);
  resolveAll();
  collect();
  if (tcpInVain_ > 0) --tcpInVain_;
  std::size_t lacking = 0;
  for (const auto& [other, s] : sets_) lacking += other.type == Type::Srv && s.refreshAt <= now;
  bundled_ = verdict == Verdict::Records && covered();
  if (tcp && lacking > kWorthTcp) {  // it brings no more than a datagram
    tcp_ = false;
    tcpInVain_ = kTcpRounds;
  } else if (tcp) {
    tcp_ = true;
  } else if (lacking > kWorthTcp && tcpInVain_ == 0) {
    tcp_ = true;
    sets_[ptr_].refreshAt = now;  // again, over TCP
  }
}

bool Directory::covered() const {
  const auto fresh = [&](const Set* s) { return s && s->refreshAt > ptrAt_; };
  for (const Name& n : names())
    if (!fresh(find(n, Type::Srv))) return false;
  return !names().empty();
}

void Directory::failed(Time now, const Question& q) {
  const auto it = sets_.find(q);
  if (it == sets_.end()) return;
  Set& s = it->second;
  out_ -= s.out && !(q == ptr_);
  s.out = false;
  s.tried = true;
  s.refreshAt = now + backoff(++s.failures);
  if (!(q == ptr_)) return;
  ptrFailures_ = s.failures;
  if (tcp_) {  // the next round begins with a datagram
    tcp_ = false;
    tcpInVain_ = kTcpRounds;
  }
}

// What an instance is by its records: whole, at fault, or neither as yet.
void Directory::describe(const Name& name, std::optional<DiscoveredEndpoint>& whole, std::string& fault) {
  const Set &srv = sets_[{name, Type::Srv}], &txt = sets_[{name, Type::Txt}];
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
  Name& was = targets_[name];
  if (was != target) {
    if (!was.empty() && hosts_[was].erase(name) > 0 && hosts_[was].empty()) hosts_.erase(was);
    if (!target.empty()) hosts_[target].insert(name);
    was = target;
  }
  if (srv.state == Set::State::Absent) fault = "it has no SRV record";
  if (srv.state == Set::State::Known && !had) fault = "its SRV record says that it is not to be had";
  if (!had) return;
  const Set& a = sets_[{target, Type::A}];
  const Set* const addresses = a.state == Set::State::Absent ? &sets_[{target, Type::Aaaa}] : &a;
  if (addresses->state == Set::State::Absent) fault = "its target " + target + " has no address";
  if (addresses->state != Set::State::Known) return;
  std::vector<std::string> bytes;
  for (const Data& d : addresses->data) bytes.push_back(std::get<dns::AddressBytes>(d).bytes);
  std::sort(bytes.begin(), bytes.end());
  // Of several addresses one is taken, and kept while it is there: the others are ways to the same server.
  Address& chosen = chosen_[name];
  const bool stays = std::any_of(bytes.begin(), bytes.end(), [&](const std::string& b) {
    return Address::fromBytes(b, best->port) == chosen;
  });
  if (!stays) chosen = Address::fromBytes(bytes.front(), best->port);
  if (txt.state == Set::State::Unknown) return;
  DiscoveredEndpoint i;
  i.name = dns::firstLabel(name);
  i.address = chosen;
  std::vector<std::string> strings;
  for (const Data& d : txt.data)
    for (const std::string& s : std::get<dns::TxtStrings>(d)) strings.push_back(s);
  if (const auto wrong = readTxt(strings, groups_, settings_.defaultGroup, i))
    fault = "TXT: " + *wrong;
  else
    whole = std::move(i);
}

void Directory::resolve(const Name& name) {
  std::optional<DiscoveredEndpoint> now;
  std::string fault;
  describe(name, now, fault);
  const auto was = whole_.find(name);
  // Neither whole nor at fault: something has still to be asked, as after a change of target. It stands as it
  // was.
  const bool pending = !now && fault.empty();
  const bool same = pending || (now ? was != whole_.end() && was->second == *now : was == whole_.end());
  if (!same && now) whole_[name] = std::move(*now);
  if (!same && !now) whole_.erase(was);
  const auto wrong = faults_.find(name);
  const bool sameFault = wrong == faults_.end() ? fault.empty() : wrong->second == fault;
  if (!sameFault && fault.empty()) faults_.erase(wrong);
  if (!sameFault && !fault.empty()) faults_[name] = fault;
  version_ += !same || !sameFault;
}

void Directory::resolve(const Question& q) {
  if (q.type == Type::Srv || q.type == Type::Txt) return resolve(q.name);
  const auto it = hosts_.find(q.name);
  if (it == hosts_.end()) return;
  const std::set<Name> all = it->second;
  for (const Name& n : all) resolve(n);
}

void Directory::resolveAll() {
  ++version_;
  const std::vector<Name> all = names();
  const std::set<Name> listed(all.begin(), all.end());
  for (auto it = whole_.begin(); it != whole_.end();)
    it = listed.count(it->first) > 0 ? std::next(it) : whole_.erase(it);
  for (const Name& n : all) resolve(n);
}

// Drops what belongs to instances that are no longer named.
void Directory::collect() {
  const std::vector<Name> all = names();
  const std::set<Name> listed(all.begin(), all.end());
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (listed.count(it->first) > 0) {
      ++it;
      continue;
    }
    const auto host = hosts_.find(it->second);
    if (host != hosts_.end() && host->second.erase(it->first) > 0 && host->second.empty()) hosts_.erase(host);
    it = targets_.erase(it);
  }
  for (auto it = chosen_.begin(); it != chosen_.end();)
    it = listed.count(it->first) == 0 ? chosen_.erase(it) : std::next(it);
  for (auto it = sets_.begin(); it != sets_.end();) {
    const Question& q = it->first;
    const bool address = q.type == Type::A || q.type == Type::Aaaa;
    bool used = q == ptr_ || (address ? hosts_.count(q.name) > 0 : listed.count(q.name) > 0);
    if (used && q.type == Type::Aaaa) {  // asked for only where there is no older address
      const Set* const a = find(q.name, Type::A);
      used = a && a->state == Set::State::Absent;
    }
    if (!used) out_ -= it->second.out;
    it = used ? std::next(it) : sets_.erase(it);
  }
}

bool Directory::settled() {
  settled_ =
      settled_ || (sets_.at(ptr_).state != Set::State::Unknown &&
                   std::all_of(sets_.begin(), sets_.end(), [](const auto& s) { return s.second.tried; }));
  return settled_;
}

std::vector<DiscoveredEndpoint> Directory::instances() const {
  std::vector<DiscoveredEndpoint> all;
  for (const auto& [name, i] : whole_) all.push_back(i);
  return all;
}

}  // namespace sablespur
