#include "durability/idempotency_handler.hpp"

#include <algorithm>
#include <ctime>
#include <deque>
#include <filesystem>
#include <random>
#include <stdexcept>
#include <unordered_map>
#include <vector>

#include "durability/group_commit_writer.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

using balancer::Idempotency;
using balancer::Requirement;
using durability::AttemptEffect;
using durability::Disposition;
using durability::GroupCommitWriter;
using durability::OperationResult;
using durability::Outcome;

constexpr Time kTickInterval = std::chrono::milliseconds(10);  // how often waiting requests are checked
constexpr Time kLeastWait = std::chrono::milliseconds(1);

AttemptEffect attemptEffect(const AttemptEnd& e) {
  if (e.invalidStatement) return AttemptEffect::NotExecuted;
  switch (e.result) {
    case AttemptResult::Ok:
      return AttemptEffect::Executed;
    case AttemptResult::Rejected:
    case AttemptResult::ConnectFailed:
    case AttemptResult::NotSent:
    case AttemptResult::TooStale:
      return AttemptEffect::NotExecuted;
    default:
      return AttemptEffect::MayHaveExecuted;
  }
}

durability::IdempotencyStoreSettings storeSettings(const StoreConfig& c) {
  durability::IdempotencyStoreSettings s;
  s.directory = c.directory;
  s.keyRetention = c.keyRetention;
  s.sessionRetention = c.sessionRetention;
  s.maxKeys = c.maxKeys;
  s.maxSessions = c.maxSessions;
  s.maxResponseBytes = c.maxResponseBytes;
  return s;
}

class DurableWriteHandler final : public IdempotencyHandler, AttemptObserver {
 public:
  DurableWriteHandler(event_base* base, Engine& engine, RequestHandler& next, const Config& c,
                      const translation::AnswerReader& reader, durability::FileHook* hook)
      : engine_(engine),
        next_(next),
        config_(*c.store),
        classes_(c.settings.classes),
        classNames_(c.classes),
        sessionTokensCarried_(c.settings.sessionTokensCarried),
        retryAfterAllowed_(c.settings.retryAfterAllowed),
        reader_(reader),
        random_(static_cast<std::mt19937::result_type>(c.seed)),
        writer_(
            base, storeSettings(config_),
            [this](GroupCommitWriter::State s, const std::string& why) { storeStateChanged(s, why); }, hook),
        startedAt_(engine.now()),
        deliverRejections_(event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void* self) {
              static_cast<DurableWriteHandler*>(self)->deliverRejections();
            },
            this)),
        tick_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<DurableWriteHandler*>(self)->tick(); },
            this)) {
    engine_.setAttemptObserver(this);
    if (writer_.state() == GroupCommitWriter::State::Up) {
      logStoreOpened();
    } else {
      storeStateChanged(writer_.state(), writer_.failureReason());
    }
  }
  ~DurableWriteHandler() override { engine_.setAttemptObserver(nullptr); }

  RequestId request(ResponseHandler& responseHandler, balancer::Request q, RequestMessage m) override {
    const balancer::ClassSettings& c = classes_[static_cast<std::size_t>(q.classIndex)];
    const bool keyed =
        c.requirement == Requirement::Write && c.idempotency == Idempotency::WithKey && !m.key.empty();
    const bool sessionRead =
        c.requirement == Requirement::Session && q.session != 0 && !sessionTokensCarried_;
    const bool sessionWrite = c.requirement == Requirement::Write && q.session != 0 && !sessionTokensCarried_;
    const RequestId id = ++lastId_;
    PendingRequest& e =
        *pending_.emplace(id, std::make_unique<PendingRequest>(*this, id, responseHandler, q, std::move(m)))
             .first->second;
    e.keyed = keyed;
    e.session = sessionRead || sessionWrite;
    e.write = c.requirement == Requirement::Write;
    e.arrived = engine_.now();
    if (keyed) {
      enqueueForKey(e);
    } else if (sessionRead && engine_.now() - startedAt_ < config_.sessionRetention) {
      readSessionPosition(e);
    } else {
      forward(e);
    }
    return id;
  }

  void clientDisconnected(RequestId id) override {
    const auto it = pending_.find(id);
    if (it == pending_.end()) return;
    PendingRequest& e = *it->second;
    if (e.forwardedId != 0) {
      next_.clientDisconnected(e.forwardedId);
      forwarded_.erase(e.forwardedId);
    }
    // The engine handles the disconnect in its next turn and may send another attempt before that,
    // so a request that was forwarded may have been executed.
    if (e.keyed && e.intentDurable)
      writer_.submitUnacknowledged(
          durability::AbandonRequest{e.message.key, e.message.id, e.forwardedId != 0});
    if (e.keyed && e.waitReason == WaitReason::Intent) revokeIntent(e);
    removeRequest(e);
  }

  IdempotencyView view() const override {
    IdempotencyView v = counts_;
    const GroupCommitWriter::Statistics f = writer_.statistics();
    v.directory = config_.directory;
    v.state = writer_.state() == GroupCommitWriter::State::Up     ? (slow_ ? "slow" : "up")
              : writer_.state() == GroupCommitWriter::State::Down ? "down"
                                                                  : "damaged";
    v.why = writer_.failureReason();
    v.epoch = writer_.recovered().epoch;
    v.keys = f.keys;
    v.sessions = f.sessions;
    v.operations = f.operations;
    v.commits = f.commits;
    v.largestGroup = f.largestGroup;
    v.lostOperations = f.lost;
    v.bytesOnDisk = f.bytesOnDisk;
    v.lastCommit = f.lastCommit;
    v.longestCommit = f.longestCommit;
    v.waiting = writer_.pendingOperations();
    return v;
  }

 private:
  enum class WaitReason { None, SameKey, Intent, Session, Outcome };
  // A request that this handler has accepted and not yet answered.
  struct PendingRequest final : ResponseHandler {
    PendingRequest(DurableWriteHandler& h, RequestId i, ResponseHandler& a, const balancer::Request& r,
                   RequestMessage&& m)
        : handler(h), id(i), responseHandler(a), request(r), message(std::move(m)) {}
    void served(Answer a) override { handler.requestServed(*this, std::move(a)); }
    void rejected(Time retryAfter) override { handler.requestRejected(*this, retryAfter); }
    void failed() override { handler.requestFailed(*this); }
    // Whether any attempt, including those in flight, may have executed the request.
    bool mayHaveRun() const { return mayHaveExecuted || attemptsInFlight > 0; }

    DurableWriteHandler& handler;
    const RequestId id;
    ResponseHandler& responseHandler;
    balancer::Request request;
    RequestMessage message;  // only its id and key once it is forwarded
    RequestId forwardedId = 0;
    bool keyed = false, session = false, write = false, intentDurable = false;
    bool mayHaveExecuted = false;  // an ended attempt may have executed it
    int attemptsInFlight = 0;
    std::int64_t positionMs = 0;
    Time arrived{}, waitingSince{};  // waitingSince: start of the current wait
    WaitReason waitReason = WaitReason::None;
    GroupCommitWriter::Ticket ticket;
    Answer answer;  // kept while its outcome is being committed
  };

  bool acceptsWrites() const { return writer_.state() == GroupCommitWriter::State::Up && !slow_; }
  Time randomRetryAfter() {
    if (!retryAfterAllowed_) return Time(0);
    return Time(std::uniform_int_distribution<std::int64_t>(config_.minRetryAfter.count(),
                                                            config_.maxRetryAfter.count())(random_));
  }
  void startWaiting(PendingRequest& e, WaitReason reason) {
    e.waitReason = reason;
    e.waitingSince = engine_.now();
    if (!event_pending(tick_.get(), EV_TIMEOUT, nullptr)) startTimer(tick_.get(), kTickInterval);
  }

  // Starts the request, or queues it while another request of the same key is in flight. Two
  // requests in flight at once could break the deduplication window, which the balancer counts from
  // the attempts of one request without knowing of the other's (found by the model check).
  void enqueueForKey(PendingRequest& e) {
    std::deque<RequestId>& queue = requestsByKey_[e.message.key];
    queue.push_back(e.id);
    if (queue.size() == 1) return beginIntent(e);
    ++counts_.waitedForSameKey;
    startWaiting(e, WaitReason::SameKey);
  }
  void removeRequest(PendingRequest& e) {
    const std::string key = e.keyed ? e.message.key : std::string();
    const RequestId id = e.id;
    pending_.erase(id);
    if (key.empty()) return;
    const auto queue = requestsByKey_.find(key);
    std::deque<RequestId>& ids = queue->second;
    const bool first = ids.front() == id;
    ids.erase(std::find(ids.begin(), ids.end(), id));
    if (ids.empty()) {
      requestsByKey_.erase(queue);
      return;
    }
    if (!first) return;
    PendingRequest& next = *pending_.at(ids.front());
    next.waitReason = WaitReason::None;
    beginIntent(next);
  }

  // ---- before forwarding ------------------------------------------------------------------------
  void beginIntent(PendingRequest& e) {
    if (!acceptsWrites()) {
      ++counts_.rejected;
      return rejectLater(e, randomRetryAfter());
    }
    startWaiting(e, WaitReason::Intent);
    const balancer::ClassSettings& c = classes_[static_cast<std::size_t>(e.request.classIndex)];
    durability::KeyedRequest a;
    a.id = e.message.id;
    a.key = e.message.key;
    a.className = classNames_[static_cast<std::size_t>(e.request.classIndex)];
    a.group = e.request.group;
    a.deduplicationWindow = c.deduplicationWindow;
    e.ticket =
        writer_.submit(durability::BeginKeyedRequest{std::move(a)},
                       [this, &e](bool durable, const OperationResult& s) { intentDecided(e, durable, s); });
  }
  void intentDecided(PendingRequest& e, bool durable, const OperationResult& s) {
    e.ticket.reset();
    e.waitReason = WaitReason::None;
    if (!durable || s.storeFull) {
      ++counts_.rejected;
      Time wait = randomRetryAfter();
      if (s.storeFull && retryAfterAllowed_) wait = std::max(wait, s.retryAfter);
      return reject(e, wait);
    }
    e.intentDurable = true;
    switch (s.disposition) {
      case Disposition::Execute:
        ++counts_.executed;
        return forward(e);
      case Disposition::Retry:
        ++counts_.retried;
        // The deduplication window of the data servers counts from the first send. The store
        // computed `sinceFirstSend` after the wait began, so subtracting it from `waitingSince`
        // gives a time that is not after the first send. Subtracting it from now would add the
        // duration of a slow commit.
        e.request.mayHaveRunSince = std::max(e.waitingSince - s.sinceFirstSend, Time(1));
        return forward(e);
      case Disposition::Replay: {
        ++counts_.replayed;
        Answer a;
        a.messages = newBuffer();
        append(a.messages.get(), s.response);
        a.reader = &reader_;
        writer_.submitUnacknowledged(durability::RecordResponseDelivered{e.message.key, e.message.id});
        ResponseHandler& responseHandler = e.responseHandler;
        removeRequest(e);
        return responseHandler.served(std::move(a));
      }
      case Disposition::OutcomeUnknown:
        ++counts_.outcomeUnknown;
        writer_.submitUnacknowledged(durability::RecordResponseDelivered{e.message.key, e.message.id});
        return fail(e);
    }
  }
  void readSessionPosition(PendingRequest& e) {
    if (!acceptsWrites()) {
      requireCurrentPosition(e);
      return forward(e);
    }
    startWaiting(e, WaitReason::Session);
    e.ticket = writer_.submit(durability::ReadSessionPosition{e.request.session},
                              [this, &e](bool durable, const OperationResult& s) {
                                e.ticket.reset();
                                e.waitReason = WaitReason::None;
                                if (!durable) {
                                  requireCurrentPosition(e);
                                } else if (s.positionMs > 0) {
                                  requirePosition(e, std::chrono::milliseconds(s.positionMs));
                                }
                                forward(e);
                              });
  }
  void requirePosition(PendingRequest& e, Time position) {
    e.message.clockOffset = engine_.clockOffset();
    e.request.sessionTokenAgeMs = std::max(
        0.001f, static_cast<float>(static_cast<double>((engine_.unixNow() - position).count()) / 1e3));
  }
  // Requires data no older than now, since the session's position is not known.
  void requireCurrentPosition(PendingRequest& e) { requirePosition(e, engine_.unixNow()); }

  void forward(PendingRequest& e) {
    RequestMessage m{
        std::move(e.message.before), std::move(e.message.after), std::move(e.message.from), {}, {},
        e.message.clockOffset};
    e.forwardedId = next_.request(e, e.request, std::move(m));
    forwarded_.emplace(e.forwardedId, &e);
  }

  // ---- attempts ---------------------------------------------------------------------------------
  void attemptSent(RequestId id, int attempt, const std::string& member) override {
    const auto it = forwarded_.find(id);
    if (it == forwarded_.end()) return;
    PendingRequest& e = *it->second;
    ++e.attemptsInFlight;
    if (e.keyed)
      writer_.submitUnacknowledged(
          durability::RecordAttemptSent{e.message.key, e.message.id, member, attempt});
  }
  void attemptEnded(RequestId id, int attempt, const AttemptEnd& ending) override {
    const auto it = forwarded_.find(id);
    if (it == forwarded_.end()) return;
    PendingRequest& e = *it->second;
    const AttemptEffect effect = attemptEffect(ending);
    e.attemptsInFlight -= e.attemptsInFlight > 0;
    e.mayHaveExecuted = e.mayHaveExecuted || effect != AttemptEffect::NotExecuted;
    if (ending.result == AttemptResult::Ok) e.positionMs = ending.positionMs;
    if (e.keyed)
      writer_.submitUnacknowledged(
          durability::RecordAttemptEnd{e.message.key, e.message.id, attempt, effect});
  }

  // ---- request end ------------------------------------------------------------------------------
  void requestServed(PendingRequest& e, Answer a) {
    forwarded_.erase(e.forwardedId);
    if (!e.keyed && e.session && !e.write && e.positionMs > 0)
      writer_.submitUnacknowledged(durability::RecordSessionPosition{e.request.session, e.positionMs});
    const bool problem = a.problem;
    if (problem || (!e.keyed && !(e.session && e.write && e.positionMs > 0))) {
      if (e.keyed) recordFailure(e, problem && !e.mayHaveExecuted ? Outcome::Rejected : Outcome::Failed);
      ResponseHandler& responseHandler = e.responseHandler;
      removeRequest(e);
      return responseHandler.served(std::move(a));
    }
    e.answer = std::move(a);
    startWaiting(e, WaitReason::Outcome);
    const auto done = [this, &e](bool durable, const OperationResult&) { outcomeRecorded(e, durable); };
    if (!e.keyed) {
      e.ticket = writer_.submit(durability::RecordSessionPosition{e.request.session, e.positionMs}, done);
      return;
    }
    evbuffer* const from = e.answer.messages.get();
    const std::size_t length = evbuffer_get_length(from);
    durability::CompleteRequest f{
        e.message.key, e.message.id, Outcome::Served, {}, e.positionMs, e.session ? e.request.session : 0,
        true};
    if (length <= config_.maxResponseBytes) {
      f.response.resize(length);
      evbuffer_copyout(from, f.response.data(), length);
    } else {
      f.response.assign(config_.maxResponseBytes + 1, '\0');  // exceeds the limit, so it is not stored
    }
    e.ticket = writer_.submit(std::move(f), done);
  }
  void outcomeRecorded(PendingRequest& e, bool durable) {
    e.ticket.reset();
    e.waitReason = WaitReason::None;
    // A crash would lose the outcome, so the response must not be sent.
    if (!durable) {
      ++counts_.notDurable;
      return fail(e);
    }
    if (e.keyed)
      writer_.submitUnacknowledged(durability::RecordResponseDelivered{e.message.key, e.message.id});
    ResponseHandler& responseHandler = e.responseHandler;
    Answer a = std::move(e.answer);
    removeRequest(e);
    responseHandler.served(std::move(a));
  }
  void requestRejected(PendingRequest& e, Time retryAfter) {
    forwarded_.erase(e.forwardedId);
    if (e.keyed) recordFailure(e, Outcome::Rejected);
    reject(e, retryAfter);
  }
  void requestFailed(PendingRequest& e) {
    forwarded_.erase(e.forwardedId);
    if (e.keyed) recordFailure(e, Outcome::Failed);
    fail(e);
  }
  void recordFailure(const PendingRequest& e, Outcome o) {
    writer_.submitUnacknowledged(
        durability::CompleteRequest{e.message.key, e.message.id, o, {}, 0, 0, e.mayHaveRun()});
    writer_.submitUnacknowledged(durability::RecordResponseDelivered{e.message.key, e.message.id});
  }
  void reject(PendingRequest& e, Time wait) {
    ResponseHandler& responseHandler = e.responseHandler;
    removeRequest(e);
    responseHandler.rejected(wait);
  }
  void fail(PendingRequest& e) {
    ResponseHandler& responseHandler = e.responseHandler;
    removeRequest(e);
    responseHandler.failed();
  }
  // Abandons a request whose intent may still become durable. No byte of it was or will be sent.
  void revokeIntent(const PendingRequest& e) {
    writer_.submitUnacknowledged(durability::AbandonRequest{e.message.key, e.message.id, false});
  }

  // Delivers the rejection in a later turn: a ResponseHandler is never called from within
  // request().
  void rejectLater(PendingRequest& e, Time wait) {
    rejections_.emplace_back(e.id, wait);
    event_active(deliverRejections_.get(), EV_TIMEOUT, 0);
  }
  void deliverRejections() {
    std::vector<std::pair<RequestId, Time>> all;
    all.swap(rejections_);
    for (const auto& [id, wait] : all)
      if (const auto it = pending_.find(id); it != pending_.end()) reject(*it->second, wait);
  }

  // ---- slow disk --------------------------------------------------------------------------------
  // Ends the wait of requests that have waited for the disk longer than the commit timeout or whose
  // deadline has passed, whatever becomes of the commit.
  void tick() {
    const Time now = engine_.now();
    const bool slow = writer_.currentCommitAge() > config_.commitTimeout;
    if (slow != slow_) {
      slow_ = slow;
      if (slow)
        logEvent(LogLevel::Warning, "store_slow", {{"waited_ms", writer_.currentCommitAge().count() / 1000}});
      else
        logEvent(LogLevel::Info, "store_recovered");
    }
    std::vector<RequestId> timedOut;
    bool any = slow_;
    for (const auto& [id, e] : pending_) {
      if (e->waitReason == WaitReason::None) continue;
      any = true;
      if ((e->waitReason != WaitReason::SameKey && now - e->waitingSince > config_.commitTimeout) ||
          now >= e->request.deadline)
        timedOut.push_back(id);
    }
    for (const RequestId id : timedOut) {
      const auto it = pending_.find(id);
      if (it == pending_.end()) continue;
      PendingRequest& e = *it->second;
      const WaitReason waited = e.waitReason;
      e.ticket.reset();
      e.waitReason = WaitReason::None;
      if (waited == WaitReason::Intent) {
        ++counts_.rejected;
        revokeIntent(e);
        reject(e, randomRetryAfter());
      } else if (waited == WaitReason::Session) {
        requireCurrentPosition(e);
        forward(e);
      } else {
        counts_.notDurable += waited == WaitReason::Outcome;
        fail(e);
      }
    }
    if (!any) event_del(tick_.get());
  }
  void storeStateChanged(GroupCommitWriter::State s, const std::string& why) {
    switch (s) {
      case GroupCommitWriter::State::Up:
        logStoreOpened();
        return;
      case GroupCommitWriter::State::Down:
        logEvent(LogLevel::Error, "store_down", {{"why", why}});
        return;
      case GroupCommitWriter::State::Damaged:
        logEvent(LogLevel::Error, "store_damaged", {{"why", why}});
    }
  }
  void logStoreOpened() const {
    const durability::StoreRecovery& r = writer_.recovered();
    logEvent(LogLevel::Info, "store_opened",
             {{"directory", config_.directory},
              {"epoch", r.epoch},
              {"keys", r.keys},
              {"sessions", r.sessions},
              {"unresolved", r.pendingKeys},
              {"gap", r.afterGap}});
    if (r.database.tornBytes > 0)
      logEvent(LogLevel::Warning, "store_tail_truncated",
               {{"file", r.database.tornFile},
                {"offset", r.database.tornOffset},
                {"bytes", r.database.tornBytes}});
  }

  Engine& engine_;
  RequestHandler& next_;
  const StoreConfig config_;
  const std::vector<balancer::ClassSettings> classes_;
  const std::vector<std::string> classNames_;
  const bool sessionTokensCarried_, retryAfterAllowed_;
  const translation::AnswerReader& reader_;
  std::mt19937 random_;
  std::unordered_map<RequestId, std::unique_ptr<PendingRequest>> pending_;
  std::unordered_map<RequestId, PendingRequest*> forwarded_;
  // The first request of each queue is in flight; the others wait for it to end.
  std::unordered_map<std::string, std::deque<RequestId>> requestsByKey_;
  std::vector<std::pair<RequestId, Time>> rejections_;  // to be delivered by deliverRejections()
  IdempotencyView counts_;
  bool slow_ = false;
  RequestId lastId_ = 0;
  GroupCommitWriter writer_;
  const Time startedAt_;
  Event deliverRejections_, tick_;
};

// Renames the directory of a damaged store rather than deleting it, so that it can be examined.
void setAsideDamagedStore(const std::string& directory, const std::string& why) {
  const std::string to = directory + ".damaged-" + std::to_string(std::time(nullptr));
  std::error_code failed;
  std::filesystem::rename(directory, to, failed);
  if (failed)
    throw std::runtime_error("key [store] directory: " + why +
                             "; cannot rename the damaged store directory: " + failed.message());
  logEvent(LogLevel::Error, "store_set_aside", {{"to", to}, {"why", why}});
}

}  // namespace

std::unique_ptr<IdempotencyHandler> createIdempotencyHandler(event_base* base, Engine& engine,
                                                             RequestHandler& next, const Config& c,
                                                             const translation::AnswerReader& reader,
                                                             durability::FileHook* hook) {
  if (!c.store) return nullptr;
  try {
    try {
      return std::make_unique<DurableWriteHandler>(base, engine, next, c, reader, hook);
    } catch (const durability::StoreError& e) {
      if (e.kind != durability::StoreError::Kind::Damaged || !c.store->renameDamaged) throw;
      setAsideDamagedStore(c.store->directory, e.what());
      return std::make_unique<DurableWriteHandler>(base, engine, next, c, reader, hook);
    }
  } catch (const durability::StoreError& e) {
    throw std::runtime_error("key [store] directory: " + std::string(e.what()));
  }
}

}  // namespace sablespur
