// What DNS-SD has told of one service in one domain, and what has to be asked next. Pure: no sockets, no
// clock.
//
// PTR names the instances, SRV and TXT describe each, A or AAAA give the target's address (RFC 6763 sections
// 4 to 6). Records come as answers or as additionals; where the PTR answer brings all of them along, it is
// the only question of a refresh. Where it does not for want of room in a datagram, it is asked over TCP;
// where it does not at all, each record is asked for by itself.
//
// A set of records is asked for again after its TTL, bounded on both sides and shortened by a random part of
// up to `jitter`, so that proxies started together drift apart. What cannot be asked stands as it was; only
// an answer that says "it is not there" (RFC 2308) takes it away.
//
// PTR is asked on time, whatever else there is. Questions for single records have a budget a second: where a
// zone has more instances than an answer has room for, what a record says may be older than its TTL, but a
// withdrawal is told on time. The cost of an answer grows with what it holds, not with the number of
// instances.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "protocol/dns/message.hpp"

namespace sablespur {

// What an answer is good for.
enum class AnswerKind {
  Records,   // it holds what was asked for
  Negative,  // it says with authority that there is none
  Unusable   // an error, or an empty answer from one that knows nothing of the name: ask another
};
AnswerKind classifyAnswer(const dns::Question&, const dns::Message&);

class DnsSdDirectory {
 public:
  DnsSdDirectory(const DnsSdSettings&, const std::vector<GroupName>&, std::uint64_t seed);

  struct Query {
    dns::Question question;
    bool tcp = false;
  };
  std::vector<Query> dueQueries(Time now);  // each then ends in one of the next two
  void handleAnswer(Time now, const dns::Question&, const dns::Message&, bool tcp);
  void handleFailure(Time now, const dns::Question&);
  std::optional<Time> nextDeadline() const;  // when due has something, if nothing is out

  bool isComplete();                                  // everything has been asked for at least once
  std::uint64_t version() const { return version_; }  // another one where instances() or faults() may differ
  std::vector<DiscoveredEndpoint> instances() const;  // those that are whole
  // Those that are not, by name, and why; for the log and for staff.
  const std::map<std::string, std::string>& faults() const { return faults_; }
  bool failing() const { return ptrFailures_ > 0; }

 private:
  struct RecordSet {  // the records of a name and type
    enum class State { Unknown, Known, Absent } state = State::Unknown;
    std::vector<dns::Data> data;
    Time refreshAt{};
    bool inFlight = false, attempted = false;
    int failures = 0;
  };
  void storeRecords(Time now, const dns::Question&, std::vector<dns::Data>, std::uint32_t ttl);
  void storeNegativeAnswer(Time now, const dns::Question&, const dns::Message&);
  std::vector<dns::Question> storeKnownRecords(Time now, const std::vector<dns::Record>&, bool additional);
  void handlePtrAnswer(Time now, const dns::Message&, bool tcp);
  void resolveInstances();
  void resolve(const dns::Name& instance);
  void resolve(const dns::Question&);  // the instances that it is of
  void describeInstance(const dns::Name& instance, std::optional<DiscoveredEndpoint>&, std::string& fault);
  void removeUnlisted();
  bool spendQueryBudget(Time now);
  std::vector<dns::Name> listedInstances() const;
  const RecordSet* find(const dns::Name&, dns::Type) const;
  Time refreshTime(Time now, std::uint32_t ttl);
  Time backoff(int failures);
  bool additionalsComplete() const;

  const DnsSdSettings settings_;
  const std::vector<GroupName> groups_;
  const dns::Question ptr_;
  const dns::Name domain_;
  pcg32 random_;
  std::map<dns::Question, RecordSet> sets_;
  std::map<dns::Name, DiscoveredEndpoint> endpoints_;
  std::map<dns::Name, Address> chosenAddresses_;  // of each instance: kept while it is still listed
  std::map<dns::Name, std::set<dns::Name>> instancesByTarget_;  // instances by target
  std::map<dns::Name, dns::Name> targetByInstance_;             // and the other way
  std::map<std::string, std::string> faults_;
  std::uint64_t version_ = 0;
  bool complete_ = false;
  double queryBudget_ = 0;  // of questions for single records
  Time queryBudgetUpdatedAt_{};
  std::size_t recordQueriesInFlight_ = 0;
  int ptrFailures_ = 0;
  bool lastAnswerComplete_ = false;  // the last PTR answer brought all else along
  bool ptrOverTcp_ = false;          // PTR is asked over TCP
  int roundsWithoutTcp_ = 0;         // rounds until TCP is tried again for what a datagram has no room for
  Time lastPtrAnswer_{};             // of the last PTR answer
};

}  // namespace sablespur
