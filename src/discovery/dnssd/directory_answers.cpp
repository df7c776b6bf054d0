// Storing of answers in DnsSdDirectory.
#include <algorithm>
#include <utility>

#include "discovery/dnssd/answer_kind.hpp"
#include "discovery/dnssd/directory.hpp"

namespace sablespur {

using dns::Message;
using dns::Name;
using dns::Question;
using dns::Record;
using dns::Type;

namespace {

// Bounds the memory that one answer can make the directory use.
constexpr std::size_t kMaxInstances = 4096;
// With more instances than this lacking an SRV record after a PTR answer, the query is repeated
// over TCP.
constexpr std::size_t kMaxMissingRecordsOverUdp = 3;

bool answersQuestion(const Record& record, const Question& question) {
  return record.type == question.type && record.name == question.name;
}

// RFC 2308 section 5: the lesser of the SOA's MINIMUM field and its own TTL; 0 without an SOA.
std::uint32_t negativeTtl(const Message& message) {
  const dns::Soa* const soa = soaOf(message);
  if (!soa) return 0;
  std::uint32_t ttl = soa->minimum;
  for (const Record& record : message.authorities)
    if (record.type == Type::Soa) ttl = std::min(ttl, record.ttl);
  return ttl;
}

}  // namespace

void DnsSdDirectory::ReceivedRecords::add(const Record& record) {
  ttl = data.empty() ? record.ttl : std::min(ttl, record.ttl);
  data.push_back(record.data);
}

void DnsSdDirectory::storeRecords(Time now, const Question& question, ReceivedRecords received) {
  RecordSet& set = sets_[question];
  set.state = RecordSet::State::Known;
  set.data = std::move(received.data);
  set.refreshAt = schedule_.afterAnswer(now, received.ttl);
  set.attempted = true;
  set.failures = 0;
}

void DnsSdDirectory::storeAbsence(Time now, const Question& question, std::uint32_t ttl) {
  RecordSet& set = sets_[question];
  set.state = RecordSet::State::Absent;
  set.data.clear();
  set.refreshAt = schedule_.afterAnswer(now, ttl);
  set.attempted = true;
}

void DnsSdDirectory::storeNegativeAnswer(Time now, const Question& question, const Message& message) {
  storeAbsence(now, question, negativeTtl(message));
  sets_[question].failures = 0;
}

// Stores the additional records that belong to known record sets and returns these sets. Records
// outside the domain are ignored, because the name server need not be authoritative for them.
std::vector<Question> DnsSdDirectory::storeAdditionals(Time now, const std::vector<Record>& records) {
  std::map<Question, ReceivedRecords> received;
  for (const Record& record : records) {
    const Question question{record.name, record.type};
    if (question == ptrQuestion_ || record.type == Type::Soa || sets_.count(question) == 0) continue;
    if (dns::isWithin(record.name, domain_)) received[question].add(record);
  }
  std::vector<Question> stored;
  for (auto& [question, set] : received) {
    storeRecords(now, question, std::move(set));
    stored.push_back(question);
  }
  storeIpv6OnlyTargets(now, records, stored);
  return stored;
}

// The additionals hold all addresses of a target (RFC 6763 section 12.2). If they hold only AAAA
// records, the target has no IPv4 address, and its A record set is stored as absent.
void DnsSdDirectory::storeIpv6OnlyTargets(Time now, const std::vector<Record>& records,
                                          std::vector<Question>& stored) {
  const std::set<Question> known(stored.begin(), stored.end());
  std::map<Name, ReceivedRecords> ipv6Only;
  for (const Record& record : records) {
    if (record.type != Type::Aaaa || !dns::isWithin(record.name, domain_)) continue;
    const Question ipv4{record.name, Type::A};
    if (sets_.count(ipv4) > 0 && known.count(ipv4) == 0) ipv6Only[record.name].add(record);
  }
  for (auto& [name, set] : ipv6Only) {
    const Question ipv6{name, Type::Aaaa};
    storeAbsence(now, {name, Type::A}, set.ttl);
    storeRecords(now, ipv6, std::move(set));
    stored.push_back(ipv6);
  }
}

void DnsSdDirectory::handleAnswer(Time now, const Question& question, const Message& message, bool overTcp) {
  const auto it = sets_.find(question);
  if (it == sets_.end()) return;  // the instance was removed while the query was in flight
  if (classifyAnswer(question, message) == AnswerKind::Unusable) return handleFailure(now, question);
  queryEnded(question, it->second);
  if (question == ptrQuestion_) return handlePtrAnswer(now, message, overTcp);
  storeAnswer(now, question, message);
  resolveInstancesOf(question);
  // An SRV answer may add a target whose addresses are in the additionals of the same message.
  for (const Question& other : storeAdditionals(now, message.additionals)) resolveInstancesOf(other);
}

void DnsSdDirectory::storeAnswer(Time now, const Question& question, const Message& message) {
  if (classifyAnswer(question, message) != AnswerKind::Records)
    return storeNegativeAnswer(now, question, message);
  ReceivedRecords received;
  for (const Record& record : message.answers)
    if (answersQuestion(record, question)) received.add(record);
  storeRecords(now, question, std::move(received));
}

// Stores the PTR records and returns the instances that they list.
std::vector<Name> DnsSdDirectory::storePtrRecords(Time now, const Message& message) {
  ReceivedRecords received;
  std::set<Name> listed;
  faults_.clear();
  for (const Record& record : message.answers) {
    const Name* const name =
        answersQuestion(record, ptrQuestion_) ? std::get_if<Name>(&record.data) : nullptr;
    if (!name) continue;
    received.ttl = received.data.empty() ? record.ttl : std::min(received.ttl, record.ttl);
    if (!dns::isWithin(*name, ptrQuestion_.name) || *name == ptrQuestion_.name)
      faults_[*name] = "PTR record does not name an instance of the service";
    else if (received.data.size() < kMaxInstances && listed.insert(*name).second)
      received.data.emplace_back(*name);
  }
  if (classifyAnswer(ptrQuestion_, message) == AnswerKind::Records)
    storeRecords(now, ptrQuestion_, std::move(received));
  else
    storeNegativeAnswer(now, ptrQuestion_, message);
  return {listed.begin(), listed.end()};
}

void DnsSdDirectory::handlePtrAnswer(Time now, const Message& message, bool overTcp) {
  ptr_.failures = 0;
  ptr_.answeredAt = now;
  for (const Name& name : storePtrRecords(now, message))
    for (const Type type : {Type::Srv, Type::Txt}) sets_[{name, type}];
  storeAdditionals(now, message.additionals);
  resolveInstances();
  // The SRV records just stored add targets, whose addresses may be among the additionals as well.
  storeAdditionals(now, message.additionals);
  resolveInstances();
  removeUnlisted();
  ptr_.lastAnswerComplete =
      classifyAnswer(ptrQuestion_, message) == AnswerKind::Records && additionalsComplete();
  chooseTransport(now, overTcp);
}

void DnsSdDirectory::chooseTransport(Time now, bool answeredOverTcp) {
  if (ptr_.refreshesWithoutTcp > 0) --ptr_.refreshesWithoutTcp;
  const auto missing = std::count_if(sets_.begin(), sets_.end(), [&](const auto& entry) {
    return entry.first.type == Type::Srv && entry.second.refreshAt <= now;
  });
  const bool manyMissing = static_cast<std::size_t>(missing) > kMaxMissingRecordsOverUdp;
  if (answeredOverTcp && manyMissing) {  // TCP did not return more records than UDP
    ptr_.overTcp = false;
    ptr_.refreshesWithoutTcp = kRefreshesWithoutTcp;
  } else if (answeredOverTcp) {
    ptr_.overTcp = true;
  } else if (manyMissing && ptr_.refreshesWithoutTcp == 0) {
    ptr_.overTcp = true;
    sets_[ptrQuestion_].refreshAt = now;  // repeat the query at once, over TCP
  }
}

bool DnsSdDirectory::additionalsComplete() const {
  const std::vector<Name> listed = listedInstances();
  const auto isFresh = [&](const Name& instance) {
    const RecordSet* const srv = find(instance, Type::Srv);
    return srv && srv->refreshAt > ptr_.answeredAt;
  };
  return !listed.empty() && std::all_of(listed.begin(), listed.end(), isFresh);
}

}  // namespace sablespur
