#include "discovery/dnssd/resolver.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "discovery/dnssd/answer_kind.hpp"
#include "engine/system_calls.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kMaxDatagramSize = 65535;
// Bounds the time that a flood of forged answers takes from the loop.
constexpr int kMaxDatagramsPerRead = 64;

// Owns a socket; -1: none.
struct Socket {
  int fd = -1;
  ~Socket() { reset(); }
  void reset(int other = -1) {
    if (fd >= 0) close(fd);
    fd = other;
  }
};

const char* rcodeName(dns::Rcode r) {
  switch (r) {
    case dns::Rcode::NoError:
      return "NOERROR and nothing of use";
    case dns::Rcode::FormErr:
      return "FORMERR";
    case dns::Rcode::ServFail:
      return "SERVFAIL";
    case dns::Rcode::NxDomain:
      return "NXDOMAIN without the zone's SOA";
    case dns::Rcode::NotImp:
      return "NOTIMP";
    case dns::Rcode::Refused:
      return "REFUSED";
  }
  return "an error of its own";
}

}  // namespace

// One query, from one server to the next until one answers.
class Resolver::Lookup {
 public:
  Lookup(Resolver& owner, dns::Question q, bool tcp)
      : owner_(owner),
        question_(std::move(q)),
        startsWithTcp_(tcp),
        tried_(owner.settings_.servers.size()),
        timer_(event_new(
            owner.base_, -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<Lookup*>(self)->onTimer(); }, this)) {
    startTimer(timer_.get(), Time(0));  // the first try comes from the loop
  }

  const dns::Question& question() const { return question_; }

 private:
  void onTimer() {
    if (!started_) return queryNextServer();
    serverFailed("no answer in time");
  }
  const Address& server() const { return owner_.settings_.servers[serverIndex_]; }

  void queryNextServer() {
    const auto k = owner_.servers_.select(owner_.clock_.now(), tried_);
    if (!k) {
      Reply r;
      r.error = lastError_;
      ++owner_.counts_.failed;
      return owner_.finish(*this, std::move(r));
    }
    owner_.counts_.failovers += started_;
    started_ = true;
    serverIndex_ = *k;
    tried_[serverIndex_] = true;
    startsWithTcp_ ? sendOverTcp() : sendOverUdp();
  }
  // The server has failed for this query.
  void serverFailed(const std::string& why) {
    owner_.servers_.recordFailure(serverIndex_, owner_.clock_.now());
    leaveServer(why);
  }
  // Not counted against the server where this machine had no socket or no route to it.
  void socketCallFailed(SocketFault fault, int error) {
    if (fault == SocketFault::Peer) return serverFailed(std::strerror(error));
    leaveServer(std::strerror(error));
  }
  void leaveServer(const std::string& why) {
    close();
    lastError_ = server().text() + ": " + why;
    queryNextServer();
  }
  void close() {
    event_.reset();
    socket_.reset();
    tcp_.reset();
    event_del(timer_.get());
  }

  std::string encodeQuery() {
    id_ = static_cast<std::uint16_t>(owner_.random_());
    const int payload = owner_.withoutEdns_[serverIndex_] ? 0 : owner_.settings_.udpPayload;
    return dns::encodeQuery(id_, question_, static_cast<std::uint16_t>(payload));
  }

  void sendOverUdp() {
    ++owner_.counts_.udp;
    socket_.reset(::socket(server().data()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket_.fd < 0) return deferSocketFailure(SocketCall::Open, errno);
    // Connected, so that the kernel passes on only what comes from this server's address and port.
    if (connect(socket_.fd, server().data(), server().size()) != 0)
      return deferSocketFailure(SocketCall::Connect, errno);
    const std::string bytes = encodeQuery();
    ssize_t sent;
    do sent = send(socket_.fd, bytes.data(), bytes.size(), 0);
    while (sent < 0 && errno == EINTR);
    if (sent < 0) return deferSocketFailure(SocketCall::Transfer, errno);
    event_.reset(event_new(
        owner_.base_, socket_.fd, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<Lookup*>(self)->readUdp(); }, this));
    event_add(event_.get(), nullptr);
    startTimer(timer_.get(), owner_.settings_.attemptTimeout);
  }
  // Reports the failure from the loop, not within the call: all servers may fail like this, one within the
  // other.
  void deferSocketFailure(SocketCall call, int error) {
    pendingFault_ = classify(call, error);
    pendingErrno_ = error;
    event_.reset(event_new(
        owner_.base_, -1, 0,
        [](evutil_socket_t, short, void* self) {
          auto& l = *static_cast<Lookup*>(self);
          l.socketCallFailed(l.pendingFault_, l.pendingErrno_);
        },
        this));
    event_del(timer_.get());
    startTimer(event_.get(), Time(0));
  }

  void readUdp() {
    static char bytes[kMaxDatagramSize];  // one loop, one thread
    for (int k = 0; k < kMaxDatagramsPerRead; ++k) {
      const ssize_t n = recv(socket_.fd, bytes, sizeof bytes, 0);
      if (n < 0) {
        const SocketFault fault = classify(SocketCall::Transfer, errno);
        if (fault == SocketFault::None || fault == SocketFault::Transient) return;
        return socketCallFailed(fault, errno);  // ECONNREFUSED: nobody listens there
      }
      auto m = dns::parse({bytes, static_cast<std::size_t>(n)});
      if (m && matchesQuery(*m)) return acceptResponse(std::move(*m), false);
      ++owner_.counts_.discarded;
    }
  }
  // RFC 5452 section 9.1: id, question and, by the connected socket, addresses and ports.
  bool matchesQuery(const dns::Message& m) const {
    if (!m.response || m.id != id_) return false;
    if (m.question) return *m.question == question_;
    return m.rcode == dns::Rcode::FormErr;  // a server that cannot read the question need not repeat it
  }

  void acceptResponse(dns::Message m, bool tcp) {
    close();
    if (m.rcode == dns::Rcode::FormErr && !owner_.withoutEdns_[serverIndex_]) {  // RFC 6891 section 7
      owner_.withoutEdns_[serverIndex_] = true;
      return tcp ? sendOverTcp() : sendOverUdp();
    }
    if (m.truncated && !tcp) return sendOverTcp();
    if (classifyAnswer(question_, m) == AnswerKind::Unusable)
      return serverFailed(std::string("it answers ") + rcodeName(m.rcode));
    owner_.servers_.recordAnswer(serverIndex_);
    Reply r;
    r.ok = true;
    r.message = std::move(m);
    r.tcp = tcp;
    owner_.finish(*this, std::move(r));
  }

  void sendOverTcp() {
    ++owner_.counts_.tcp;
    const std::string bytes = encodeQuery();
    const StartedConnect started = startConnect(server());
    if (started.fd < 0) return deferSocketFailure(SocketCall::Connect, started.error);
    tcp_.reset(bufferevent_socket_new(owner_.base_, started.fd, BEV_OPT_CLOSE_ON_FREE));
    const char length[2] = {static_cast<char>(bytes.size() >> 8), static_cast<char>(bytes.size())};
    append(bufferevent_get_output(tcp_.get()), {length, sizeof length});
    append(bufferevent_get_output(tcp_.get()), bytes);
    bufferevent_setcb(
        tcp_.get(), [](bufferevent*, void* self) { static_cast<Lookup*>(self)->readTcp(); }, nullptr,
        [](bufferevent*, short what, void* self) {
          if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            static_cast<Lookup*>(self)->serverFailed("the TCP connection ended or never came up");
        },
        this);
    bufferevent_enable(tcp_.get(), EV_READ | EV_WRITE);
    startTimer(timer_.get(), owner_.settings_.attemptTimeout);
    bufferevent_socket_connect(tcp_.get(), nullptr, 0);  // already started: this waits for its end
  }
  void readTcp() {
    evbuffer* const in = bufferevent_get_input(tcp_.get());
    unsigned char length[2];
    if (evbuffer_copyout(in, length, sizeof length) < static_cast<ev_ssize_t>(sizeof length)) return;
    const std::size_t whole = std::size_t{length[0]} << 8 | length[1];
    if (evbuffer_get_length(in) < sizeof length + whole) return;
    const auto* const at =
        reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(sizeof length + whole)));
    auto m = dns::parse({at + sizeof length, whole});
    if (!m || !matchesQuery(*m)) {
      ++owner_.counts_.discarded;
      return serverFailed("it answers over TCP what was not asked");
    }
    acceptResponse(std::move(*m), true);
  }

  Resolver& owner_;
  const dns::Question question_;
  const bool startsWithTcp_;
  std::vector<bool> tried_;
  Event timer_, event_;
  Socket socket_;
  BufferEvent tcp_;
  std::size_t serverIndex_ = 0;
  std::uint16_t id_ = 0;
  bool started_ = false;
  std::string lastError_ = "no name server";
  SocketFault pendingFault_ = SocketFault::None;  // of deferSocketFailure
  int pendingErrno_ = 0;
};

Resolver::Resolver(event_base* base, const Clock& clock, const DnsSdSettings& settings, Callback done)
    : base_(base),
      clock_(clock),
      settings_(settings),
      callback_(std::move(done)),
      servers_(settings.servers.size()),
      withoutEdns_(settings.servers.size()) {}
Resolver::~Resolver() = default;

void Resolver::query(const dns::Question& q, bool tcp) {
  auto l = std::make_unique<Lookup>(*this, q, tcp);
  lookups_.emplace(l.get(), std::move(l));
}

void Resolver::finish(Lookup& l, Reply reply) {
  const auto it = lookups_.find(&l);
  const std::unique_ptr<Lookup> keep = std::move(it->second);  // the call comes from it
  lookups_.erase(it);
  const dns::Question q = keep->question();
  callback_(q, reply);
}

}  // namespace sablespur
