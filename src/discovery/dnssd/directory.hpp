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

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "discovery/dnssd/query_budget.hpp"
#include "discovery/dnssd/refresh_schedule.hpp"
#include "discovery/dnssd/target_index.hpp"
#include "protocol/dns/message.hpp"

namespace sablespur {

class DnsSdDirectory {
 public:
  // Throws BadInput where the settings name no domain.
  DnsSdDirectory(const DnsSdSettings&, const std::vector<GroupName>&, std::uint64_t seed);

  struct Query {
    dns::Question question;
    bool overTcp = false;
  };
  // The queries to send now. Each ends in one call of handleAnswer or handleFailure.
  std::vector<Query> dueQueries(Time now);
  void handleAnswer(Time now, const dns::Question&, const dns::Message&, bool overTcp);
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
  // Whether the last PTR query has failed.
  bool failing() const { return ptr_.failures > 0; }

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
  // Records of one name and type as a message brings them.
  struct ReceivedRecords {
    std::vector<dns::Data> data;
    std::uint32_t ttl = 0;  // the shortest
    void add(const dns::Record&);
  };
  // How the queries for the list of instances go.
  struct PtrState {
    int failures = 0;  // in a row
    Time answeredAt{};
    bool broughtAll = false;   // the last answer brought all other records along
    bool overTcp = false;      // the next query goes over TCP
    int roundsWithoutTcp = 0;  // refreshes until TCP is tried again
  };
  // What the records of an instance amount to. Neither: some are not known yet.
  struct Description {
    std::optional<DiscoveredEndpoint> endpoint;
    std::string fault;
  };

  // Queries (directory.cpp): what is due when.
  bool ptrQueryDue(Time now) const;
  std::vector<Query> dueRecordQueries(Time now);
  std::vector<std::pair<const dns::Question, RecordSet>*> dueRecordSets(Time now);
  void queryEnded(const dns::Question&, RecordSet&);
  const RecordSet* find(const dns::Name&, dns::Type) const;
  std::vector<dns::Name> listedInstances() const;

  // Answers (directory_answers.cpp): what is stored.
  void storeRecords(Time now, const dns::Question&, ReceivedRecords);
  void storeAbsence(Time now, const dns::Question&, std::uint32_t ttl);
  void storeNegativeAnswer(Time now, const dns::Question&, const dns::Message&);
  void storeAnswer(Time now, const dns::Question&, const dns::Message&);
  std::vector<dns::Question> storeAdditionals(Time now, const std::vector<dns::Record>&);
  void storeIpv6OnlyTargets(Time now, const std::vector<dns::Record>&, std::vector<dns::Question>& stored);
  std::vector<dns::Name> storePtrRecords(Time now, const dns::Message&);
  void handlePtrAnswer(Time now, const dns::Message&, bool overTcp);
  void chooseTransport(Time now, bool answeredOverTcp);
  bool additionalsComplete() const;

  // Endpoints (directory_endpoints.cpp): what the records amount to.
  void resolveInstances();
  void resolveInstance(const dns::Name&);
  void resolveInstancesOf(const dns::Question&);
  Description describeInstance(const dns::Name&);
  const RecordSet& addressesOf(const dns::Name& target);
  Address chooseAddress(const dns::Name& instance, const std::vector<dns::Data>& records, std::uint16_t port);
  bool updateEndpoint(const dns::Name& instance, Description&);
  bool updateFault(const dns::Name& instance, const std::string& fault);
  // Drops what belongs to instances that are no longer listed.
  void removeUnlisted();
  bool isNeeded(const dns::Question&, const std::set<dns::Name>& listed) const;

  // After TCP failed or brought no more than a datagram, so many refreshes go without it.
  static constexpr int kRoundsWithoutTcp = 20;

  const DnsSdSettings settings_;
  const std::vector<GroupName> groups_;
  const dns::Question ptrQuestion_;
  const dns::Name domain_;

  std::map<dns::Question, RecordSet> sets_;
  RefreshSchedule schedule_;
  PtrState ptr_;
  QueryBudget recordQueryBudget_;  // of queries for single records
  std::size_t recordQueriesInFlight_ = 0;

  std::map<dns::Name, DiscoveredEndpoint> endpoints_;
  std::map<dns::Name, Address> chosenAddresses_;  // of each instance: kept while it is still listed
  TargetIndex targets_;
  std::map<std::string, std::string> faults_;
  std::uint64_t version_ = 0;
  bool complete_ = false;
};

}  // namespace sablespur
