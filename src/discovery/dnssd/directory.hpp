// The records of one DNS-SD service in one domain, the endpoints that they describe, and the queries that are
// due. Pure: no sockets, no clock.
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

class DnsSdDirectory {
 public:
  DnsSdDirectory(const DnsSdSettings&, const std::vector<GroupName>&, std::uint64_t seed);

  struct Query {
    dns::Question question;
    bool tcp = false;
  };
  // The queries to send now. Each ends in one call of handleAnswer or handleFailure.
  std::vector<Query> dueQueries(Time now);
  void handleAnswer(Time now, const dns::Question&, const dns::Message&, bool tcp);
  void handleFailure(Time now, const dns::Question&);
  // When dueQueries has something, unless a PTR query is in flight.
  std::optional<Time> nextDeadline() const;

  // Whether everything has been queried at least once, with or without success.
  bool isComplete();
  // Changes whenever instances() or faults() may have.
  std::uint64_t version() const { return version_; }
  // The instances whose records are all known and valid.
  std::vector<DiscoveredEndpoint> instances() const;
  // The instances that are left out, by name, and why.
  const std::map<std::string, std::string>& faults() const { return faults_; }
  bool failing() const { return ptrFailures_ > 0; }

 private:
  // The records of a name and type.
  struct RecordSet {
    enum class State { Unknown, Known, Absent } state = State::Unknown;
    std::vector<dns::Data> data;
    Time refreshAt{};
    bool inFlight = false;
    bool attempted = false;
    int failures = 0;  // in a row
  };
  // What the records of an instance amount to. Neither: some are not known yet.
  struct Description {
    std::optional<DiscoveredEndpoint> endpoint;
    std::string fault;
  };

  // Queries: what is due when.
  std::vector<Query> dueRecordQueries(Time now);
  bool spendQueryBudget(Time now);
  Time refreshTime(Time now, std::uint32_t ttl);
  Time backoff(int failures);

  // Answers: what is stored.
  void storeRecords(Time now, const dns::Question&, std::vector<dns::Data>, std::uint32_t ttl);
  void storeNegativeAnswer(Time now, const dns::Question&, const dns::Message&);
  std::vector<dns::Question> storeKnownRecords(Time now, const std::vector<dns::Record>&, bool additional);
  void storeIpv6OnlyTargets(Time now, const std::vector<dns::Record>&, std::vector<dns::Question>& stored);
  std::vector<dns::Name> storePtrRecords(Time now, const dns::Message&);
  void handlePtrAnswer(Time now, const dns::Message&, bool tcp);
  void chooseTransport(Time now, bool answeredOverTcp);
  bool additionalsComplete() const;
  const RecordSet* find(const dns::Name&, dns::Type) const;
  std::vector<dns::Name> listedInstances() const;

  // Endpoints: what the records amount to.
  void resolveInstances();
  void resolve(const dns::Name& instance);
  void resolve(const dns::Question&);  // the instances that it concerns
  Description describeInstance(const dns::Name&);
  Address chooseAddress(const dns::Name& instance, const std::vector<dns::Data>& records, std::uint16_t port);
  void setTarget(const dns::Name& instance, const dns::Name& target);
  void removeFromTarget(const dns::Name& target, const dns::Name& instance);
  // Drops what belongs to instances that are no longer listed.
  void removeUnlisted();
  bool isNeeded(const dns::Question&, const std::set<dns::Name>& listed) const;

  const DnsSdSettings settings_;
  const std::vector<GroupName> groups_;
  const dns::Question ptr_;
  const dns::Name domain_;
  pcg32 random_;
  std::map<dns::Question, RecordSet> sets_;
  std::map<dns::Name, DiscoveredEndpoint> endpoints_;
  std::map<dns::Name, Address> chosenAddresses_;  // of each instance: kept while it is still listed
  std::map<dns::Name, std::set<dns::Name>> instancesByTarget_;
  std::map<dns::Name, dns::Name> targetByInstance_;
  std::map<std::string, std::string> faults_;
  std::uint64_t version_ = 0;
  bool complete_ = false;
  double queryBudget_ = 0;  // of queries for single records
  Time queryBudgetUpdatedAt_{};
  std::size_t recordQueriesInFlight_ = 0;
  int ptrFailures_ = 0;
  bool lastAnswerComplete_ = false;  // the last PTR answer brought all else along
  bool ptrOverTcp_ = false;          // the next PTR query goes over TCP
  int roundsWithoutTcp_ = 0;         // PTR refreshes until TCP is tried again
  Time lastPtrAnswer_{};
};

}  // namespace sablespur
