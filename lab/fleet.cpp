#include "lab/fleet.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/statement_comment.hpp"

namespace sablespur::lab {
namespace {

// Added to each time limit of the rules, to allow for delays of the sockets.
constexpr Time kSocketSlack = std::chrono::milliseconds(50);

std::string encodeInt32(std::uint32_t v) {
  return {static_cast<char>(v >> 24), static_cast<char>(v >> 16), static_cast<char>(v >> 8),
          static_cast<char>(v)};
}
std::string resultRow(const std::string& value) {
  std::string column("\0\1blob\0", 7);
  column.append(18, '\0');
  return postgres::message('T', column) +
         postgres::message(
             'D', std::string("\0\1", 2) + encodeInt32(static_cast<std::uint32_t>(value.size())) + value);
}
std::string parameterStatus(const std::string& name, const std::string& value) {
  return postgres::message('S', name + '\0' + value + '\0');
}
// Hashes a request id to [0, 1). The work of a request depends only on its id, not on the server.
double hashFraction(std::string_view id) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const unsigned char c : id) h = (h ^ c) * 0x100000001b3ull;
  h ^= h >> 29;
  return static_cast<double>((h * 0xbf58476d1ce4e5b9ull) >> 11) / 9007199254740992.0;
}
std::string_view commentField(std::string_view text, std::string_view name) {
  const std::size_t open = text.rfind("/*");
  if (open == std::string_view::npos) return {};
  text.remove_prefix(open);
  for (std::size_t at = 0; (at = text.find(name, at)) != std::string_view::npos; ++at) {
    const char before = text[at - 1];
    if ((before == ' ' || before == ',') && text.size() > at + name.size() && text[at + name.size()] == '=') {
      const std::size_t from = at + name.size() + 1;
      return text.substr(from, text.find_first_of(", ", from) - from);
    }
  }
  return {};
}

}  // namespace

std::string hostText(const sockaddr_in& a) {
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &a.sin_addr, text, sizeof text);
  return text;
}
std::string addressText(const sockaddr_in& a) {
  return hostText(a) + ":" + std::to_string(ntohs(a.sin_port));
}
int socketFrom(std::uint32_t address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  sockaddr_in from{};
  from.sin_family = AF_INET;
  from.sin_addr.s_addr = htonl(address);
  const int on = 1;
  setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof from) == 0) return fd;
  close(fd);
  return -1;
}
std::uint32_t addressNumber(const std::string& text) {
  in_addr a{};
  inet_pton(AF_INET, text.c_str(), &a);
  return ntohl(a.s_addr);
}
void put(bufferevent* to, std::string_view bytes) { bufferevent_write(to, bytes.data(), bytes.size()); }

// One client or proxy connection. Accepts every plain login and processes one query at a time.
class DataServer::Connection {
 public:
  Connection(DataServer& s, int proxy, evutil_socket_t fd)
      : s_(s),
        proxy_(proxy),
        number_(++s.lastConnectionNumber_),
        completionTimer_(s.c_, [this] { finish(); }) {
    if (s.generation_) protocol_ = std::make_unique<ServerProtocol>(*s.generation_, number_);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bev_.reset(bufferevent_socket_new(s.c_.loop.get(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->read(); }, nullptr,
        [](bufferevent*, short what, void* self) {
          if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) static_cast<Connection*>(self)->close();
        },
        this);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    s_.connections_.insert(this);
  }
  ~Connection() {
    abandonAttempt();
    s_.connections_.erase(this);
  }
  void resetOnClose() {
    const linger hard{1, 0};
    setsockopt(bufferevent_getfd(bev_.get()), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  void read() {
    if (s_.vanished_) return;  // input stays buffered until the server is back
    evbuffer* const in = bufferevent_get_input(bev_.get());
    while (!busy_ && !closing_) {
      const std::size_t have = evbuffer_get_length(in);
      if (!greeted_ && protocol_) {
        if (!readStartup(in)) return;
        continue;
      }
      if (!greeted_) {
        char length[4];
        if (have < 8 || evbuffer_copyout(in, length, 4) < 4 || have < postgres::readInt32(length)) return;
        evbuffer_drain(in, postgres::readInt32(length));
        greeted_ = true;
        put(bev_.get(), postgres::greeting());
        continue;
      }
      char bytes[postgres::kHeaderSize];
      if (evbuffer_copyout(in, bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) return;
      const auto head = postgres::parseHeader(bytes);
      if (!head || head->type == 'X') return close();
      if (have < sizeof bytes + head->bodySize) return;
      const auto* const at = reinterpret_cast<const char*>(
          evbuffer_pullup(in, static_cast<ev_ssize_t>(sizeof bytes + head->bodySize)));
      const std::string text(at + sizeof bytes, head->bodySize > 0 ? head->bodySize - 1 : 0);
      evbuffer_drain(in, sizeof bytes + head->bodySize);
      if (head->type != 'Q') return close();
      query(text);
    }
  }

  // Cancels the current statement, after a CancelRequest on another connection.
  void cancelStatement() {
    if (!busy_) return;
    s_.audit_.countEvent("cancels_reached_servers");
    const Time now = s_.c_.now();
    if (end_ > now) s_.machine_->stop(now, end_);
    completionTimer_.stop();
    error("57014", "canceling statement due to user request");
  }
  std::uint32_t number() const { return number_; }

 private:
  // Processes startup messages. Returns true once the client is logged in; false if more input is
  // needed, the connection is about to close, or this object was destroyed.
  bool readStartup(evbuffer* in) {
    std::string bytes(evbuffer_get_length(in), '\0'), send;
    if (bytes.empty()) return false;
    evbuffer_remove(in, bytes.data(), bytes.size());
    startupBytes_ += bytes;
    ServerProtocol::Result got;
    do {
      got = protocol_->take(startupBytes_, send);
    } while (got == ServerProtocol::Result::More && !send.empty() && !startupBytes_.empty());
    if (!send.empty()) put(bev_.get(), send);
    switch (got) {
      case ServerProtocol::Result::More:
        return false;
      case ServerProtocol::Result::In:
        greeted_ = true;
        if (s_.generation_->login == "scram") s_.audit_.countEvent("scram_logins_at_servers");
        if (protocol_->requestedNewerVersion()) s_.audit_.countEvent("row_16");
        return true;
      case ServerProtocol::Result::Cancel: {
        const std::set<Connection*> all = s_.connections_;
        for (Connection* c : all)
          if (c->number() == protocol_->cancelled()) {
            c->cancelStatement();
            break;
          }
        close();
        return false;
      }
      case ServerProtocol::Result::Out:
        closing_ = true;
        completionTimer_.in(Time(0));
        return false;
    }
    return false;
  }
  void close() { delete this; }
  // Stops the work of an attempt whose connection has closed.
  void abandonAttempt() {
    if (!busy_) return;
    busy_ = false;
    if (end_ > s_.c_.now()) s_.machine_->stop(s_.c_.now(), end_);
    s_.audit_.ended(s_.c_.now(), token_, false);
  }

  void query(const std::string& text) {
    const Time now = s_.c_.now();
    if (text == "SHOW load") {
      s_.audit_.probe(now);
      s_.machine_->sent(now, static_cast<double>(s_.fleet_.s_.probeWork.count()));
      s_.machine_->take(now, static_cast<double>(s_.fleet_.s_.probeWork.count()));
      char report[96];
      std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,inflight=%zu",
                    static_cast<double>(s_.c_.unixMs(s_.reportedPosition(now))) / 1e3,
                    s_.fleet_.primary(s_.group_) == &s_ ? 1 : 0, s_.machine_->held(now));
      s_.audit_.roleReported(now, proxy_, s_.number_, s_.fleet_.primary(s_.group_) == &s_);
      return put(bev_.get(), resultRow(report) + postgres::message('C', std::string("SHOW\0", 5)) +
                                 postgres::readyForQuery());
    }
    const postgres::Comment comment = postgres::parseComment(text);
    const ClassModel* const cls = comment.fault ? nullptr : s_.fleet_.find(std::string(comment.className));
    if (!cls) return error("08P01", "not in this form");
    const bool primary = s_.fleet_.primary(s_.group_) == &s_;
    id_ = std::string(comment.id);
    if (protocol_ && !checkDeskStatement(text)) return;
    key_ = std::string(commentField(text, "k"));
    cls_ = cls;
    const double work = static_cast<double>(cls->workLeast.count()) +
                        hashFraction(id_) * static_cast<double>((cls->workMost - cls->workLeast).count());
    Audit::Send send;
    send.at = now;
    send.proxy = proxy_;
    send.server = s_.number_;
    send.id = id_;
    send.key = key_;
    send.cls = cls->name;
    send.read = !cls->write;
    send.age = now - s_.position(now);
    send.bound = cls->bound;
    send.hasBeenPrimary = s_.hasBeenPrimary();
    token_ = s_.audit_.send(std::move(send));
    busy_ = true;
    arrived_ = now;
    end_ = Time(0);
    if (s_.machine_->sent(now, work)) {
      s_.audit_.overloaded(now, s_.number_);
      s_.fellOver_ = true;
      return s_.killTimer_.in(Time(0));  // deferred: it destroys this connection
    }
    if (s_.hangs_) return;
    if (cls->write && !primary) return error("25006", "this is no primary");
    if (s_.errors_ > 0 && s_.c_.uniform(0.0, 1.0) < s_.errors_) return error("XX000", "scripted");
    if (s_.resets_ > 0 && s_.c_.uniform(0.0, 1.0) < s_.resets_) {
      resetOnClose();
      closing_ = true;
      return completionTimer_.in(Time(0));
    }
    if (work <= 0) return complete();
    const auto end = s_.machine_->take(now, work);
    if (!end) return error("53300", "the queue is full");
    end_ = *end;
    completionTimer_.in(end_ - now);
  }
  // Checks that the literal of a desk client arrives with the value that the client meant. Returns
  // false if the statement has already been answered.
  bool checkDeskStatement(const std::string& text) {
    if (text.rfind("SELECT missing", 0) == 0) {
      put(bev_.get(),
          protocol_->problem("42703", "column \"missing\" does not exist") + postgres::readyForQuery());
      return false;
    }
    const std::size_t note = text.find("note = ");
    if (note == std::string::npos) return true;
    const auto literal = protocol_->literal(text, note + 7);
    s_.audit_.value(literal == textOf(id_));
    const bool two = text.find("/* by 2.0 */") != std::string::npos;
    if (two && s_.generation_->login == "scram") s_.audit_.countEvent("row_13");
    if (s_.generation_->backslashes != two) s_.audit_.countEvent("row_9");
    return true;
  }
  void error(const char* code, const char* text) {
    if (busy_) s_.audit_.ended(s_.c_.now(), token_, false);
    busy_ = false;
    put(bev_.get(), postgres::error("ERROR", code, text) + postgres::readyForQuery());
  }
  void finish() {
    if (closing_) return close();
    complete();
    read();
  }
  void complete() {
    if (!busy_ || s_.hangs_ || s_.vanished_) return;
    const Time now = s_.c_.now();
    std::string value = "v-" + id_;
    if (value.size() < s_.fleet_.s_.valueBytes) value.resize(s_.fleet_.s_.valueBytes, '.');
    Time position = s_.reportedPosition(now);
    const bool primary = s_.fleet_.primary(s_.group_) == &s_;
    if (cls_->write) {
      if (!primary) return error("XX000", "it lost its role while it held the write");
      value = s_.fleet_.write(s_.group_, *cls_, key_, value, arrived_, now);
      position = now;
    }
    busy_ = false;
    s_.audit_.ended(now, token_, true);
    s_.audit_.roleReported(now, proxy_, s_.number_, primary);
    if (protocol_) s_.audit_.countEvent(("served_by_" + s_.generation_->name).c_str());
    const std::string between = protocol_ ? protocol_->between() : std::string();
    if (!between.empty()) s_.audit_.countEvent("row_14"), s_.audit_.countEvent("row_15");
    const std::size_t size = std::max<std::size_t>(s_.fleet_.s_.valueBytes, 1);
    put(bev_.get(),
        between + (protocol_ ? protocol_->row(bytesOf(id_, size)) : resultRow(value)) +
            postgres::message('C', std::string(cls_->write ? "INSERT 0 1" : "SELECT 1") + '\0') +
            parameterStatus("role", primary ? "primary" : "replica") +
            parameterStatus("applied_ms", std::to_string(s_.c_.unixMs(position) + (cls_->write ? 1 : 0))) +
            postgres::readyForQuery());
  }

  DataServer& s_;
  const int proxy_;
  const std::uint32_t number_;
  std::unique_ptr<ServerProtocol> protocol_;  // only in a fleet with generations
  std::string startupBytes_;                  // unprocessed startup bytes
  BufferEventPtr bev_;
  Timer completionTimer_;
  bool greeted_ = false, busy_ = false, closing_ = false;
  std::string id_, key_;
  const ClassModel* cls_ = nullptr;
  std::uint64_t token_ = 0;
  Time end_{}, arrived_{};
};

DataServer::DataServer(Context& c, Fleet& fleet, Audit& audit, int number, int group, const std::string& zone,
                       double speed)
    : c_(c),
      fleet_(fleet),
      audit_(audit),
      number_(number),
      group_(group),
      name_("s-" + std::to_string(number)),
      zone_(zone),
      speed_(speed),
      killTimer_(c, [this] { kill(); }) {
  if (const auto& all = fleet.s_.generations; !all.empty())
    generation_ = all[static_cast<std::size_t>(number - 1) % all.size()];
  MachineSettings m = fleet.s_.machine;
  m.speed = speed;
  machine_ = std::make_unique<Machine>(m, Time(0), true);
  log_ = std::make_unique<LogApply>(c.uniform(fleet.s_.shipLeast, fleet.s_.shipMost), fleet.s_.applyWork);
  runs_ = true;
  listen();
}
DataServer::~DataServer() { closeAll(false); }

sockaddr_in DataServer::address(int proxy) const {
  return loopbackAddress(proxy, 1 + (number_ - 1) % 250, fleet_.s_.basePort + (number_ - 1) / 250);
}

void DataServer::listen() {
  for (int proxy = 0; proxy <= fleet_.s_.proxies; ++proxy) {
    listenerContexts_.push_back(std::make_unique<ListenerContext>(ListenerContext{this, proxy}));
    const sockaddr_in a = address(proxy);
    ListenerPtr l(evconnlistener_new_bind(
        c_.loop.get(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* of) {
          const auto& to = *static_cast<ListenerContext*>(of);
          to.server->onAccepted();
          new Connection(*to.server, to.proxy, fd);  // it deletes itself
        },
        listenerContexts_.back().get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        512, reinterpret_cast<const sockaddr*>(&a), sizeof a));
    if (!l) throw std::runtime_error("a stand-in server cannot listen at " + addressText(a));
    listeners_.push_back(std::move(l));
  }
}

// Counts new connections while the server is cold, from any client: each of them costs it work.
void DataServer::onAccepted() {
  const Time now = c_.now();
  if (startedAt_ == Time(0) || now >= startedAt_ + fleet_.s_.machine.coldFor) return;
  recentAccepts_.push_back(now);
  while (recentAccepts_.front() <= now - std::chrono::seconds(1)) recentAccepts_.pop_front();
  peakAccepts_ = std::max(peakAccepts_, recentAccepts_.size());
}

void DataServer::closeAll(bool reset) {
  listeners_.clear();
  listenerContexts_.clear();
  while (!connections_.empty()) {
    Connection* const c = *connections_.begin();
    if (reset) c->resetOnClose();
    delete c;
  }
}

void DataServer::kill() {
  if (!runs_) return;
  stop();
  if (fleet_.primary(group_) == this) fleet_.onPrimaryLost(group_);
}

void DataServer::stop() {
  if (!runs_) return;
  runs_ = false;
  audit_.cold(machine_->worst());
  closeAll(true);
}

void DataServer::start() {
  if (runs_ || fellOver_) return;
  MachineSettings m = fleet_.s_.machine;
  m.speed = speed_;
  const Time now = c_.now();
  machine_ = std::make_unique<Machine>(m, now, false);
  startedAt_ = now;
  log_->restartFrom(position(now), now);
  runs_ = true;
  hangs_ = vanished_ = false;
  errors_ = resets_ = 0;
  listen();
}

void DataServer::vanish(bool on) {
  vanished_ = on;
  for (const auto& l : listeners_) on ? evconnlistener_disable(l.get()) : evconnlistener_enable(l.get());
  if (on && fleet_.primary(group_) == this) fleet_.onPrimaryLost(group_);
  if (!on) {
    const std::set<Connection*> all = connections_;
    for (Connection* c : all)
      if (connections_.count(c) > 0) c->read();
  }
}

void DataServer::hang(bool on) {
  hangs_ = on;
  if (on && fleet_.primary(group_) == this) fleet_.onPrimaryLost(group_);
  if (!on) closeAll(true), listen();  // requests that it had read get no answer
}

Time DataServer::position(Time now) {
  return fleet_.primary(group_) == this ? now : delayedPosition_.at(log_->position(now));
}

Time DataServer::reportedPosition(Time now) {
  return fleet_.primary(group_) == this ? delayedPosition_.at(now) : position(now);
}

Fleet::Fleet(Context& c, Audit& audit, const FleetSettings& s, std::vector<ClassModel> classes)
    : c_(c), audit_(audit), s_(s), classes_(std::move(classes)), groups_(static_cast<std::size_t>(s.groups)) {
  int number = 0;
  for (int g = 0; g < s.groups; ++g)
    for (int m = 0; m < s.members; ++m) {
      ++number;
      const std::string zone =
          s.zones.empty() ? "" : s.zones[static_cast<std::size_t>(number) % s.zones.size()];
      servers_.push_back(std::make_unique<DataServer>(c, *this, audit, number, g + 1, zone,
                                                      c.uniform(s.speedLeast, s.speedMost)));
      if (m == 0) groups_[static_cast<std::size_t>(g)].primary = servers_.back().get();
      servers_.back()->hasBeenPrimary_ = m == 0;
    }
}
Fleet::~Fleet() = default;

const ClassModel* Fleet::find(const std::string& name) const {
  for (const ClassModel& m : classes_)
    if (m.name == name) return &m;
  return nullptr;
}
DataServer* Fleet::byName(const std::string& name) {
  for (const auto& s : servers_)
    if (s->name() == name) return s.get();
  return nullptr;
}
DataServer* Fleet::primary(int group) { return groups_[static_cast<std::size_t>(group - 1)].primary; }

void Fleet::stepDown(int group) {
  if (primary(group)) onPrimaryLost(group);
}

void Fleet::delay(int group, Time behind) {
  for (const auto& s : servers_) {
    if (s->group() != group) continue;
    s->reportedPosition(c_.now());  // what it has told by now, it has
    s->delayedPosition_.setDelay(behind);
  }
}

void Fleet::stopGroup(int group) {
  const Time now = c_.now();
  groups_[static_cast<std::size_t>(group - 1)].stoppedAt = now;
  for (const auto& s : servers_) {
    if (s->group() != group) continue;
    s->reportedPosition(now);
    s->stop();
  }
}

void Fleet::startGroup(int group) {
  const Time down = c_.now() - groups_[static_cast<std::size_t>(group - 1)].stoppedAt;
  for (const auto& s : servers_) {
    if (s->group() != group) continue;
    s->delayedPosition_.setDelay(down);
    s->start();
  }
}

void Fleet::revive(int group) {
  for (const auto& s : servers_) {
    if (s->group() != group || !s->runs()) continue;
    if (s->hangs_) s->hang(false);
    if (s->vanished_) s->vanish(false);
  }
}

bool Fleet::isAvailable(int group, Time maxAge) {
  const Time now = c_.now();
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& s) {
    return s->group() == group && s->isHealthy() && now - s->position(now) <= maxAge;
  });
}

// The positions of the replicas do not advance until one of them takes over.
void Fleet::onPrimaryLost(int group) {
  Group& g = groups_[static_cast<std::size_t>(group - 1)];
  const Time now = c_.now();
  DataServer* const old = g.primary;
  old->log().restartFrom(now, now);
  g.primary = nullptr;
  for (const auto& s : servers_)
    if (s->group() == group) s->log().cut(true, now);
  g.failover = std::make_unique<Timer>(c_, [this, group] { takeOver(group); });
  g.failover->in(c_.uniform(s_.detectLeast, s_.detectMost) + c_.uniform(s_.takeoverLeast, s_.takeoverMost));
}

void Fleet::takeOver(int group) {
  Group& g = groups_[static_cast<std::size_t>(group - 1)];
  const Time now = c_.now();
  DataServer* best = nullptr;
  for (const auto& s : servers_)
    if (s->group() == group && s->runs() && !s->vanished_ && !s->hangs_ &&
        (!best || s->log().position(now) > best->log().position(now)))
      best = s.get();
  if (!best) return g.failover->in(std::chrono::seconds(1));
  g.primary = best;
  best->hasBeenPrimary_ = true;
  for (const auto& s : servers_)
    if (s->group() == group) s->log().cut(false, now);
}

std::string Fleet::write(int group, const ClassModel& cls, const std::string& key, const std::string& value,
                         Time arrived, Time now) {
  Group& g = groups_[static_cast<std::size_t>(group - 1)];
  if (!key.empty()) {
    const auto it = g.appliedWrites.find(key);
    // Compares arrival times, so that time spent in a queue moves no repeat out of the window.
    if (it != g.appliedWrites.end() && arrived - it->second.at <= cls.droppedFor + kSocketSlack)
      return value;  // a repeat: no effect
    g.appliedWrites[key] = {arrived, value};
    audit_.writeApplied(now, key, cls.droppedFor);
  }
  for (const auto& s : servers_)
    if (s->group() == group && s.get() != g.primary) s->log().commit(now);
  return value;
}

void Fleet::finish(Time) {
  for (const auto& s : servers_) audit_.cold(s->coldMultiple());
}

}  // namespace sablespur::lab
