#include "lab/clients.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

#include "wire/pg/pg.hpp"

namespace sablespur::lab {
namespace {

constexpr Time kSlack = std::chrono::milliseconds(70);  // after the deadline an answer still counts as one
constexpr std::size_t kMostIdle = 40;

}  // namespace

class Clients::Connection {
 public:
  Connection(Clients& o) : o_(o), late_(o.c_, [this] { late(); }) {
    bev_.reset(bufferevent_socket_new(o.c_.loop.get(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->read(); }, nullptr,
        [](bufferevent*, short what, void* self) {
          auto& c = *static_cast<Connection*>(self);
          if (what & BEV_EVENT_CONNECTED) {
            const int on = 1;
            setsockopt(bufferevent_getfd(c.bev_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          }
          if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) c.ended();
        },
        this);
    put(bev_.get(), pg::startup("api", "ledger"));
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&o.target_), sizeof o.target_);
  }

  void ask(Request r) {
    request_ = std::move(r);
    busy_ = true;
    served_ = refused_ = failed_ = false;
    value_.clear();
    put(bev_.get(), pg::query(request_.statement));
    late_.in(request_.deadline + kSlack - o_.c_.now());
  }
  bool busy() const { return busy_; }

 private:
  void read() {
    evbuffer* const in = bufferevent_get_input(bev_.get());
    for (;;) {
      char bytes[pg::kHead];
      if (evbuffer_copyout(in, bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) return;
      const auto head = pg::parseHead(bytes);
      if (!head) return ended();
      const std::size_t whole = sizeof bytes + head->body;
      if (evbuffer_get_length(in) < whole) return;
      const auto* const at =
          reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(whole)));
      take(head->type, {at + sizeof bytes, head->body});
      evbuffer_drain(in, whole);
      if (head->type == 'Z' && ready()) return;  // this object may be no more
    }
  }
  void take(char type, std::string_view body) {
    if (type == 'D') {
      if (served_) o_.audit_.extra(o_.c_.now());
      served_ = true;
      if (const auto v = pg::parseColumn(body)) value_ = std::string(*v);
    }
    if (type == 'E') {
      const auto e = pg::parseError(body);
      refused_ = e.code == "53300" || e.code == "57P03";
      failed_ = !refused_;
      const std::size_t d = body.find(std::string("\0D", 2));
      retryAfter_ = Time(0);
      if (d != std::string_view::npos)
        retryAfter_ = std::chrono::milliseconds(std::atoi(body.data() + d + 2));
    }
  }
  // After ReadyForQuery. True: this connection is used no more.
  bool ready() {
    if (!greeted_) {
      greeted_ = true;
      return false;
    }
    if (!busy_) {
      o_.audit_.extra(o_.c_.now());
      return false;
    }
    busy_ = false;
    late_.stop();
    Request r = std::move(request_);
    const Got got = served_ ? Got::Served : refused_ ? Got::Refused : Got::Failed;
    if (o_.idle_.size() < kMostIdle) o_.idle_.push_back(this);
    const bool kept = !o_.idle_.empty() && o_.idle_.back() == this;
    Clients& o = o_;
    const std::string value = value_;
    const Time wait = retryAfter_;
    if (!kept) remove();
    o.done(r, got, value, wait);
    return !kept;
  }
  void late() {
    Request r = std::move(request_);
    busy_ = false;
    Clients& o = o_;
    remove();  // the client leaves
    o.done(r, Got::Nothing, "", Time(0));
  }
  void ended() {
    const bool busy = busy_;
    Request r = std::move(request_);
    Clients& o = o_;
    remove();
    // Without an answer: a connection that ends is a failure that the client sees.
    if (busy) o.done(r, Got::Failed, "", Time(0));
  }
  void remove() {
    auto& idle = o_.idle_;
    idle.erase(std::remove(idle.begin(), idle.end(), this), idle.end());
    o_.connections_.remove_if([this](const auto& c) { return c.get() == this; });
  }

  Clients& o_;
  BufferEventPtr bev_;
  Timer late_;
  bool greeted_ = false, busy_ = false, served_ = false, refused_ = false, failed_ = false;
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
      next_(c, [this] { arrive(); }),
      retry_(c, [this] { again(); }) {}
Clients::~Clients() = default;

void Clients::start() {
  running_ = true;
  next_.in(Time(0));
}
void Clients::stop() { running_ = false; }

void Clients::arrive() {
  if (!running_) return;
  if (s_.loop) return ask(make());
  // By a schedule of its own: a timer that comes late must not make for fewer requests.
  const Time now = c_.now();
  if (due_ == Time(0)) due_ = now;
  while (due_ <= now) {
    if (s_.rate > 0) ask(make());
    const double rate = std::max(s_.rate, 0.1);
    due_ += Time(static_cast<std::int64_t>(std::exponential_distribution<>(rate)(c_.random) * 1e6));
  }
  next_.in(due_ - now);
}

Clients::Request Clients::make() {
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
  if (r.cls->write) r.key = prefix_ + "k" + std::to_string(ids_);
  r.retriesLeft = s_.retries;
  r.group = std::uniform_int_distribution<int>(1, std::max(s_.groups, 1))(c_.random);
  r.first = c_.now();
  r.deadline = r.first + r.cls->giveUp;
  return r;
}

// The statement of a try: a new id, what is left of the time.
void Clients::write(Request& r, Time now) {
  r.id = prefix_ + std::to_string(++ids_);
  r.at = now;
  const auto left = std::max<std::int64_t>((r.deadline - now).count() / 1000, 1);
  const std::string comment = " /* id=" + r.id + ",c=" + r.cls->name + ",d=" + std::to_string(left) +
                              (r.key.empty() ? "" : ",k=" + r.key) + ",cluster=" + std::to_string(r.group) +
                              " */";
  const std::string handle = "'h" + std::to_string(ids_ % 1000) + "'";
  if (r.cls->write)
    r.statement = "INSERT INTO rows (handle, blob) VALUES (" + handle + ", '" +
                  std::string(s_.valueBytes, 'x') + "') RETURNING blob" + comment;
  else
    r.statement = "SELECT blob FROM rows WHERE handle = " + handle + comment;
}

void Clients::ask(Request r) {
  write(r, c_.now());
  audit_.request(c_.now(), r.id);
  ++out_;
  Connection* c = nullptr;
  if (!idle_.empty()) {
    c = idle_.back();
    idle_.pop_back();
  } else {
    connections_.push_back(std::make_unique<Connection>(*this));
    c = connections_.back().get();
  }
  c->ask(std::move(r));
}

void Clients::again() {
  const Time now = c_.now();
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    Request r = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    ask(std::move(r));
  }
  if (!waiting_.empty()) retry_.in(waiting_.begin()->first - now);
}

void Clients::done(Request& r, Got got, const std::string& value, Time retryAfter) {
  --out_;
  const Time now = c_.now(), latency = now - r.first;
  const bool inTime = got == Got::Served && latency <= r.cls->aim;
  const bool again = got == Got::Refused && r.retriesLeft > 0 && now + retryAfter < r.deadline;
  const double worth = again ? 0 : r.cls->worth;  // a request's worth counts once, with its last try
  const double earned = got != Got::Served ? 0 : inTime ? worth : worth * r.cls->lateWorth;
  std::string plain = value;
  if (s_.valueBytes > 0) plain = plain.substr(0, plain.find('.'));
  audit_.answer(now, r.id, got, plain, latency, inTime, worth, earned);
  if (got == Got::Served) latencies_.push_back(static_cast<double>((now - r.at).count()) / 1e3);
  if (again) {
    --r.retriesLeft;
    waiting_.emplace(now + retryAfter + c_.uniform(Time(0), Time(20000)), r);
    retry_.in(waiting_.begin()->first - now);
  } else if (s_.loop && running_) {
    next_.in(Time(0));
  }
}

}  // namespace sablespur::lab
