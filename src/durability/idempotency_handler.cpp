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
using durability::End;
using durability::GroupCommitWriter;
using durability::OperationResult;
using durability::Outcome;
using durability::Verdict;

constexpr Time kLook = std::chrono::milliseconds(10);  // at what waits for the disk
constexpr Time kLeastWait = std::chrono::milliseconds(1);

End endOf(const AttemptEnd& e) {
  if (e.invalidStatement) return End::NeverRan;
  switch (e.result) {
    case AttemptResult::Ok:
      return End::Ran;
    case AttemptResult::Rejected:
    case AttemptResult::ConnectFailed:
    case AttemptResult::NotSent:
    case AttemptResult::TooStale:
      return End::NeverRan;
    default:
      return End::MayHaveRun;
  }
}

durability::IdempotencyStoreSettings ledgerSettings(const StoreConfig& c) {
  durability::IdempotencyStoreSettings s;
  s.directory = c.directory;
  s.keep = c.keep;
  s.keepSessions = c.keepSessions;
  s.mostKeys = c.mostKeys;
  s.mostSessions = c.mostSessions;
  s.longestAnswer = c.longestAnswer;
  return s;
}

class StoreKeeper final : public IdempotencyHandler, AttemptObserver {
 public:
  StoreKeeper(event_base* base, Engine& engine, RequestHandler& next, const Config& c,
              const translation::AnswerReader& reader, durability::FileHook* hook)
      : engine_(engine),
        next_(next),
        config_(*c.store),
        classes_(c.settings.classes),
        names_(c.classes),
        tokensCarried_(c.settings.sessionTokensCarried),
        retryAfter_(c.settings.retryAfterAllowed),
        reader_(reader),
        random_(static_cast<std::mt19937::result_type>(c.seed)),
        writer_(
            base, ledgerSettings(config_),
            [this](GroupCommitWriter::State s, const std::string& why) { changed(s, why); }, hook),
        started_(engine.now()),
        deliver_(event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<StoreKeeper*>(self)->deliver(); }, this)),
        look_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<StoreKeeper*>(self)->look(); }, this)) {
    engine_.setAttemptObserver(this);
    if (writer_.state() == GroupCommitWriter::State::Up) {
      opened();
    } else {
      changed(writer_.state(), writer_.why());
    }
  }
  ~StoreKeeper() override { engine_.setAttemptObserver(nullptr); }

  RequestId request(ResponseHandler& asker, balancer::Request q, RequestMessage m) override {
    const balancer::ClassSettings& c = classes_[static_cast<std::size_t>(q.classIndex)];
    const bool keyed =
        c.requirement == Requirement::Write && c.idempotency == Idempotency::WithKey && !m.key.empty();
    const bool sessionRead = c.requirement == Requirement::Session && q.session != 0 && !tokensCarried_;
    const bool sessionWrite = c.requirement == Requirement::Write && q.session != 0 && !tokensCarried_;
    const RequestId id = ++lastId_;
    Entered& e =
        *entered_.emplace(id, std::make_unique<Entered>(*this, id, asker, q, std::move(m))).first->second;
    e.keyed = keyed;
    e.session = sessionRead || sessionWrite;
    e.write = c.requirement == Requirement::Write;
    e.arrived = engine_.now();
    if (keyed) {
      takePlace(e);
    } else if (sessionRead && engine_.now() - started_ < config_.keepSessions) {
      askForSession(e);
    } else {
      go(e);
    }
    return id;
  }

  void clientDisconnected(RequestId id) override {
    const auto it = entered_.find(id);
    if (it == entered_.end()) return;
    Entered& e = *it->second;
    if (e.inEngine != 0) {
      next_.clientDisconnected(e.inEngine);
      byEngine_.erase(e.inEngine);
    }
    // The engine hears of it in its next turn, and may send once more before: once it has gone on, it may
    // have run.
    if (e.keyed && e.intended)
      writer_.note(durability::NoteLeft{e.message.key, e.message.id, e.inEngine != 0});
    if (e.keyed && e.waits == Waits::Intent) takeBack(e);
    drop(e);
  }

  IdempotencyView view() const override {
    IdempotencyView v = counts_;
    const GroupCommitWriter::Figures f = writer_.figures();
    v.directory = config_.directory;
    v.state = writer_.state() == GroupCommitWriter::State::Up     ? (slow_ ? "slow" : "up")
              : writer_.state() == GroupCommitWriter::State::Down ? "down"
                                                                  : "damaged";
    v.why = writer_.why();
    v.epoch = writer_.recovered().epoch;
    v.keys = f.keys;
    v.sessions = f.sessions;
    v.operations = f.operations;
    v.commits = f.commits;
    v.largestGroup = f.largestGroup;
    v.lost = f.lost;
    v.bytes = f.bytesOnDisk;
    v.lastCommit = f.lastCommit;
    v.longestCommit = f.longestCommit;
    v.waiting = writer_.waiting();
    return v;
  }

 private:
  enum class Waits { Nothing, Turn, Intent, Session, Outcome };
  // A request between who asked and the engine.
  struct Entered final : ResponseHandler {
    Entered(StoreKeeper& k, RequestId i, ResponseHandler& a, const balancer::Request& r, RequestMessage&& m)
        : keeper(k), id(i), asker(a), q(r), message(std::move(m)) {}
    void served(Answer a) override { keeper.served(*this, std::move(a)); }
    void rejected(Time retryAfter) override { keeper.refused(*this, retryAfter); }
    void failed() override { keeper.failed(*this); }
    // Of its attempts, those included that are still out.
    bool mayHaveRun() const { return ran || out > 0; }

    StoreKeeper& keeper;
    const RequestId id;
    ResponseHandler& asker;
    balancer::Request q;
    RequestMessage message;  // its id and key, once it has gone on
    RequestId inEngine = 0;
    bool keyed = false, session = false, write = false, intended = false;
    bool ran = false;  // an attempt that is over may have
    int out = 0;
    std::int64_t positionMs = 0;
    Time arrived{}, since{};  // since: it waits
    Waits waits = Waits::Nothing;
    GroupCommitWriter::Ticket ticket;
    Answer answer;  // while its outcome becomes durable
  };

  bool takesWrites() const { return writer_.state() == GroupCommitWriter::State::Up && !slow_; }
  Time comeBack() {
    if (!retryAfter_) return Time(0);
    return Time(std::uniform_int_distribution<std::int64_t>(config_.comeBackLeast.count(),
                                                            config_.comeBackMost.count())(random_));
  }
  void wait(Entered& e, Waits what) {
    e.waits = what;
    e.since = engine_.now();
    if (!event_pending(look_.get(), EV_TIMEOUT, nullptr)) startTimer(look_.get(), kLook);
  }

  // Of a key one request is under way at a time; the others wait for how it ends. Guards the window: the
  // module counts it from the attempts of one request, and knows nothing of another's. (The model check found
  // it.)
  void takePlace(Entered& e) {
    std::deque<RequestId>& line = lines_[e.message.key];
    line.push_back(e.id);
    if (line.size() == 1) return askForKey(e);
    ++counts_.waitedForAnother;
    wait(e, Waits::Turn);
  }
  void drop(Entered& e) {
    const std::string key = e.keyed ? e.message.key : std::string();
    const RequestId id = e.id;
    entered_.erase(id);
    if (key.empty()) return;
    const auto line = lines_.find(key);
    std::deque<RequestId>& all = line->second;
    const bool first = all.front() == id;
    all.erase(std::find(all.begin(), all.end(), id));
    if (all.empty()) {
      lines_.erase(line);
      return;
    }
    if (!first) return;
    Entered& next = *entered_.at(all.front());
    next.waits = Waits::Nothing;
    askForKey(next);
  }

  // ---- before it goes on -------------------------------------------------------------------------------
  void askForKey(Entered& e) {
    if (!takesWrites()) {
      ++counts_.turnedAway;
      return later(e, comeBack());
    }
    wait(e, Waits::Intent);
    const balancer::ClassSettings& c = classes_[static_cast<std::size_t>(e.q.classIndex)];
    durability::KeyedRequest a;
    a.id = e.message.id;
    a.key = e.message.key;
    a.cls = names_[static_cast<std::size_t>(e.q.classIndex)];
    a.group = e.q.group;
    a.window = c.deduplicationWindow;
    e.ticket = writer_.ask(durability::AskKey{std::move(a)},
                           [this, &e](bool durable, OperationResult s) { judged(e, durable, std::move(s)); });
  }
  void judged(Entered& e, bool durable, OperationResult s) {
    e.ticket.reset();
    e.waits = Waits::Nothing;
    if (!durable || s.full) {
      ++counts_.turnedAway;
      Time wait = comeBack();
      if (s.full && retryAfter_) wait = std::max(wait, s.wait);
      return refuse(e, wait);
    }
    e.intended = true;
    switch (s.verdict) {
      case Verdict::Run:
        ++counts_.ran;
        return go(e);
      case Verdict::Again:
        ++counts_.again;
        // Since when it may be out: from then the data servers' memory of it counts. The ledger looked after
        // this was asked, so counted from there it is no later than it was; counted from now, a slow commit
        // would add to it.
        e.q.mayHaveRunSince = std::max(e.since - s.since, Time(1));
        return go(e);
      case Verdict::Recorded: {
        ++counts_.recorded;
        Answer a;
        a.messages = newBuffer();
        append(a.messages.get(), s.answer);
        a.reader = &reader_;
        writer_.note(durability::NoteTold{e.message.key, e.message.id});
        ResponseHandler& asker = e.asker;
        drop(e);
        return asker.served(std::move(a));
      }
      case Verdict::Unknown:
        ++counts_.unknown;
        writer_.note(durability::NoteTold{e.message.key, e.message.id});
        return fail(e);
    }
  }
  void askForSession(Entered& e) {
    if (!takesWrites()) {
      unproved(e);
      return go(e);
    }
    wait(e, Waits::Session);
    e.ticket =
        writer_.ask(durability::AskSession{e.q.session}, [this, &e](bool durable, const OperationResult& s) {
          e.ticket.reset();
          e.waits = Waits::Nothing;
          if (!durable) {
            unproved(e);
          } else if (s.positionMs > 0) {
            sawUpTo(e, std::chrono::milliseconds(s.positionMs));
          }
          go(e);
        });
  }
  void sawUpTo(Entered& e, Time position) {
    e.message.clockOffset = engine_.clockOffset();
    e.q.sessionTokenAgeMs = std::max(
        0.001f, static_cast<float>(static_cast<double>((engine_.unixNow() - position).count()) / 1e3));
  }
  // What the session has seen is not known: nothing older than now will do.
  void unproved(Entered& e) { sawUpTo(e, engine_.unixNow()); }

  void go(Entered& e) {
    RequestMessage m{
        std::move(e.message.before), std::move(e.message.after), std::move(e.message.from), {}, {},
        e.message.clockOffset};
    e.inEngine = next_.request(e, e.q, std::move(m));
    byEngine_.emplace(e.inEngine, &e);
  }

  // ---- attempts ----------------------------------------------------------------------------------------
  void attemptSent(RequestId id, int attempt, const std::string& member) override {
    const auto it = byEngine_.find(id);
    if (it == byEngine_.end()) return;
    Entered& e = *it->second;
    ++e.out;
    if (e.keyed) writer_.note(durability::NoteSent{e.message.key, e.message.id, member, attempt});
  }
  void attemptEnded(RequestId id, int attempt, const AttemptEnd& ending) override {
    const auto it = byEngine_.find(id);
    if (it == byEngine_.end()) return;
    Entered& e = *it->second;
    const End end = endOf(ending);
    e.out -= e.out > 0;
    e.ran = e.ran || end != End::NeverRan;
    if (ending.result == AttemptResult::Ok) e.positionMs = ending.positionMs;
    if (e.keyed) writer_.note(durability::NoteEnded{e.message.key, e.message.id, attempt, end});
  }

  // ---- how it ended ------------------------------------------------------------------------------------
  void served(Entered& e, Answer a) {
    byEngine_.erase(e.inEngine);
    if (!e.keyed && e.session && !e.write && e.positionMs > 0)
      writer_.note(durability::NoteSeen{e.q.session, e.positionMs});
    const bool problem = a.problem;
    if (problem || (!e.keyed && !(e.session && e.write && e.positionMs > 0))) {
      if (e.keyed) finish(e, problem && !e.ran ? Outcome::Refused : Outcome::Failed);
      ResponseHandler& asker = e.asker;
      drop(e);
      return asker.served(std::move(a));
    }
    e.answer = std::move(a);
    wait(e, Waits::Outcome);
    const auto done = [this, &e](bool durable, const OperationResult&) { recorded(e, durable); };
    if (!e.keyed) {
      e.ticket = writer_.ask(durability::NoteSeen{e.q.session, e.positionMs}, done);
      return;
    }
    evbuffer* const from = e.answer.messages.get();
    const std::size_t length = evbuffer_get_length(from);
    durability::Finish f{
        e.message.key, e.message.id, Outcome::Served, {}, e.positionMs, e.session ? e.q.session : 0, true};
    if (length <= config_.longestAnswer) {
      f.answer.resize(length);
      evbuffer_copyout(from, f.answer.data(), length);
    } else {
      f.answer.assign(config_.longestAnswer + 1, '\0');  // too long to keep, whatever it is
    }
    e.ticket = writer_.ask(std::move(f), done);
  }
  void recorded(Entered& e, bool durable) {
    e.ticket.reset();
    e.waits = Waits::Nothing;
    // Its answer is known here and would be lost by a crash: it is not given.
    if (!durable) {
      ++counts_.notDurable;
      return fail(e);
    }
    if (e.keyed) writer_.note(durability::NoteTold{e.message.key, e.message.id});
    ResponseHandler& asker = e.asker;
    Answer a = std::move(e.answer);
    drop(e);
    asker.served(std::move(a));
  }
  void refused(Entered& e, Time retryAfter) {
    byEngine_.erase(e.inEngine);
    if (e.keyed) finish(e, Outcome::Refused);
    refuse(e, retryAfter);
  }
  void failed(Entered& e) {
    byEngine_.erase(e.inEngine);
    if (e.keyed) finish(e, Outcome::Failed);
    fail(e);
  }
  void finish(const Entered& e, Outcome o) {
    writer_.note(durability::Finish{e.message.key, e.message.id, o, {}, 0, 0, e.mayHaveRun()});
    writer_.note(durability::NoteTold{e.message.key, e.message.id});
  }
  void refuse(Entered& e, Time wait) {
    ResponseHandler& asker = e.asker;
    drop(e);
    asker.rejected(wait);
  }
  void fail(Entered& e) {
    ResponseHandler& asker = e.asker;
    drop(e);
    asker.failed();
  }
  // Its intent may become durable yet; nothing of it is ever sent.
  void takeBack(const Entered& e) { writer_.note(durability::NoteLeft{e.message.key, e.message.id, false}); }

  // A requester is never answered within its own call.
  void later(Entered& e, Time wait) {
    refusals_.emplace_back(e.id, wait);
    event_active(deliver_.get(), EV_TIMEOUT, 0);
  }
  void deliver() {
    std::vector<std::pair<RequestId, Time>> all;
    all.swap(refusals_);
    for (const auto& [id, wait] : all)
      if (const auto it = entered_.find(id); it != entered_.end()) refuse(*it->second, wait);
  }

  // ---- a disk that is slow -----------------------------------------------------------------------------
  // Who has waited longer than the patience is answered, whatever becomes of the commit.
  void look() {
    const Time now = engine_.now();
    const bool slow = writer_.oldest() > config_.patience;
    if (slow != slow_) {
      slow_ = slow;
      if (slow)
        logEvent(LogLevel::Warning, "store_slow", {{"waited_ms", writer_.oldest().count() / 1000}});
      else
        logEvent(LogLevel::Info, "store_recovered");
    }
    std::vector<RequestId> over;
    bool any = slow_;
    for (const auto& [id, e] : entered_) {
      if (e->waits == Waits::Nothing) continue;
      any = true;
      if ((e->waits != Waits::Turn && now - e->since > config_.patience) || now >= e->q.deadline)
        over.push_back(id);
    }
    for (const RequestId id : over) {
      const auto it = entered_.find(id);
      if (it == entered_.end()) continue;
      Entered& e = *it->second;
      const Waits waited = e.waits;
      e.ticket.reset();
      e.waits = Waits::Nothing;
      if (waited == Waits::Intent) {
        ++counts_.turnedAway;
        takeBack(e);
        refuse(e, comeBack());
      } else if (waited == Waits::Session) {
        unproved(e);
        go(e);
      } else {
        counts_.notDurable += waited == Waits::Outcome;
        fail(e);
      }
    }
    if (!any) event_del(look_.get());
  }
  void changed(GroupCommitWriter::State s, const std::string& why) {
    switch (s) {
      case GroupCommitWriter::State::Up:
        opened();
        return;
      case GroupCommitWriter::State::Down:
        logEvent(LogLevel::Error, "store_down", {{"why", why}});
        return;
      case GroupCommitWriter::State::Damaged:
        logEvent(LogLevel::Error, "store_damaged", {{"why", why}});
    }
  }
  void opened() const {
    const durability::Recovered& r = writer_.recovered();
    logEvent(LogLevel::Info, "store_opened",
             {{"directory", config_.directory},
              {"epoch", r.epoch},
              {"keys", r.keys},
              {"sessions", r.sessions},
              {"unresolved", r.unresolved},
              {"gap", r.gap}});
    if (r.database.tornBytes > 0)
      logEvent(
          LogLevel::Warning, "store_tail_truncated",
          {{"file", r.database.tornFile}, {"offset", r.database.tornAt}, {"bytes", r.database.tornBytes}});
  }

  Engine& engine_;
  RequestHandler& next_;
  const StoreConfig config_;
  const std::vector<balancer::ClassSettings> classes_;
  const std::vector<std::string> names_;
  const bool tokensCarried_, retryAfter_;
  const translation::AnswerReader& reader_;
  std::mt19937 random_;
  std::unordered_map<RequestId, std::unique_ptr<Entered>> entered_;
  std::unordered_map<RequestId, Entered*> byEngine_;
  std::unordered_map<std::string, std::deque<RequestId>>
      lines_;                                         // by key: under way, and those that wait for it
  std::vector<std::pair<RequestId, Time>> refusals_;  // to be told
  IdempotencyView counts_;
  bool slow_ = false;
  RequestId lastId_ = 0;
  GroupCommitWriter writer_;
  const Time started_;
  Event deliver_, look_;
};

// So that what is there can be looked at: nothing is thrown away.
void setAside(const std::string& directory, const std::string& why) {
  const std::string to = directory + ".damaged-" + std::to_string(std::time(nullptr));
  std::error_code failed;
  std::filesystem::rename(directory, to, failed);
  if (failed)
    throw std::runtime_error("key [store] directory: " + why +
                             "; it cannot be set aside: " + failed.message());
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
      return std::make_unique<StoreKeeper>(base, engine, next, c, reader, hook);
    } catch (const durability::StoreError& e) {
      if (e.kind != durability::StoreError::Kind::Damaged || !c.store->setAside) throw;
      setAside(c.store->directory, e.what());
      return std::make_unique<StoreKeeper>(base, engine, next, c, reader, hook);
    }
  } catch (const durability::StoreError& e) {
    throw std::runtime_error("key [store] directory: " + std::string(e.what()));
  }
}

}  // namespace sablespur
