// Caches the records of one DNS-SD service in one domain, derives the endpoints that they describe,
// and decides which queries are due. Pure: no sockets, no clock.
//
// Records (RFC 6763 sections 4 to 6): PTR lists the instances, SRV and TXT describe each instance,
// A or AAAA hold the address of its target. They arrive as answers or in the additional section.
//
// Query strategy:
// - PTR only: while the PTR answer carries all other records as additionals, a refresh is one PTR
//   query.
// - PTR over TCP: used when many records are missing from a UDP answer, as they may not fit a
//   datagram.
// - Single records: records that no PTR answer carries are queried individually.
//
// Refresh: a record set is queried again after its TTL, clamped to [minRefresh, maxRefresh] and
// shortened by a random fraction of up to `jitter`, so that proxies started together do not query
// in step. If a query fails, the cached records stay in use; only a negative answer (RFC 2308)
// removes them.
//
// Priority: PTR queries are never delayed by other queries. Queries for single records share a
// budget per second. In a zone with more instances than fit into one answer, the data of a record
// may therefore be older than its TTL, but withdrawals are still seen on time. An answer for a
// single record is processed in time proportional to its contents, not to the number of instances.
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
  // Throws BadInput if the service or domain of the settings is not a valid domain name.
  DnsSdDirectory(const DnsSdSettings&, const std::vector<GroupName>&, std::uint64_t seed);

  struct Query {
    dns::Question question;
    bool overTcp = false;
  };
  // Returns the queries to send now. The caller must report the outcome of each with exactly one
  // call of handleAnswer or handleFailure.
  std::vector<Query> dueQueries(Time now);
  void handleAnswer(Time now, const dns::Question&, const dns::Message&, bool overTcp);
  void handleFailure(Time now, const dns::Question&);
  // Returns when dueQueries next has a query; std::nullopt while a PTR query is in flight.
  std::optional<Time> nextDeadline() const;

  // Whether the instance list is known and every record set has been received or its query has ended
  // at least once, successfully or not. Stays true from then on.
  bool isComplete();
  // Incremented whenever instances() or faults() may have changed.
  std::uint64_t version() const { return version_; }
  // Returns the endpoints of the listed instances with valid records. An endpoint whose records are
  // being queried again, as after a change of target, is returned as it was last known.
  std::vector<DiscoveredEndpoint> instances() const;
  // The reasons for which instances are ignored, by instance name.
  const std::map<std::string, std::string>& faults() const { return faults_; }
  // Whether the last PTR query failed.
  bool failing() const { return ptr_.failures > 0; }

 private:
  // The cached records of one name and type, and the state of their queries.
  struct RecordSet {
    enum class State { Unknown, Known, Absent } state = State::Unknown;
    std::vector<dns::Data> data;
    Time refreshAt{};
    bool inFlight = false;
    bool attempted = false;  // received or queried at least once
    int failures = 0;        // consecutive
  };
  // The records of one name and type in one message.
  struct ReceivedRecords {
    std::vector<dns::Data> data;
    std::uint32_t ttl = 0;  // seconds; the shortest of the records
    void add(const dns::Record&);
  };
  // State of the PTR queries, which list the instances.
  struct PtrState {
    int failures = 0;  // consecutive
    Time answeredAt{};
    bool lastAnswerComplete = false;  // the last answer carried the SRV records of all instances
    bool overTcp = false;             // the next query goes over TCP
    int refreshesWithoutTcp = 0;      // refreshes until TCP is tried again
  };
  // The endpoint that the records of an instance describe, or the reason to ignore it. Neither is
  // set while records are still unknown.
  struct Description {
    std::optional<DiscoveredEndpoint> endpoint;
    std::string fault;
  };

  // Scheduling of queries (directory.cpp).
  bool ptrQueryDue(Time now) const;
  std::vector<Query> dueRecordQueries(Time now);
  std::vector<std::pair<const dns::Question, RecordSet>*> dueRecordSets(Time now);
  void queryEnded(const dns::Question&, RecordSet&);
  const RecordSet* find(const dns::Name&, dns::Type) const;
  std::vector<dns::Name> listedInstances() const;

  // Storing of answers (directory_answers.cpp).
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

  // Deriving endpoints from records (directory_endpoints.cpp).
  void resolveInstances();
  void resolveInstance(const dns::Name&);
  void resolveInstancesOf(const dns::Question&);
  Description describeInstance(const dns::Name&);
  const RecordSet& addressesOf(const dns::Name& target);
  Address chooseAddress(const dns::Name& instance, const std::vector<dns::Data>& records, std::uint16_t port);
  bool updateEndpoint(const dns::Name& instance, Description&);
  bool updateFault(const dns::Name& instance, const std::string& fault);
  // Removes the records, targets and chosen addresses of instances that are no longer listed.
  void removeUnlisted();
  bool isNeeded(const dns::Question&, const std::set<dns::Name>& listed) const;

  // Number of refreshes without TCP after TCP failed or did not return more records than UDP.
  static constexpr int kRefreshesWithoutTcp = 20;

  const DnsSdSettings settings_;
  const std::vector<GroupName> groups_;
  const dns::Question ptrQuestion_;
  const dns::Name domain_;

  std::map<dns::Question, RecordSet> sets_;
  RefreshSchedule schedule_;
  PtrState ptr_;
  QueryBudget recordQueryBudget_;  // for single-record queries
  std::size_t recordQueriesInFlight_ = 0;

  std::map<dns::Name, DiscoveredEndpoint> endpoints_;
  std::map<dns::Name, Address> chosenAddresses_;  // by instance; reused while still listed
  TargetIndex targets_;
  std::map<std::string, std::string> faults_;
  std::uint64_t version_ = 0;
  bool complete_ = false;
};

}  // namespace sablespur
