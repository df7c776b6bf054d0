// DnsSdDirectory: what is stored of the answers.
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

// Bounds what one answer can make the directory keep.
constexpr std::size_t kMaxInstances = 4096;
// So many instances without their records in a PTR answer are worth a connection.
constexpr std::size_t kMaxMissingRecordsOverUdp = 3;

bool answersQuestion(const Record& record, const Question& question) {
  return record.type == question.type && record.name == question.name;
}

// RFC 2308 section 5: the lesser of the SOA's minimum and its own TTL; 0 without an SOA.
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

// Takes the sets that are of use, those that are known by name already. Only what stands within the domain is
// believed; the rest may be anyone's.
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

// Additionals bring all addresses of a target (RFC 6763 section 12.2): where they are IPv6 alone, it has no
// IPv4 address.
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
  if (it == sets_.end()) return;  // of an instance that has gone meanwhile
  if (classifyAnswer(question, message) == AnswerKind::Unusable) return handleFailure(now, question);
  queryEnded(question, it->second);
  if (question == ptrQuestion_) return handlePtrAnswer(now, message, overTcp);
  storeAnswer(now, question, message);
  resolveInstancesOf(question);
  // A target may have become known by this, and its addresses may stand in the same answer.
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

// Returns the instances that are listed.
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
      faults_[*name] = "named by PTR, and no instance of the service";
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
  // Targets have become known: their addresses may stand in the same answer.
  storeAdditionals(now, message.additionals);
  resolveInstances();
  removeUnlisted();
  ptr_.broughtAll = classifyAnswer(ptrQuestion_, message) == AnswerKind::Records && additionalsComplete();
  chooseTransport(now, overTcp);
}

void DnsSdDirectory::chooseTransport(Time now, bool answeredOverTcp) {
  if (ptr_.roundsWithoutTcp > 0) --ptr_.roundsWithoutTcp;
  const auto missing = std::count_if(sets_.begin(), sets_.end(), [&](const auto& entry) {
    return entry.first.type == Type::Srv && entry.second.refreshAt <= now;
  });
  const bool manyMissing = static_cast<std::size_t>(missing) > kMaxMissingRecordsOverUdp;
  if (answeredOverTcp && manyMissing) {  // TCP brings no more than a datagram
    ptr_.overTcp = false;
    ptr_.roundsWithoutTcp = kRoundsWithoutTcp;
  } else if (answeredOverTcp) {
    ptr_.overTcp = true;
  } else if (manyMissing && ptr_.roundsWithoutTcp == 0) {
    ptr_.overTcp = true;
    sets_[ptrQuestion_].refreshAt = now;  // again, over TCP
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
