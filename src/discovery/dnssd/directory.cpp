// Scheduling of queries in DnsSdDirectory.
#include "discovery/dnssd/directory.hpp"

#include <algorithm>
#include <utility>

namespace sablespur {

using dns::Data;
using dns::Name;
using dns::Question;
using dns::Type;

namespace {

constexpr std::size_t kMaxRecordQueriesInFlight = 16;  // single-record queries

Name nameOf(const std::string& text) {
  const auto name = dns::parseName(text);
  if (!name) throw BadInput("'" + text + "' is not a domain name");
  return *name;
}

bool isAddress(const Question& question) { return question.type == Type::A || question.type == Type::Aaaa; }

}  // namespace

DnsSdDirectory::DnsSdDirectory(const DnsSdSettings& settings, const std::vector<GroupName>& groups,
                               std::uint64_t seed)
    : settings_(settings),
      groups_(groups),
      ptrQuestion_{nameOf(settings.service + "." + settings.domain), Type::Ptr},
      domain_(nameOf(settings.domain)),
      schedule_(settings, seed),
      recordQueryBudget_(settings.queriesPerSecond) {
  sets_[ptrQuestion_];
}

const DnsSdDirectory::RecordSet* DnsSdDirectory::find(const Name& name, Type type) const {
  const auto it = sets_.find({name, type});
  return it == sets_.end() ? nullptr : &it->second;
}

std::vector<Name> DnsSdDirectory::listedInstances() const {
  std::vector<Name> names;
  const std::vector<Data>& records = sets_.at(ptrQuestion_).data;
  names.reserve(records.size());
  for (const Data& data : records) names.push_back(std::get<Name>(data));
  return names;
}

std::vector<DnsSdDirectory::Query> DnsSdDirectory::dueQueries(Time now) {
  RecordSet& ptr = sets_.at(ptrQuestion_);
  if (ptr.inFlight) return {};
  if (ptrQueryDue(now)) {
    ptr.inFlight = true;
    return {{ptrQuestion_, ptr_.overTcp}};
  }
  if (ptr_.failures > 0) return {};  // other queries would go to the same failing servers
  return dueRecordQueries(now);
}

bool DnsSdDirectory::ptrQueryDue(Time now) const {
  if (sets_.at(ptrQuestion_).refreshAt <= now) return true;
  // While PTR answers carry all records, one PTR query refreshes any record set that is due, but
  // not within minRefresh / 2 of the last answer.
  const bool ptrRefreshesAll =
      ptr_.lastAnswerComplete && ptr_.failures == 0 && now - ptr_.answeredAt >= settings_.minRefresh / 2;
  return ptrRefreshesAll && std::any_of(sets_.begin(), sets_.end(), [&](const auto& entry) {
           return !entry.second.inFlight && entry.second.refreshAt <= now;
         });
}

std::vector<DnsSdDirectory::Query> DnsSdDirectory::dueRecordQueries(Time now) {
  std::vector<Query> queries;
  for (auto* const entry : dueRecordSets(now)) {
    if (recordQueriesInFlight_ >= kMaxRecordQueriesInFlight || !recordQueryBudget_.spend(now)) break;
    entry->second.inFlight = true;
    ++recordQueriesInFlight_;
    queries.push_back({entry->first, false});
  }
  return queries;
}

// Returns the record sets that are due, most overdue first. SRV and TXT come before addresses,
// which the SRV answer may carry as additionals.
std::vector<std::pair<const Question, DnsSdDirectory::RecordSet>*> DnsSdDirectory::dueRecordSets(Time now) {
  std::vector<std::pair<const Question, RecordSet>*> due;
  for (auto& entry : sets_)
    if (!entry.second.inFlight && entry.second.refreshAt <= now) due.push_back(&entry);
  std::stable_sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
    if (a->second.refreshAt != b->second.refreshAt) return a->second.refreshAt < b->second.refreshAt;
    return !isAddress(a->first) && isAddress(b->first);
  });
  return due;
}

std::optional<Time> DnsSdDirectory::nextDeadline() const {
  std::optional<Time> first;
  if (sets_.at(ptrQuestion_).inFlight) return first;
  const Time recordsAllowedAt = recordQueryBudget_.nextAllowedAt();
  for (const auto& [question, set] : sets_) {
    const bool isPtr = question == ptrQuestion_;
    if (set.inFlight || (ptr_.failures > 0 && !isPtr)) continue;
    const Time due = isPtr ? set.refreshAt : std::max(set.refreshAt, recordsAllowedAt);
    first = first ? std::min(*first, due) : due;
  }
  return first;
}

void DnsSdDirectory::handleFailure(Time now, const Question& question) {
  const auto it = sets_.find(question);
  if (it == sets_.end()) return;  // the instance was removed while the query was in flight
  RecordSet& set = it->second;
  queryEnded(question, set);
  set.attempted = true;
  ++set.failures;
  set.refreshAt = schedule_.afterFailure(now, set.failures);
  if (question != ptrQuestion_) return;
  ptr_.failures = set.failures;
  if (!ptr_.overTcp) return;
  ptr_.overTcp = false;  // the next query goes over UDP
  ptr_.refreshesWithoutTcp = kRefreshesWithoutTcp;
}

void DnsSdDirectory::queryEnded(const Question& question, RecordSet& set) {
  if (set.inFlight && question != ptrQuestion_) --recordQueriesInFlight_;
  set.inFlight = false;
}

bool DnsSdDirectory::isComplete() {
  const auto attempted = [](const auto& entry) { return entry.second.attempted; };
  const bool listed = sets_.at(ptrQuestion_).state != RecordSet::State::Unknown;
  complete_ = complete_ || (listed && std::all_of(sets_.begin(), sets_.end(), attempted));
  return complete_;
}

std::vector<DiscoveredEndpoint> DnsSdDirectory::instances() const {
  std::vector<DiscoveredEndpoint> endpoints;
  endpoints.reserve(endpoints_.size());
  for (const auto& [name, endpoint] : endpoints_) endpoints.push_back(endpoint);
  return endpoints;
}

}  // namespace sablespur
