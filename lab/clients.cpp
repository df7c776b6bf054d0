#include "lab/clients.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

#include "protocol/postgres/messages.hpp"
#include "translation/values.hpp"

namespace sablespur::lab {
namespace {

// With `strictEnds`, a request without an answer counts as lost this long after its deadline.
constexpr Time kLostAfterDeadline = std::chrono::milliseconds(500);
// Otherwise, an answer is accepted for this long after the deadline.
constexpr Time kDeadlineSlack = std::chrono::milliseconds(70);
constexpr std::size_t kMaxIdle = 40;

constexpr Time kCancelAfter = std::chrono::milliseconds(3);

// Returns `text` as a quoted SQL literal. With `backslashes`, a backslash is an escape character.
std::string literalOf(const std::string& text, bool backslashes) {
  std::string s = "'";
  for (const char c : text) {
    if (c == '\'' || (c == '\\' && backslashes)) s.push_back(c);
    s.push_back(c);
  }
  return s + "'";
}

}  // namespace

// Sends a CancelRequest on a separate connection, in the protocol version of the desk client.
struct Clients::CancelConnection {
  CancelConnection(Clients& o, const std::string& request) : owner(o) {
    bev.reset(bufferevent_socket_new(o.c_.loop.get(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        bev.get(), nullptr, nullptr,
        [](bufferevent*, short what, void* self) {
          auto& c = *static_cast<CancelConnection*>(self);
          if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            c.owner.cancelConnections_.remove_if([&](const auto& x) { return x.get() == &c; });
        },
        this);
    put(bev.get(), request);
    bufferevent_enable(bev.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev.get(), reinterpret_cast<const sockaddr*>(&o.target_), sizeof o.target_);
  }
  Clients& owner;
  BufferEventPtr bev;
};

class Clients::Connection {
 public:
  Connection(Clients& o, Time since, int address)
      : o_(o),
        since_(since),
        address_(address),
        deadlineTimer_(o.c_, [this] { onDeadline(); }),
        cancel_(o.c_, [this] { o_.sendCancelRequest(*protocol_); }) {
    if (o.s_.version) {
      Identity who;
      who.password = kDeskPassword;
      who.settings = o.s_.startup;
      if (o.s_.version == Version::V20) who.settings.clear();
      protocol_ = std::make_unique<ClientProtocol>(*o.s_.version, who);
    }
    bev_.reset(bufferevent_socket_new(
        o.c_.loop.get(),
        o.s_.address.empty() ? -1
                             : socketFrom(addressNumber(o.s_.address) + static_cast<std::uint32_t>(address)),
        BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->read(); }, nullptr,
        [](bufferevent*, short what, void* self) {
          auto& c = *static_cast<Connection*>(self);
          if (what & BEV_EVENT_CONNECTED) {
            const int on = 1;
            setsockopt(bufferevent_getfd(c.bev_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          }
          if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) c.onClosed();
        },
        this);
    put(bev_.get(), protocol_ ? protocol_->startupMessage() : postgres::startup("api", "ledger"));
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&o.target_), sizeof o.target_);
  }

  void ask(Request r) {
    request_ = std::move(r);
    busy_ = true;
    served_ = refused_ = failed_ = false;
    value_.clear();
    if (protocol_ && loggedIn_) sendDeskRequest();
    if (!protocol_) put(bev_.get(), postgres::query(request_.statement));
    deadlineTimer_.in(request_.deadline + (o_.s_.strictEnds ? kLostAfterDeadline : kDeadlineSlack) -
                      o_.c_.now());
  }
  bool busy() const { return busy_; }
  bool loggedIn() const { return loggedIn_; }

 private:
  void sendDeskRequest() {
    const bool simple = o_.s_.mode == "simple";
    put(bev_.get(), simple ? protocol_->query(request_.statement)
                           : protocol_->extended(request_.statement, request_.bound, o_.s_.mode == "binary"));
    if (request_.cancel) cancel_.in(kCancelAfter);
  }
  // Reads replies until the proxy is ready for the next request. May destroy this object.
  void readDeskReply(evbuffer* in) {
    std::string bytes(evbuffer_get_length(in), '\0'), send;
    if (!bytes.empty()) evbuffer_remove(in, bytes.data(), bytes.size());
    in_ += bytes;
    const ClientProtocol::Result got = protocol_->take(in_, send);
    if (!send.empty()) put(bev_.get(), send);
    if (got == ClientProtocol::Result::Broken) {
      o_.audit_.countEvent("replies_broken");
      return onClosed();
    }
    if (got == ClientProtocol::Result::More) return;
    const Reply r = protocol_->takeReply();
    if (!loggedIn_) {
      if (protocol_->version() == Version::V20) o_.audit_.countEvent("row_1");
      if (r.seen[0] == 'v') o_.audit_.countEvent("row_11");
      const std::size_t key = protocol_->secret().size();
      if (key != (protocol_->version() == Version::V32 ? 32u : 4u)) o_.audit_.value(false);
      loggedIn_ = true;
      if (busy_) sendDeskRequest();
      return;
    }
    if (busy_) checkReply(r);
    onReadyForQuery();
  }
  // Checks the reply against the values that are derived from the request's id.
  void checkReply(const Reply& r) {
    cancel_.stop();
    const bool two = protocol_->version() == Version::V20;
    served_ = !r.rows.empty();
    refused_ = r.code == "53300" || r.error.find("no data server can take") != std::string::npos;
    if (r.retryAfterMs) retryAfter_ = std::chrono::milliseconds(*r.retryAfterMs);
    // Notices and parameter changes that a server sends in its answer must not reach the client.
    if (!o_.s_.direct && (r.seen.find('N') != std::string::npos || r.seen.find('S') != std::string::npos))
      o_.audit_.value(false);
    if (two) o_.audit_.countEvent("row_2");
    if (r.code == "57014" || (two && r.error.find("canceling") != std::string::npos))
      o_.audit_.countEvent("row_12");
    if (request_.missing) {
      const bool told = r.error.find("column \"missing\" does not exist") != std::string::npos;
      if (told && two && r.error.rfind("ERROR:  ", 0) == 0) o_.audit_.countEvent("row_6");
      const bool later = r.fields.find_first_of("stn") != std::string::npos;
      if (told && !two && later == (protocol_->version() == Version::V32)) o_.audit_.countEvent("row_7");
      if (later && protocol_->version() == Version::V30) o_.audit_.value(false);
      return;
    }
    if (!served_) return;
    const auto& row = r.rows[0];
    const std::string expected = bytesOf(request_.id, std::max<std::size_t>(o_.s_.valueBytes, 1));
    const bool binary = o_.s_.mode == "binary";
    std::string size = std::to_string(expected.size()), got;
    if (binary) {
      size.clear();
      for (int shift = 24; shift >= 0; shift -= 8)
        size.push_back(static_cast<char>(expected.size() >> shift));
    }
    bool right = row.size() == 3 && row[0] == size && row[1] && !row[2];
    if (right) got = binary ? *row[1] : translation::readBytea(*row[1]).value_or("");
    right = right && got == expected && r.types == std::vector<std::uint32_t>{23, 17, 25};
    o_.audit_.value(right);
    value_ = right ? "v-" + request_.id : "something else";
    if (!right) return;
    if (binary) o_.audit_.countEvent("row_10");
    if (!two) return;
    o_.audit_.countEvent("row_3");
    if (r.seen[0] == 'P') o_.audit_.countEvent("row_4");
    if (r.tag == "SELECT") o_.audit_.countEvent("row_5");
    if (row[1]->rfind("\\x", 0) != 0) o_.audit_.countEvent("row_8");
  }
  void read() {
    evbuffer* const in = bufferevent_get_input(bev_.get());
    if (protocol_) return readDeskReply(in);
    for (;;) {
      char bytes[postgres::kHeaderSize];
      if (evbuffer_copyout(in, bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) return;
      const auto head = postgres::parseHeader(bytes);
      if (!head) return onClosed();
      const std::size_t whole = sizeof bytes + head->bodySize;
      if (evbuffer_get_length(in) < whole) return;
      const auto* const at =
          reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(whole)));
      handleMessage(head->type, {at + sizeof bytes, head->bodySize});
      evbuffer_drain(in, whole);
      if (head->type == 'Z' && onReadyForQuery()) return;  // this object may be destroyed
    }
  }
  void handleMessage(char type, std::string_view body) {
    if (type == 'D') {
      if (served_) o_.audit_.extra(o_.c_.now());
      served_ = true;
      if (const auto v = postgres::parseColumn(body)) value_ = std::string(*v);
    }
    if (type == 'E') {
      const auto e = postgres::parseError(body);
      refused_ = e.code == "53300" || e.code == "57P03";
      failed_ = !refused_;
      const std::size_t d = body.find(std::string("\0D", 2));
      retryAfter_ = Time(0);
      if (d != std::string_view::npos)
        retryAfter_ = std::chrono::milliseconds(std::atoi(body.data() + d + 2));
    }
  }
  // Handles ReadyForQuery. Returns true if the connection was closed and this object destroyed.
  bool onReadyForQuery() {
    if (!loggedIn_) {
      loggedIn_ = true;
      o_.admissions_.push_back(static_cast<double>((o_.c_.now() - since_).count()) / 1e3);
      // Opened by reconnect() without a request: idle until the first one.
      if (!busy_) o_.idle_.push_back(this);
      return false;
    }
    if (!busy_) {
      o_.audit_.extra(o_.c_.now());
      return false;
    }
    busy_ = false;
    deadlineTimer_.stop();
    Request r = std::move(request_);
    const Result got = served_ ? Result::Served : refused_ ? Result::Refused : Result::Failed;
    if (o_.idle_.size() < kMaxIdle) o_.idle_.push_back(this);
    const bool kept = !o_.idle_.empty() && o_.idle_.back() == this;
    Clients& o = o_;
    const std::string value = value_;
    const Time wait = retryAfter_;
    if (!kept) remove();
    o.done(r, got, value, wait);
    return !kept;
  }
  void onDeadline() {
    Request r = std::move(request_);
    busy_ = false;
    Clients& o = o_;
    remove();  // the client gives up and closes the connection
    o.done(r, Result::Unanswered, "", Time(0));
  }
  void onClosed() {
    const bool busy = busy_;
    Request r = std::move(request_);
    Clients& o = o_;
    if (!loggedIn_ && refused_) {  // rejected before the login was complete
      ++o.rejectedLogins_;
      const Time wait = retryAfter_, since = since_;
      const int address = address_;
      remove();
      if (busy) return o.done(r, Result::Refused, "", wait);
      o.reconnects_.emplace(o.c_.now() + wait, std::make_pair(since, address));
      o.reconnectTimer_.in(o.reconnects_.begin()->first - o.c_.now());
      return;
    }
    const bool loggedIn = loggedIn_;
    remove();
    if (busy && loggedIn && o.s_.strictEnds) o.auditConnectionClosed(r);
    // The client sees a connection that closes without an answer as a failed request.
    if (busy) o.done(r, Result::Failed, "", Time(0));
  }
  void remove() {
    auto& idle = o_.idle_;
    idle.erase(std::remove(idle.begin(), idle.end(), this), idle.end());
    o_.connections_.remove_if([this](const auto& c) { return c.get() == this; });
  }

  Clients& o_;
  const Time since_;  // time of the first connection attempt
  const int address_;
  BufferEventPtr bev_;
  Timer deadlineTimer_, cancel_;
  std::unique_ptr<ClientProtocol> protocol_;  // desk clients only
  std::string in_;
  bool loggedIn_ = false, busy_ = false, served_ = false, refused_ = false, failed_ = false;
  std::string value_;
  Time retryAfter_{};
  Request request_{};
};

Clients::Clients(Context& c, Audit& audit, const std::vector<ClassModel>& classes, const ClientSettings& s,
                 const std::string& prefix)
    : c_(c),
      audit_(audit),
      classes_(classes),
      s_(s),
      prefix_(prefix),
      arrivalTimer_(c, [this] { arrive(); }),
      reconnectTimer_(c, [this] { reopenRejected(); }),
      retryTimer_(c, [this] { sendDueRetries(); }) {}
Clients::~Clients() = default;

// A request that is sent while the proxy closes the connection may never be read. One that was
// outstanding for longer than kReadWithin has been read, so it counts as lost.
void Clients::auditConnectionClosed(const Request& r) {
  constexpr Time kReadWithin = std::chrono::milliseconds(50);
  const Time out = c_.now() - r.at;
  if (r.at <= closesExcusedUntil_) return audit_.countEvent("ended_by_kill");
  if (out <= kReadWithin) return audit_.countEvent("crossed_the_end");
  const std::string why =
      "the connection closed without an answer after " + std::to_string(out.count() / 1000) + " ms";
  audit_.lost(r.id, why.c_str());
}

void Clients::sendCancelRequest(const ClientProtocol& s) {
  cancelConnections_.push_back(std::make_unique<CancelConnection>(*this, s.cancel()));
}

void Clients::start() {
  running_ = true;
  arrivalTimer_.in(Time(0));
}
void Clients::stop() { running_ = false; }

void Clients::rate(double r) {
  const bool wasQuiet = s_.rate <= 0;
  s_.rate = r;
  if (!running_ || !wasQuiet || r <= 0) return;
  nextArrival_ = c_.now();
  arrivalTimer_.in(Time(0));
}

void Clients::arrive() {
  if (!running_) return;
  if (s_.loop) return ask(makeRequest());
  // Arrivals follow their own schedule: a late timer must not reduce the number of requests.
  const Time now = c_.now();
  if (nextArrival_ == Time(0)) nextArrival_ = now;
  while (nextArrival_ <= now) {
    if (s_.rate > 0) ask(makeRequest());
    const double rate = std::max(s_.rate, 0.1);
    nextArrival_ += Time(static_cast<std::int64_t>(std::exponential_distribution<>(rate)(c_.random) * 1e6));
  }
  arrivalTimer_.in(nextArrival_ - now);
}

Clients::Request Clients::makeRequest() {
  Request r;
  double part = c_.uniform(0.0, 1.0);
  r.cls = &classes_.back();
  for (const ClassModel& m : classes_) {
    part -= m.share;
    if (part < 0) {
      r.cls = &m;
      break;
    }
  }
  if (r.cls->write) r.key = prefix_ + "k" + std::to_string(lastId_);
  r.retriesLeft = s_.retries;
  r.unknownOutcomeRetriesLeft = r.key.empty() ? 0 : s_.unknownOutcomeRetries;
  r.group = std::uniform_int_distribution<int>(1, std::max(s_.groups, 1))(c_.random);
  r.first = c_.now();
  r.deadline = r.first + r.cls->giveUp;
  return r;
}

// Builds the statement of an attempt, with a new id and the time that is left until the deadline.
void Clients::prepareAttempt(Request& r, Time now) {
  r.id = prefix_ + std::to_string(++lastId_);
  r.at = now;
  const auto left = std::max<std::int64_t>((r.deadline - now).count() / 1000, 1);
  const std::string comment = " /* id=" + r.id + ",c=" + r.cls->name + ",d=" + std::to_string(left) +
                              (r.key.empty() ? "" : ",k=" + r.key) + ",cluster=" + std::to_string(r.group) +
                              " */";
  const std::string handle = "'h" + std::to_string(lastId_ % 1000) + "'";
  if (s_.version) {
    const bool two = s_.version == Version::V20;
    const std::string version = two ? "2.0" : s_.version == Version::V30 ? "3.0" : "3.2";
    r.missing = !r.cls->write && c_.uniform(0.0, 1.0) < s_.missingColumnShare;
    r.cancel = !r.missing && c_.uniform(0.0, 1.0) < s_.cancelShare;
    const std::string what = r.missing      ? "SELECT missing FROM rows"
                             : r.cls->write ? "UPDATE rows SET note = "
                                            : "SELECT size, blob, note FROM rows WHERE note = ";
    r.bound.clear();
    if (s_.mode == "simple") {
      r.statement =
          what + (r.missing ? "" : literalOf(textOf(r.id), two)) + " /* by " + version + " */" + comment;
      return;
    }
    std::string named = comment;
    named.replace(named.find("id=") + 3, r.id.size(), r.missing ? "$1" : "$2");
    r.statement = what + (r.missing ? "" : "$1") + " /* by " + version + " */" + named;
    if (!r.missing) r.bound.push_back({textOf(r.id), 25, s_.mode == "binary"});
    r.bound.push_back({r.id, 25, false});
    return;
  }
  if (r.cls->write)
    r.statement = "INSERT INTO rows (handle, blob) VALUES (" + handle + ", '" +
                  std::string(s_.valueBytes, 'x') + "') RETURNING blob" + comment;
  else
    r.statement = "SELECT blob FROM rows WHERE handle = " + handle + comment;
}

void Clients::ask(Request r) {
  prepareAttempt(r, c_.now());
  audit_.request(c_.now(), r.id, r.key);
  ++outstanding_;
  Connection* c = nullptr;
  if (!idle_.empty()) {
    c = idle_.back();
    idle_.pop_back();
  } else {
    connections_.push_back(std::make_unique<Connection>(*this, c_.now(), nextAddress_++ % s_.addresses));
    c = connections_.back().get();
  }
  c->ask(std::move(r));
}

void Clients::reconnect(int connections) {
  const std::vector<Connection*> idle = std::move(idle_);
  idle_.clear();
  connections_.remove_if(
      [&](const auto& c) { return std::find(idle.begin(), idle.end(), c.get()) != idle.end(); });
  for (int k = 0; k < connections; ++k)
    connections_.push_back(std::make_unique<Connection>(*this, c_.now(), k % s_.addresses));
}
void Clients::reopenRejected() {
  const Time now = c_.now();
  while (!reconnects_.empty() && reconnects_.begin()->first <= now) {
    const auto [since, address] = reconnects_.begin()->second;
    reconnects_.erase(reconnects_.begin());
    if (running_) connections_.push_back(std::make_unique<Connection>(*this, since, address));
  }
  if (!reconnects_.empty()) reconnectTimer_.in(reconnects_.begin()->first - now);
}
std::size_t Clients::notLoggedIn() const {
  return reconnects_.size() +
         static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const auto& c) { return !c->loggedIn(); }));
}

void Clients::sendDueRetries() {
  const Time now = c_.now();
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    Request r = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    ask(std::move(r));
  }
  if (!waiting_.empty()) retryTimer_.in(waiting_.begin()->first - now);
}

void Clients::done(Request& r, Result got, const std::string& value, Time retryAfter) {
  --outstanding_;
  const Time now = c_.now(), latency = now - r.first;
  const bool inTime = got == Result::Served && latency <= r.cls->aim;
  const bool refused = got == Result::Refused && r.retriesLeft > 0 && now + retryAfter < r.deadline;
  const bool unknown =
      r.unknownOutcomeRetriesLeft > 0 &&
      (got == Result::Served ? s_.duplicateShare > 0 && c_.uniform(0.0, 1.0) < s_.duplicateShare
                             : got != Result::Refused);
  const bool again = refused || unknown;
  // A request's worth counts once, with its last attempt.
  const double worth = again ? 0 : r.cls->worth;
  const double earned = got != Result::Served ? 0 : inTime ? worth : worth * r.cls->lateWorth;
  std::string plain = value;
  if (s_.valueBytes > 0 && !s_.version) plain = plain.substr(0, plain.find('.'));
  audit_.answer(now, r.id, got, plain, latency, inTime, worth, earned);
  if (ended_) ended_(*r.cls, r.group, r.at, got == Result::Served);
  if (!again) {
    ++asked_;
    served_ += inTime;
  }
  if (got == Result::Served) latencies_.push_back(static_cast<double>((now - r.at).count()) / 1e3);
  if (unknown) {
    --r.unknownOutcomeRetriesLeft;
    audit_.countEvent("asked_again");
    const Time when = now + c_.uniform(s_.repeatDelayLeast, s_.repeatDelayMost);
    r.first = when;
    r.deadline = when + r.cls->giveUp;
    waiting_.emplace(when, r);
    retryTimer_.in(waiting_.begin()->first - now);
  } else if (again) {
    --r.retriesLeft;
    waiting_.emplace(now + retryAfter + c_.uniform(Time(0), Time(20000)), r);
    retryTimer_.in(waiting_.begin()->first - now);
  } else if (s_.loop && running_) {
    arrivalTimer_.in(Time(0));
  }
}

}  // namespace sablespur::lab
