#include "lab/name_server.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace sablespur::lab {
namespace {

constexpr std::size_t kPlainUdp = 512;  // largest UDP answer without EDNS0 (RFC 1035)

sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}
int openSocket(int type, int port) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in a = loopback(port);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
    if (fd >= 0) close(fd);
    return -1;
  }
  return fd;
}
int portOf(int fd) {
  sockaddr_in a{};
  socklen_t n = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
  return ntohs(a.sin_port);
}

}  // namespace

// One TCP connection: length-prefixed queries, answered in order.
class NameServer::Tcp {
 public:
  Tcp(NameServer& owner, int fd)
      : owner_(owner),
        fd_(fd),
        event_(event_new(
            owner.base_, fd, EV_READ | EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<Tcp*>(self)->read(); }, this)) {
    event_add(event_, nullptr);
  }
  ~Tcp() {
    event_free(event_);
    close(fd_);
  }

 private:
  void read() {
    char bytes[4096];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) return owner_.connections_.remove_if([this](const auto& c) { return c.get() == this; });
    in_.append(bytes, static_cast<std::size_t>(n));
    while (in_.size() >= 2) {
      const std::size_t length =
          std::size_t{static_cast<unsigned char>(in_[0])} << 8 | static_cast<unsigned char>(in_[1]);
      if (in_.size() < 2 + length) return;
      const std::string reply = owner_.answer(in_.substr(2, length), true);
      in_.erase(0, 2 + length);
      if (reply.empty()) continue;
      std::string framed{static_cast<char>(reply.size() >> 8), static_cast<char>(reply.size())};
      framed += reply;
      if (send(fd_, framed.data(), framed.size(), MSG_NOSIGNAL) < 0) return;
    }
  }

  NameServer& owner_;
  const int fd_;
  event* const event_;
  std::string in_;
};

NameServer::NameServer(event_base* base, const std::string& domain, const std::string& service, int port)
    : base_(base),
      domain_(dns::parseName(domain).value()),
      service_(dns::parseName(service + "." + domain).value()) {
  // UDP and TCP use the same port. The system chooses it for UDP, and it may be taken for TCP:
  // hence the retries.
  for (int k = 0; k < 50 && listener_ < 0; ++k) {
    if (udp_ >= 0) close(udp_);
    udp_ = openSocket(SOCK_DGRAM, port);
    if (udp_ < 0) break;
    port_ = portOf(udp_);
    listenTcp();
  }
  other_ = openSocket(SOCK_DGRAM, 0);
  if (udp_ < 0 || listener_ < 0 || other_ < 0)
    throw std::runtime_error("stand-in name server: cannot bind a UDP and a TCP port");
  readable_ = event_new(
      base, udp_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<NameServer*>(self)->readUdp(); }, this);
  event_add(readable_, nullptr);
}

NameServer::~NameServer() {
  connections_.clear();
  event_free(readable_);
  if (acceptable_) event_free(acceptable_);
  for (const int fd : {udp_, other_, listener_})
    if (fd >= 0) close(fd);
}

void NameServer::listenTcp() {
  listener_ = openSocket(SOCK_STREAM, port_);
  if (listener_ < 0) return;
  listen(listener_, 64);
  acceptable_ = event_new(
      base_, listener_, EV_READ | EV_PERSIST,
      [](evutil_socket_t fd, short, void* self) {
        const int c = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        auto& s = *static_cast<NameServer*>(self);
        if (c >= 0) s.connections_.push_back(std::make_unique<Tcp>(s, c));
      },
      this);
  event_add(acceptable_, nullptr);
}

void NameServer::responseMode(ResponseMode m) {
  const bool tcp = m != ResponseMode::TruncatedOnly;
  responseMode_ = m;
  if (tcp && listener_ < 0) listenTcp();
  if (tcp || listener_ < 0) return;
  connections_.clear();
  event_free(acceptable_);
  acceptable_ = nullptr;
  close(listener_);
  listener_ = -1;
}

bool NameServer::parseResponseMode(const std::string& name, ResponseMode& m) {
  static const std::map<std::string, ResponseMode> all{{"good", ResponseMode::Good},
                                                       {"silent", ResponseMode::Silent},
                                                       {"servfail", ResponseMode::ServFail},
                                                       {"refused", ResponseMode::Refused},
                                                       {"lame", ResponseMode::Lame},
                                                       {"noise", ResponseMode::Noise},
                                                       {"loop", ResponseMode::Loop},
                                                       {"counts", ResponseMode::Counts},
                                                       {"wrong-id", ResponseMode::WrongId},
                                                       {"wrong-question", ResponseMode::WrongQuestion},
                                                       {"wrong-port", ResponseMode::WrongPort},
                                                       {"truncated", ResponseMode::Truncated},
                                                       {"truncated-only", ResponseMode::TruncatedOnly},
                                                       {"no-edns", ResponseMode::NoEdns}};
  const auto it = all.find(name);
  if (it != all.end()) m = it->second;
  return it != all.end();
}

void NameServer::publish(const ServiceInstance& i) {
  instances_[i.label] = i;
  ++serial_;
}
void NameServer::withdraw(const std::string& label) {
  instances_.erase(label);
  ++serial_;
}

void NameServer::readUdp() {
  char bytes[4096];
  sockaddr_in from{};
  socklen_t size = sizeof from;
  for (;;) {
    const ssize_t n = recvfrom(udp_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0) return;
    const std::string reply = answer({bytes, static_cast<std::size_t>(n)}, false);
    const int by = responseMode_ == ResponseMode::WrongPort ? other_ : udp_;
    if (!reply.empty()) sendto(by, reply.data(), reply.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
  }
}

dns::Message NameServer::records(const dns::Question& q) const {
  using dns::Record;
  using dns::Type;
  dns::Message m;
  const auto target = [&](const ServiceInstance& i) {
    return dns::parseName("host-" + i.label + "." + domain_).value();
  };
  const auto srv = [&](const ServiceInstance& i, std::vector<Record>& to) {
    if (i.hasSrv)
      to.push_back(
          {*dns::instanceName(i.label, service_), Type::Srv, i.ttl, dns::Srv{0, 0, i.port, target(i)}});
  };
  const auto txt = [&](const ServiceInstance& i, std::vector<Record>& to) {
    const auto strings = i.txt.empty() ? dns::TxtStrings{""} : i.txt;
    if (i.hasTxt) to.push_back({*dns::instanceName(i.label, service_), Type::Txt, i.ttl, strings});
  };
  const auto addresses = [&](const ServiceInstance& i, std::vector<Record>& to, bool v4, bool v6) {
    for (const std::string& text : i.addresses) {
      char bytes[16];
      if (v4 && inet_pton(AF_INET, text.c_str(), bytes) == 1)
        to.push_back({target(i), Type::A, i.ttl, dns::AddressBytes{{bytes, 4}}});
      if (v6 && inet_pton(AF_INET6, text.c_str(), bytes) == 1)
        to.push_back({target(i), Type::Aaaa, i.ttl, dns::AddressBytes{{bytes, 16}}});
    }
  };
  bool exists = q.name == domain_;
  if (q.name == service_) {
    exists = !instances_.empty();
    for (const auto& [label, i] : instances_) {
      if (q.type != Type::Ptr) continue;
      m.answers.push_back({service_, Type::Ptr, i.ttl, *dns::instanceName(label, service_)});
      srv(i, m.additionals);
      txt(i, m.additionals);
      addresses(i, m.additionals, true, true);
    }
  }
  for (const auto& [label, i] : instances_) {
    if (q.name == *dns::instanceName(label, service_)) {
      exists = true;
      if (q.type == Type::Srv) srv(i, m.answers);
      if (q.type == Type::Srv) addresses(i, m.additionals, true, true);
      if (q.type == Type::Txt) txt(i, m.answers);
    }
    if (q.name == target(i)) {
      exists = true;
      addresses(i, m.answers, q.type == Type::A, q.type == Type::Aaaa);
    }
  }
  if (!additionals_) m.additionals.clear();
  if (!exists) m.rcode = dns::Rcode::NxDomain;
  if (m.answers.empty())
    m.authorities.push_back({domain_, Type::Soa, negativeTtl_, dns::Soa{serial_, negativeTtl_}});
  return m;
}

std::string NameServer::answer(const std::string& query, bool tcp) {
  const auto q = dns::parse(query);
  if (!q || q->response || !q->question) return {};
  ++(tcp ? counts_.tcp : counts_.udp);
  ++counts_.types[q->question->type];
  const std::size_t most = tcp ? dns::kMaxMessageSize : std::max<std::size_t>(q->udpPayload, kPlainUdp);
  dns::Message m = records(*q->question);
  m.id = q->id;
  m.response = m.authoritative = true;
  m.question = q->question;
  m.udpPayload = q->udpPayload > 0 ? 4096 : 0;
  const auto error = [&](dns::Rcode r) {
    dns::Message e;
    e.id = q->id;
    e.response = true;
    e.question = q->question;
    e.rcode = r;
    return dns::encode(e);
  };
  const auto emptied = [&] {
    m.answers.clear();
    m.additionals.clear();
    m.rcode = dns::Rcode::NxDomain;
    m.authorities = {{domain_, dns::Type::Soa, 60, dns::Soa{serial_, 60}}};
  };
  switch (responseMode_) {
    case ResponseMode::Silent:
      return {};
    case ResponseMode::ServFail:
      return error(dns::Rcode::ServFail);
    case ResponseMode::Refused:
      return error(dns::Rcode::Refused);
    case ResponseMode::Lame:
      return error(dns::Rcode::NoError);
    case ResponseMode::Noise:
      return std::string(query.substr(0, 2)) + std::string("\x84\x00\xff\xff\xff\xff noise", 12);
    case ResponseMode::Loop: {
      std::string bytes = error(dns::Rcode::NoError);
      bytes[7] = 1;  // one answer, whose compressed name points to itself
      const auto at = bytes.size();
      bytes += {static_cast<char>(0xc0 | at >> 8), static_cast<char>(at), 0, 12, 0, 1, 0, 0, 0, 9, 0, 0};
      return bytes;
    }
    case ResponseMode::Counts: {
      std::string bytes = dns::encode(m);
      bytes[6] = 0x7f;
      return bytes;
    }
    case ResponseMode::WrongId:
      emptied();
      m.id ^= 1;
      return dns::encode(m, most);
    case ResponseMode::WrongQuestion:
      emptied();
      m.question->name = "other." + m.question->name;
      return dns::encode(m, most);
    case ResponseMode::WrongPort:
      emptied();
      return dns::encode(m, most);
    case ResponseMode::Truncated:
    case ResponseMode::TruncatedOnly:
      return dns::encode(m, tcp ? most : 0);
    case ResponseMode::NoEdns:
      if (q->udpPayload > 0) return error(dns::Rcode::FormErr);
      break;
    case ResponseMode::Good:
      break;
  }
  const std::string bytes = dns::encode(m, most);
  if (onListSent && q->question->name == service_ && q->question->type == dns::Type::Ptr) {
    std::map<std::string, bool> all;
    for (const auto& [label, i] : instances_)
      all[label] = std::find(i.txt.begin(), i.txt.end(), "state=leaving") == i.txt.end();
    const auto sent = dns::parse(bytes);
    if (sent && !sent->truncated) onListSent(all);
  }
  return bytes;
}

}  // namespace sablespur::lab
