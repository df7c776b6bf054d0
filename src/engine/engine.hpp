// The turn: what has come in is gathered, handed to the Balancer in one go, and what it decided is carried
// out. Knows requests, answers and members; of the protocols on both sides it knows nothing.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "balancer/balancer.hpp"
#include "cluster/gossip.hpp"
#include "config/config.hpp"
#include "engine/clock.hpp"
#include "engine/event.hpp"
#include "engine/reference_clock.hpp"

namespace sablespur::translation {
class AnswerReader;
struct Side;
}  // namespace sablespur::translation

namespace sablespur {

using balancer::AttemptResult;
using balancer::EndpointId;
using balancer::RequestId;

// A request as it goes on to a member; between the two parts stands what is left of its time, in ms.
struct RequestMessage {
  Buffer before, after;
  std::shared_ptr<const translation::Side>
      from;             // what its writer said of itself; null: what everyone takes for granted
  std::string id, key;  // as its writer named it, and its idempotency key; empty: none
  Time clockOffset{};   // Engine::clockOffset() when the request's tokenMs was counted
};

// What a member answered, as it came; the engine passes it on unseen.
struct Answer {
  Buffer messages;
  const translation::AnswerReader* reader = nullptr;  // of the form that they are in
  bool problem = false;                               // one error, for what the statement says
};

// Whoever asked. It says so by Engine::left when it goes before it got one of these, once.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void served(Answer) = 0;
  virtual void rejected(Time retryAfter) = 0;  // 0: no word on when to come back
  virtual void failed() = 0;
};

// Where requests come in: the engine, or what stands before it. Ids are the entrance's own.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Answered by the Requester, after this call has returned.
  virtual RequestId request(ResponseHandler&, balancer::Request,
                            RequestMessage) = 0;  // the request's id is given here
  virtual void clientDisconnected(RequestId) = 0;
};

struct AttemptEnd;
// Whoever keeps account of attempts; called within a turn, before what comes of it is carried out.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  virtual void attemptSent(RequestId, int attempt, const std::string& member) = 0;
  virtual void attemptEnded(RequestId, int attempt, const AttemptEnd&) = 0;
};

// Whoever tells other proxies what answers and probes have told this one; called within a turn, flushed at
// its end.
class ReplicationObserver {
 public:
  virtual ~ReplicationObserver() = default;
  virtual void statusObserved(const cluster::GossipUpdate&) = 0;
  virtual void flush() = 0;
};

// The way to the members. Each send ends in one Engine::ended, each probe in one Engine::probed; both come
// after the call has returned.
class Backend {
 public:
  virtual ~Backend() = default;
  // warmAt: until then it has just started, and what all proxies send it is bounded (the cold budget).
  virtual void endpointListed(EndpointId, const Address&, bool ready, Time warmAt) = 0;
  virtual void send(RequestId, int attempt, EndpointId, Time until,
                    std::shared_ptr<const RequestMessage>) = 0;
  virtual void continueAttempt(RequestId, int attempt, bool fit) = 0;  // answers Engine::connected
  virtual void cancel(RequestId, int attempt) = 0;
  virtual void startHealthCheck(EndpointId) = 0;
  virtual void removeEndpoint(EndpointId) = 0;  // nothing is out there, and nothing will be sent
};

// Where the list comes from. Each watch brings Engine::listed time and again, or Engine::listFailed once.
class DiscoverySource {
 public:
  virtual ~DiscoverySource() = default;
  virtual void watch(std::uint64_t after) = 0;
};

enum class Role { Unknown, Primary, Replica };

// How an attempt ended.
struct AttemptEnd {
  AttemptResult result = AttemptResult::Reset;
  Role role = Role::Unknown;
  std::int64_t positionMs = 0;    // Unix time; 0: not told
  bool invalidStatement = false;  // the member turned the statement away for what it says
  Answer answer;                  // AttemptResult::Ok; with badStatement the error, if it is to be told
};

// Positions as the module takes them: after a zero that is near, rounded down, 0 where there is none.
float secondsSince(Time zero, double unixSeconds);
std::uint32_t millisecondsSince(Time zero, std::int64_t unixMs);  // below 2^30

class Engine final : public RequestHandler, public EndpointListConsumer, balancer::ActionSink {
 public:
  Engine(event_base*, const Config&, ClockSource = {});
  ~Engine() override;
  void setAttemptObserver(AttemptObserver* w) { witness_ = w; }            // null: none
  void setReplicationObserver(ReplicationObserver* c) { confidant_ = c; }  // null: none
  void start(Backend&, DiscoverySource&);  // tells the Balancer the list that the configuration holds

  // What has come in; it waits for the turn.
  RequestId request(ResponseHandler&, balancer::Request, RequestMessage) override;
  void clientDisconnected(RequestId) override;
  void connectionReady(RequestId, int attempt);  // a new connection stands: may the attempt still go out?
  void attemptEnded(RequestId, int attempt, EndpointId, AttemptEnd);
  void healthCheckEnded(EndpointId, bool ok, const std::vector<double>& report);  // positions in Unix seconds
  void gossipReceived(const cluster::GossipUpdate&);  // from another proxy: weighed, never needed
  void endpointsListed(EndpointList) override;
  void discoveryFailed(const std::string& why) override;

  std::uint64_t generation() const override { return generation_; }  // of the list as it is known
  // Staff take a data server out of use, or back, in this pass of the loop. False: the list has never named
  // it.
  bool suspend(const std::string& name, bool on);
  void restoreSuspension(const std::string& name);  // before the start: from an earlier process of this proxy
  void updateSettings(const balancer::Settings&);   // new settings, for what comes from here on
  std::string endpointName(EndpointId) const;
  bool hasPendingEvents() const { return !events_.empty(); }
  void runTurn();
  void removeExpired(Time now);  // forgets what is gone and quiet; the turn does it now and then
  Time now() const { return clock_.now(); }
  const Clock& clock() const { return clock_; }
  // Unix time, for what other machines tell in it: an instant to be compared with theirs, never a span's end.
  Time unixNow() const { return clock_.now() + offset_; }
  Time clockOffset() const { return offset_; }

 private:
  struct Arrived {
    balancer::Request request;
  };
  struct Left {
    RequestId id;
  };
  struct Connected {
    RequestId id;
    int attempt;
  };
  struct Ended {
    RequestId id;
    int attempt;
    EndpointId member;
    AttemptEnd ending;
  };
  struct Probed {
    EndpointId member;
    bool ok;
    std::vector<double> report;
  };
  struct Listed {
    bool failed;
    EndpointList list;
  };
  struct Heard {};  // see gossip_
  struct Suspended {
    std::string name;
    bool on;
  };
  struct Settled {
    balancer::Settings settings;
  };
  using Incoming = std::variant<Arrived, Left, Connected, Ended, Probed, Listed, Heard, Suspended, Settled>;
  struct Held {
    ResponseHandler* asker;
    std::shared_ptr<const RequestMessage> message;
    int cls;
    struct Sent {
      EndpointId member;
      Time at;
    };
    std::vector<Sent> sent;  // by attempt
  };
  struct Timer {
    Time due;
    std::uint64_t turn, token;
    bool operator>(const Timer& o) const { return due != o.due ? due > o.due : turn > o.turn; }
  };

  void tell(Arrived&);
  void tell(Left&);
  void tell(Connected&);
  void tell(Ended&);
  void tell(Probed&);
  void tell(Listed&);
  void tell(Heard&);
  void tell(Suspended&);
  void tell(Settled&);
  void tellOn(const Ended&);
  void tellOn(const Probed&);
  cluster::GossipUpdate hintOf(const Probed&) const;
  void tellList(balancer::ListKind, const EndpointList&);
  void rebase();
  void followWallClock();
  void primaryTold(EndpointId, Time position, Time sent);
  void applyOffset();
  Time startOf(EndpointId, const DiscoveredEndpoint&, bool fromFirstLists);
  void judgeStartsAnew();
  EndpointId idOf(const std::string& name);

  void send(RequestId, EndpointId, Time until) override;
  void reject(RequestId, Time retryAfter) override;
  void fail(RequestId) override;
  void cancel(RequestId, int attempt) override;
  void scheduleTimer(Time in, std::uint64_t token) override;
  void startHealthCheck(EndpointId) override;
  void subscribe() override;
  void log(const std::string& line) override;

  const Config& config_;
  struct Start {
    std::int64_t stampMs = 0;  // as the list tells it
    Time at{};                 // on this process's clock
    bool byStamp = false;      // judged by the stamp: it was in the first lists
    balancer::ListedEndpoint listed;
  };

  Clock clock_;
  ReferenceClock reference_;
  Time offset_{};      // of other machines' Unix time to clock_, as the Balancer has been told
  Time wallReadAt_{};  // when the wall clock was last looked at
  Time now_;           // of this turn
  Time zero_;          // positions are told to the Balancer from here on
  Backend* members_ = nullptr;
  DiscoverySource* lists_ = nullptr;
  AttemptObserver* witness_ = nullptr;
  ReplicationObserver* confidant_ = nullptr;
  std::vector<Incoming> events_;
  std::vector<cluster::GossipUpdate> gossip_;   // heard since the last turn; keeps its storage
  std::vector<std::function<void()>> actions_;  // recorded in the order in which they take effect
  std::unordered_map<RequestId, Held> held_;
  std::unordered_map<std::string, EndpointId> ids_;
  std::unordered_map<EndpointId, std::string> names_;  // of each id in ids_
  std::unordered_set<std::string> everListed_;         // bounded; what is suspended is in banned_ as well
  std::unordered_set<std::string> banned_;
  std::unordered_set<EndpointId> ready_;                  // by the list
  std::unordered_map<std::uint64_t, EndpointId> tagged_;  // 0: two members share the tag, so it names neither
  std::unordered_map<EndpointId, std::uint64_t> tags_;
  std::uint64_t generation_ = 0;
  std::unordered_map<EndpointId, Start> starts_;  // of those whose start the list tells
  std::unordered_map<EndpointId, Time> probedAt_;
  int listsTold_ = 0;
  EndpointId lastMember_ = 0;
  RequestId lastId_ = 0;
  Time swept_{};
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> timers_;
  std::uint64_t timersSet_ = 0;
  Event alarm_;  // wakes the loop for the first timer
  std::unique_ptr<balancer::Balancer> balancer_;
};

}  // namespace sablespur
