#include "scenario.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include "lab/name_server.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/login.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/startup.hpp"

namespace sablespur::test {
namespace {

constexpr auto kWatchdog = std::chrono::seconds(20);

sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}
int listenOn(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback(0);
  socklen_t n = sizeof a;
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), n) != 0 || listen(fd, 64) != 0) abort();
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
  port = ntohs(a.sin_port);
  return fd;
}
void put(int fd, const std::string& bytes) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return;  // the other side has closed: a later step tells
    at += static_cast<std::size_t>(n);
  }
}
long long unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
std::string number(std::uint32_t v) {
  const char bytes[] = {static_cast<char>(v >> 24), static_cast<char>(v >> 16), static_cast<char>(v >> 8),
                        static_cast<char>(v)};
  return {bytes, 4};
}
// "big" stands for the longest value: 64 KiB.
std::string value(const std::string& text) { return text == "big" ? std::string(65536, '\x7f') : text; }
std::string row(const std::string& text) {
  std::string column("\0\1blob\0", 7);
  column.append(18, '\0');
  const std::string cell = std::string("\0\1", 2) + number(static_cast<std::uint32_t>(text.size())) + text;
  return postgres::message('T', column) + postgres::message('D', cell);
}
std::string parameter(const std::string& name, const std::string& text) {
  return postgres::message('S', name + '\0' + text + '\0');
}

}  // namespace

std::string configuration(const Setting& setting, int discoveryPort, const std::vector<int>& ports) {
  std::ostringstream s;
  s << R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" << discoveryPort
    << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" << setting.memoryMb
    << R"(,"sockets":)" << setting.sockets << "}"
    << (setting.controlPort ? R"(,"control":"127.0.0.1:)" + std::to_string(setting.controlPort) + "\"" : "")
    << R"(,"known":{"generation":5,"reset":true,"instances":[)";
  for (std::size_t k = 0; k < ports.size(); ++k)
    s << (k ? "," : "") << R"({"instanceId":"s-)" << k + 1 << R"(","hostPort":"127.0.0.1:)" << ports[k]
      << R"(","zone":"a","machineType":"m","cell":3,"lifecycle":"active","weight":1.0,"startedAtMs":)"
      << (setting.justStarted ? std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count()
                              : 0)
      << "}";
  s << "]}";
  if (setting.peers > 0) s << R"(,"peer_listen":"127.0.0.1:0","peers":[)";
  for (int k = 0; k < setting.peers; ++k)
    s << (k ? "," : "") << "\"127.78." << k / 250 << "." << k % 250 + 1 << ":9\"";
  s << (setting.peers > 0 ? "]" : "") << R"(,"settings":{"allowed":{"peers":)"
    << (setting.peers > 0 ? "true" : "false")
    << R"(,"attemptsCap":8,"cancel":true,"dialTimeoutUs":250000,"idleCloseUs":)" << setting.idleCloseUs
    << R"(,"maxRetryAfterUs":1000000,"parallelTries":false,"probing":)"
    << (setting.probing ? "true" : "false") << R"(,"retryAfter":true},"balancers":)" << setting.balancers
    << R"(,
"classes":[{"deadlineUs":9000000,"effect":"safe","lateWorth":0.0,"name":"read","promiseUs":8000000,"worth":1.0},
{"deadlineUs":9000000,"effect":"keyed","group":"cell","lateWorth":0.5,"memorySpanUs":9000000,"name":"write",
"promiseUs":8000000,"worth":6.0}],"discovery":")"
    << setting.discovery << R"(","goal":{"whole":0.55,"worstClass":0.3},
"obligations":{"coldUs":18000000,"drainGraceUs":1000000,"fallMultiple":2.5,"fallUs":1500000,
"mustAskInUs":10000000,"startCapacity":0.21},"report":{"how":")"
    << setting.reports << R"(","names":["x0","x1","inflight"]},
"specifics":{"checks":"silent","classBoundUs":[)"
    << setting.boundMs << R"(000,0],"consistency":["bounded","write"],"holdsForUs":0,
"roleListed":"silent","sessionMarks":"carried","stamps":true,"synchronous":false,"zeroUs":5},
"stepUs":5000,"zones":["a","b"]}})";
  return s.str();
}

std::string settingsFile(const Setting& setting, int discoveryPort, const std::vector<int>& ports,
                         const std::string& domain) {
  std::ostringstream s;
  s << "[proxy]\nname = n0\nlisten = 127.0.0.1:0\nproxies = 3\nzones = a, b\nseed = "
       "8c1f30d27a5be964\n[limits]\nmemory = "
    << setting.memoryMb << "MB\ndescriptors = " << setting.sockets << "\nidle_close = " << setting.idleCloseUs
    << "us\n[discovery]\n";
  if (setting.dnssd)
    s << "source = dnssd\n[dnssd]\ndomain = " << domain << "\nname_servers = 127.0.0.1:" << discoveryPort
      << "\nrefresh_least = 100ms\nrefresh_most = 200ms\ngroup = 3\n";
  else
    s << "registry = 127.0.0.1:" << discoveryPort << "\n";
  if (!setting.dataServers.empty()) s << "[data_servers]\n" << setting.dataServers;
  if (!setting.clients.empty()) s << "[clients]\n" << setting.clients;
  for (std::size_t k = 0; !setting.dnssd && k < ports.size(); ++k)
    s << "[member s-" << k + 1 << "]\naddress = 127.0.0.1:" << ports[k] << "\ngroup = 3\nzone = a\n";
  s << "[class read]\ndata = bounded\nmax_age = 5s\nrepeats = safe\naim = 8s\ngive_up = 9s\n"
       "[class write]\ndata = write\nrepeats = keyed\nrepeats_dropped_for = 9s\naim = 8s\ngive_up = 9s\n"
       "worth = 6\nlate_worth = 50%\n"
    << setting.more;
  return s.str();
}

int spawn(const std::string& configPath, int descriptors, int& err, const std::vector<std::string>& arguments,
          int inherited) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) abort();
  const int pid = fork();
  if (pid == 0) {
    dup2(ends[1], 1);
    dup2(ends[1], 2);
    for (int k = 0; k < inherited; ++k)
      if (dup(2) < 0) _exit(126);
    if (descriptors > 0) {
      const rlimit limit{static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    setenv("NODE_CONFIG", configPath.c_str(), 1);
    std::vector<char*> argv{const_cast<char*>("sablespur")};
    for (const std::string& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
    argv.push_back(nullptr);
    execv(SABLESPUR_PROGRAM, argv.data());
    _exit(127);
  }
  close(ends[1]);
  err = ends[0];
  return pid;
}

Scenario::Scenario(const Setting& setting)
    : setting_(setting), servers_(static_cast<std::size_t>(setting.servers)) {
  for (Server& s : servers_) s.listener = listenOn(s.port);
  servers_.front().primary = true;
  for (Server& s : servers_) s.speaks = setting.speaks;
  int listPort = 0;
  listListener_ = listenOn(listPort);
  if (setting.dnssd) {
    base_.reset(event_base_new());
    names_ = std::make_unique<lab::NameServer>(base_.get(), domain_, "_postgresql._tcp");
    listPort = names_->port();
    for (std::size_t k = 1; k <= servers_.size(); ++k) run("dns publish s" + std::to_string(k));
  }
  char path[] = "/tmp/sablespur-test-XXXXXX";
  const int file = mkstemp(path);
  configPath_ = path;
  close(file);
  configure(listPort);
  launch();
}

void Scenario::launch() {
  using Arguments = std::vector<std::string>;
  const std::size_t from = log_.size();
  pid_ = spawn(configPath_, setting_.descriptors, err_,
               setting_.ini || setting_.dnssd ? Arguments{"serve", "--config", configPath_} : Arguments{},
               setting_.inherited);
  at_ = "start";
  until([&] { return log_.find(" port=", from) != std::string::npos && log_.back() == '\n'; }, "a port");
  port_ = std::atoi(log_.c_str() + log_.find(" port=", from) + 6);
  if (setting_.dnssd) {
    run("proxy expect log event=endpoint_changed name=s-" + std::to_string(servers_.size()));
    return;
  }
  if (!setting_.firstList) return run("list expect call after=5");
  run(R"(
    list expect watch after=)" +
      std::string(setting_.ini ? "0" : "5") + R"(
    list send line {"generation":5,"reset":false,"instances":[]}
  )");
}

void Scenario::configure(int listPort) const {
  std::vector<int> ports;
  for (const Server& s : servers_) ports.push_back(s.port);
  std::ofstream(configPath_) << (setting_.ini || setting_.dnssd
                                     ? settingsFile(setting_, listPort, ports, domain_)
                                     : configuration(setting_, listPort, ports));
}

Scenario::~Scenario() {
  if (!exited_) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  for (auto& [name, c] : clients_) close(c.fd);
  for (auto& [name, d] : desks_) close(d.c.fd);
  for (Server& s : servers_) {
    close(s.listener);
    for (Connection& c : s.all) close(c.fd);
  }
  for (Connection& c : watches_) close(c.fd);
  close(listListener_);
  close(err_);
  unlink(configPath_.c_str());
  if (testing::Test::HasFailure()) std::fputs(log_.c_str(), stderr);
}

std::string Scenario::instance(int server, const std::string& lifecycle) const {
  std::ostringstream s;
  s << R"({"instanceId":"s-)" << server << R"(","hostPort":"127.0.0.1:)"
    << servers_[static_cast<std::size_t>(server - 1)].port << R"(","zone":"a","cell":3,"lifecycle":")"
    << lifecycle << R"(","weight":1.0,"startedAtMs":0})";
  return s.str();
}

std::string Scenario::list(int server, const std::string& lifecycle, int generation) const {
  return R"({"generation":)" + std::to_string(generation) + R"(,"reset":false,"instances":[)" +
         instance(server, lifecycle) + "]}";
}

std::string Scenario::wholeList(int generation) const {
  std::string instances;
  for (int server = 1; server <= static_cast<int>(servers_.size()); ++server)
    instances += (server > 1 ? "," : "") + instance(server, "active");
  return R"({"generation":)" + std::to_string(generation) + R"(,"reset":true,"instances":[)" + instances +
         "]}";
}

void Scenario::run(const std::string& text) {
  std::istringstream lines(text);
  for (std::string line; !testing::Test::HasFatalFailure() && std::getline(lines, line);) {
    line.erase(0, line.find_first_not_of(' '));
    if (!line.empty() && line[0] != '#') step(line);
  }
}

void Scenario::step(const std::string& line) {
  at_ = line;
  std::istringstream words(line);
  std::string who, verb, what, rest;
  words >> who >> verb >> what >> std::ws;
  std::getline(words, rest);
  if (who == "list") return discovery(verb, what, rest);
  if (who[0] == 'o') return desk(who, verb, rest.empty() ? what : what + " " + rest);
  if (who == "dns") return dns(verb, what, rest);
  if (who == "proxy" && what == "log")
    return until([&] { return log_.find(rest) != std::string::npos; }, "a line of the log");
  if (who == "proxy") return proxy(verb, what == "exit" ? rest : what);
  if (who[0] == 's')
    return server(servers_.at(static_cast<std::size_t>(std::stoi(who.substr(1)) - 1)), verb, what, rest);
  Connection& c = clients_[who];
  if (what == "welcome")
    return until(
        [&] {
          if (c.fd < 0) {
            dial(c);
            put(c.fd, postgres::startup("api", "ledger"));
          }
          if (c.ended) client(c, "close", "", "");
          char type = 0;
          for (std::string body; message(c, type, body);)
            if (type == 'Z') return true;
          return false;
        },
        "a welcome");
  if (verb == "from") {
    c.from = what;
    return;
  }
  if (c.fd < 0) {
    dial(c);
    c.started = what == "bytes";
  }
  if (what == "header") {  // its line end is added
    put(c.fd, rest + "\r\n");
    return;
  }
  if (!c.started) {
    c.started = true;
    put(c.fd, postgres::startup("api", "ledger"));
    if (what != "refused") expectMessage(c, 'Z', "");
    if (what == "in") return;
  }
  client(c, verb, what, rest);
}

void Scenario::dial(Connection& c) {
  c.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!c.from.empty()) {
    sockaddr_in from{};
    from.sin_family = AF_INET;
    ASSERT_EQ(inet_pton(AF_INET, c.from.c_str(), &from.sin_addr), 1) << at_;
    ASSERT_EQ(bind(c.fd, reinterpret_cast<const sockaddr*>(&from), sizeof from), 0) << at_;
  }
  const sockaddr_in a = loopback(port_);
  ASSERT_EQ(connect(c.fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0) << at_;
}

void Scenario::reload(const std::string& more) {
  setting_.more = more;
  run("proxy reload more");
}

std::string Scenario::status(bool json) {
  int out = -1;
  std::vector<std::string> arguments{"status", "--config", configPath_};
  if (json) arguments.push_back("--json");
  const int pid = spawn(configPath_, 0, out, arguments);
  std::string text;
  char bytes[4096];
  for (ssize_t n; (n = ::read(out, bytes, sizeof bytes)) > 0;)
    text.append(bytes, static_cast<std::size_t>(n));
  close(out);
  waitpid(pid, nullptr, 0);
  return text;
}
std::size_t Scenario::logged(const std::string& text) const {
  std::size_t n = 0;
  for (std::size_t at = log_.find(text); at != std::string::npos; at = log_.find(text, at + 1)) ++n;
  return n;
}

void Scenario::client(Connection& c, const std::string& verb, const std::string& what,
                      const std::string& rest) {
  if (verb == "close") {
    close(c.fd);
    const std::string from = c.from;
    c = Connection();
    c.from = from;
  } else if (what == "alert") {  // of TLS: fatal, handshake_failure
    until([&] { return c.in.size() >= 7 || c.ended; }, "an alert");
    EXPECT_EQ(c.in, std::string("\x15\x03\x01\0\x02\x02\x28", 7)) << at_;
  } else if (what == "refused") {
    expectMessage(c, 'E', std::string("C53300\0", 7));
    EXPECT_NE(refusal_.find(std::string("\0D", 2)), std::string::npos)
        << at_ << ": no word on when to come back";
    until([&] { return c.ended; }, "the end of the connection");
  } else if (verb == "send" && what == "query") {
    put(c.fd, postgres::query(rest));
  } else if (verb == "send" && what == "bytes") {  // in hexadecimal
    std::istringstream hex(rest);
    for (unsigned v; hex >> std::hex >> v;) put(c.fd, std::string(1, static_cast<char>(v)));
  } else if (what == "closed") {
    until([&] { return c.ended; }, "the end of the connection");
  } else if (what == "row") {
    expectMessage(c, 'D', value(rest));
    expectMessage(c, 'Z', "");
  } else if (what == "empty") {
    expectMessage(c, 'I', "");
    expectMessage(c, 'Z', "");
  } else if (what == "error") {
    expectMessage(c, 'E', "C" + rest);
    if (rest != "08P01" && rest != "0A000" && rest != "53200")
      expectMessage(c, 'Z', "");  // those end the connection
  } else {
    FAIL() << "no such step: " << at_;
  }
}

namespace {
std::vector<std::string> parts(const std::string& text) {
  std::vector<std::string> all;
  for (std::size_t at = 0;;) {
    const std::size_t bar = text.find(" | ", at);
    all.push_back(text.substr(at, bar == std::string::npos ? bar : bar - at));
    if (bar == std::string::npos) return all;
    at = bar + 3;
  }
}
std::string unhex(const std::string& text) {
  std::string bytes;
  for (std::size_t k = 0; k + 1 < text.size(); k += text[k] == ' ' ? 1 : 2)
    if (text[k] != ' ') bytes.push_back(static_cast<char>(std::stoi(text.substr(k, 2), nullptr, 16)));
  return bytes;
}
}  // namespace

void Scenario::desk(const std::string& name, const std::string& verb, const std::string& rest) {
  Desk& d = desks_[name];
  std::istringstream words(rest);
  std::string first;
  words >> first;
  if (verb == "from") {
    d.c.from = first;
    return;
  }
  if (verb == "speaks") {
    lab::Identity who;
    for (std::string word; words >> word;) {
      const std::string key = word.substr(0, word.find('=')), text = word.substr(word.find('=') + 1);
      if (key == "user")
        who.user = text;
      else if (key == "password")
        who.password = text;
      else if (key == "options")
        who.options = "-c " + text;
      else
        who.settings.emplace_back(key, text);
    }
    d.speaker = std::make_unique<lab::ClientProtocol>(*lab::versionOf(first), who);
    dial(d.c);
    put(d.c.fd, d.speaker->startupMessage());
    return;
  }
  if (verb == "asks") return put(d.c.fd, d.speaker->query(rest));
  if (verb == "sends") return put(d.c.fd, unhex(rest));
  if (verb == "runs" || verb == "binary") {
    const std::vector<std::string> all = parts(rest);
    std::vector<lab::Bound> bound;
    for (std::size_t k = 1; k < all.size(); ++k) {
      const std::size_t colon = all[k].find(':');
      if (all[k] == "NULL")
        bound.push_back({});
      else if (colon == std::string::npos)
        bound.push_back({all[k], 0, false});
      else
        bound.push_back(
            {unhex(all[k].substr(colon + 1)), static_cast<std::uint32_t>(std::stoul(all[k])), true});
    }
    return put(d.c.fd, d.speaker->extended(all[0], bound, verb == "binary"));
  }
  if (verb == "cancels") {
    Connection c;
    dial(c);
    std::string secret = d.speaker->secret();
    if (first == "wrong") secret.back() = static_cast<char>(secret.back() ^ 1);
    if (first == "long") secret += std::string(4, '\0');
    if (first == "short") secret.resize(4);
    put(c.fd, postgres::cancel({d.speaker->process(), secret}));
    until(
        [&] {
          char byte;
          return recv(c.fd, &byte, 1, MSG_DONTWAIT) == 0;
        },
        "the end of the cancel's connection");
    close(c.fd);
    return;
  }
  ASSERT_EQ(verb, "gets") << at_;
  const std::string what = first, text = rest.size() > first.size() ? rest.substr(first.size() + 1) : "";
  if (what == "closed") return until([&] { return d.c.ended; }, "the end of the connection");
  const lab::Reply r = reply(d);
  if (what == "in") {
    EXPECT_EQ(r.error, "") << at_;
  } else if (what == "row") {
    ASSERT_EQ(r.rows.size(), 1u) << at_ << ": " << r.code << " " << r.error;
    std::string got;
    for (const auto& v : r.rows[0]) got += (got.empty() ? "" : " | ") + v.value_or("NULL");
    EXPECT_EQ(got, value(text)) << at_;
  } else if (what == "tag") {
    EXPECT_EQ(r.tag, text) << at_ << ": " << r.code << " " << r.error;
  } else if (what == "error") {
    EXPECT_NE((r.code + " " + r.error).find(text), std::string::npos)
        << at_ << ": " << r.code << " " << r.error;
    EXPECT_FALSE(r.error.empty()) << at_;
    EXPECT_TRUE(r.rows.empty()) << at_;
  } else if (what == "seen") {
    EXPECT_EQ(r.seen, text) << at_ << ": " << r.code << " " << r.error;
  } else {
    FAIL() << "no such step: " << at_;
  }
}

// The next reply, whole; of a connection that ends, what has come.
lab::Reply Scenario::reply(Desk& d) {
  until(
      [&] {
        std::string send;
        const auto got = d.speaker->take(d.c.in, send);
        if (!send.empty()) put(d.c.fd, send);
        EXPECT_NE(got, lab::ClientProtocol::Result::Broken) << at_ << ": " << d.speaker->why();
        return got != lab::ClientProtocol::Result::More || d.c.ended;
      },
      "a reply");
  return d.speaker->takeReply();
}

void Scenario::server(Server& s, const std::string& verb, const std::string& what, const std::string& rest) {
  if (verb == "expect" && what == "minor") {
    EXPECT_EQ(s.minor, std::stoi(rest)) << at_;
    return;
  }
  if (verb == "holds" || verb == "frees") {
    s.holdsCancels = verb == "holds";
    for (Connection& c : s.all)
      if (c.held && !s.holdsCancels) shutdown(c.fd, SHUT_RDWR);
    return;
  }
  if (verb == "expect" && (what == "query" || what == "another" || what == "kept")) {
    Connection* found = nullptr;
    std::string statement;
    until(
        [&] {
          for (Connection& c : s.all) {
            char type = 0;
            if (!found && c.greeted && !c.busy && message(c, type, statement)) found = &c;
          }
          return found != nullptr;
        },
        "a query");
    if (!found) return;
    EXPECT_NE(statement.find(rest), std::string::npos) << at_ << ": got " << statement;
    if (what != "query") {
      ASSERT_NE(s.current, nullptr) << at_;
      EXPECT_TRUE(what == "kept" ? s.lost == 0 && !s.current->ended : found != s.current) << at_;
    }
    s.current = found;
    found->busy = found->used = true;
    return;
  }
  if (verb == "drop") {
    s.dropProbes = std::stoi(rest);
    return;
  }
  if (verb == "serves") {
    s.serves = rest.empty() ? what : what + " " + rest;
    return;
  }
  if (verb == "becomes") {
    if (what == "primary")
      for (Server& other : servers_) other.primary = false;
    s.primary = what == "primary";
    return;
  }
  if (verb == "stands") {
    s.standsAt = what == "up" ? 0 : unixMs() - std::stoll(what);
    return;
  }
  if (verb == "tells") {
    s.tells = what;
    return;
  }
  if (verb == "expect" && what == "served") {
    EXPECT_EQ(std::exchange(s.queries, 0), std::stoul(rest)) << at_;
    return;
  }
  if (verb == "says") {
    s.says += what + "\n";
    return;
  }
  if (verb == "speaks" || verb == "asks") {
    (verb == "speaks" ? s.speaks : s.asks) = what;
    return;
  }
  if (verb == "expect" && what == "cancel") {
    ASSERT_NE(s.current, nullptr) << at_;
    return until([&] { return std::count(s.cancels.begin(), s.cancels.end(), s.current->number) > 0; },
                 "a CancelRequest");
  }
  if (verb == "report") {
    s.report = what;
    return;
  }
  if (verb == "wait" && what == "speak") {  // it is back: what waits is greeted now
    s.silent = false;
    return;
  }
  if (verb == "wait" && what == "silent") {  // cut off: its connections stay open and say nothing more
    s.silent = true;
    return;
  }
  if (verb == "wait" && what == "queries") {  // for so many to have come and wait for an answer
    const auto n = std::stoul(rest);
    return until(
        [&] {
          std::size_t out = 0;
          for (const Connection& c : s.all) out += c.greeted && !c.busy && !c.in.empty();
          return out >= n;
        },
        "queries");
  }
  if (verb == "wait") {  // for so many connections that are up and idle
    const auto n = std::stoul(rest);
    return until(
        [&] {
          std::size_t idle = 0;
          for (const Connection& c : s.all) idle += c.greeted && !c.busy && !c.ended;
          return idle >= n;
        },
        "idle connections");
  }
  if (what == "all") {  // its process dies
    close(s.listener);
    s.listener = -1;
    const linger hard{1, 0};
    for (Connection& c : s.all) {
      setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close(c.fd);
    }
    return s.all.clear();
  }
  if (what == "idle") {  // closes what stands idle
    for (Connection& c : s.all) {
      if (c.busy) continue;
      shutdown(c.fd, SHUT_RDWR);
      c.ended = true;
    }
    return;
  }
  if (what == "drained") return until([&] { return s.all.empty(); }, "the end of all connections");
  Connection* const c = s.current;
  ASSERT_NE(c, nullptr) << at_;
  const std::string role = note(s);
  if (what == "closed") return until([&] { return c->ended; }, "the end of the connection");
  if (verb == "close") {
    shutdown(c->fd, SHUT_RDWR);
  } else if (what == "row") {
    put(c->fd, row(value(rest)) + postgres::message('C', std::string("SELECT 1\0", 9)) + role +
                   postgres::readyForQuery());
  } else if (what == "cells") {
    std::vector<translation::Column> columns;
    std::vector<std::string> texts;
    std::istringstream words(rest);
    for (std::string word; words >> word;) {
      const std::size_t eq = word.find('=');
      columns.push_back({"c", static_cast<std::uint32_t>(std::stoul(word.substr(0, eq))), -1, -1, false});
      texts.push_back(word.substr(eq + 1));
    }
    std::vector<translation::Value> values;
    for (const std::string& t : texts)
      values.push_back(t == "NULL" ? translation::Value() : translation::Value(t));
    const postgres::Codec codec(2);
    put(c->fd, codec.columns(columns) + codec.row(values, false) + codec.commandComplete("SELECT 1") + role +
                   postgres::readyForQuery());
  } else if (what == "done") {
    put(c->fd, postgres::Codec(2).commandComplete(rest) + role + postgres::readyForQuery());
  } else if (what == "problem") {  // as a server of today puts it
    translation::ErrorReport p;
    std::istringstream(rest) >> p.code >> p.text;
    p.table = "rows";
    p.hint = "look there";
    put(c->fd, postgres::Codec(2).errorResponse(p) + role + postgres::readyForQuery());
  } else if (what == "part") {
    const std::string whole = row(value(rest));
    put(c->fd, whole.substr(0, whole.size() - 2));
  } else if (what == "spoilt") {
    const std::string good = row("other"), done = postgres::message('C', std::string("SELECT 1\0", 9)),
                      end = done + role + postgres::readyForQuery();
    const std::string description = good.substr(0, good.size() - 16), cell = good.substr(good.size() - 16);
    const std::map<std::string, std::string> kinds{
        {"noise", "\x80\x01 no message"},
        {"huge", description + "D" + number(0xc0000000u) + "\1"},
        {"column", description + postgres::message('D', std::string("\0\1\0\0\1\0other", 11)) + end},
        {"columns", description + postgres::message('D', std::string("\0\2\0\0\0\5other", 11)) + end},
        {"endless", description + "D" + number(15) + std::string("\0\1\0\0\0\5ot", 8)},
        {"rows", good + cell + end},
        {"order", description + done + cell + role + postgres::readyForQuery()},
        {"none", description + end},
        {"count",
         good + postgres::message('C', std::string("SELECT 2\0", 9)) + role + postgres::readyForQuery()},
        {"twice", good + end + good + end},
        {"behind", good + end + description + "D"}};
    put(c->fd, kinds.at(rest));
  } else if (what == "error") {
    put(c->fd, postgres::error("ERROR", rest.c_str(), "scripted") + role + postgres::readyForQuery());
  } else {
    FAIL() << "no such step: " << at_;
  }
  if (what != "part" && what != "spoilt") c->busy = false;
}

void Scenario::expectCalls(std::size_t count) {
  const auto come = [&] {
    return watches_.size() >= count &&
           std::next(watches_.begin(), static_cast<std::ptrdiff_t>(count) - 1)->in.find("\r\n\r\n") !=
               std::string::npos;
  };
  until(come, "so many calls");
}

void Scenario::dripNext() {
  constexpr auto kBetweenBytes = std::chrono::milliseconds(25);
  const auto now = std::chrono::steady_clock::now();
  if (!drip_.to || drip_.left.empty() || drip_.to->ended || now < drip_.next) return;
  put(drip_.to->fd, "1\r\n" + drip_.left.substr(0, 1) + "\r\n");
  drip_.left.erase(0, 1);
  drip_.next = now + kBetweenBytes;
}

void Scenario::discovery(const std::string& verb, const std::string& what, const std::string& rest) {
  if (verb == "choose") {
    chosen_ = &*std::next(watches_.begin(), std::stoi(what) - 1);
    return;
  }
  if (what == "calls") return expectCalls(std::stoul(rest));
  if (what == "kept") {
    EXPECT_FALSE(chosenCall().ended) << at_;
    return;
  }
  if (verb == "expect") {
    std::string request;
    until(
        [&] {
          const bool come = !watches_.empty() && watches_.back().fresh &&
                            watches_.back().in.find("\r\n\r\n") != std::string::npos;
          if (come) request = watches_.back().in;
          return come;
        },
        "a watch");
    if (request.empty()) return;
    EXPECT_EQ(request.rfind("GET /registry/instances?watch=1&", 0), 0u) << request;
    EXPECT_NE(request.find(rest), std::string::npos) << at_ << ": got " << request;
    watches_.back().fresh = false;
    if (what == "watch") put(watches_.back().fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return;
  }
  ASSERT_FALSE(watches_.empty()) << at_;
  const int fd = chosenCall().fd;
  const auto chunk = [&](const std::string& text) {
    std::ostringstream head;
    head << std::hex << text.size() << "\r\n" << text << "\r\n";
    put(fd, head.str());
  };
  if (verb == "close") {
    shutdown(fd, SHUT_RDWR);
  } else if (what == "line") {
    chunk(rest + "\n");
  } else if (what == "raw") {
    chunk(rest);
  } else if (what == "indented") {
    std::string text;
    for (const char c : rest)
      text += c == ',' || c == '{' || c == '[' ? std::string(1, c) + "\n  " : std::string(1, c);
    chunk(text + "\n");
  } else if (verb == "trickles") {
    trickling_ = &chosenCall();
  } else if (verb == "answers") {
    put(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  } else if (verb == "drips") {
    drip_ = {&chosenCall(), what + (rest.empty() ? "" : " " + rest) + "\n", {}};
  } else if (what == "bits") {  // the same in chunks of one byte each
    for (const char byte : rest + "\n") chunk(std::string(1, byte));
  } else if (what == "status") {
    put(fd, "HTTP/1.1 " + rest + "\r\nContent-Length: 0\r\n\r\n");
  } else {
    FAIL() << "no such step: " << at_;
  }
}

void Scenario::dns(const std::string& verb, const std::string& what, const std::string& rest) {
  if (verb == "mood") {
    lab::NameServer::ResponseMode responseMode{};
    ASSERT_TRUE(lab::NameServer::parseResponseMode(what, responseMode)) << at_;
    return names_->responseMode(responseMode);
  }
  if (verb == "move") {  // another domain, at the same name server's port
    const int port = names_->port();
    names_.reset();
    domain_ = what;
    names_ = std::make_unique<lab::NameServer>(base_.get(), domain_, "_postgresql._tcp", port);
    configure(port);
    kill(pid_, SIGHUP);
    return;
  }
  const std::string label = "s-" + what.substr(1);
  if (verb == "withdraw") return names_->withdraw(label);
  ASSERT_EQ(verb, "publish") << at_;
  lab::ServiceInstance i;
  i.label = label;
  i.addresses = {"127.0.0.1"};
  i.port = static_cast<std::uint16_t>(servers_.at(std::stoul(what.substr(1)) - 1).port);
  std::istringstream words(rest);
  for (std::string word; words >> word;) i.txt.push_back(word);
  names_->publish(i);
}

void Scenario::serveUntil(const std::function<bool()>& done) { until(done, "the end of a client"); }

void Scenario::proxy(const std::string& verb, const std::string& rest) {
  if (verb == "send") {
    kill(pid_, SIGTERM);
    return;
  }
  if (verb == "reload") {
    if (rest == "more") {
      sockaddr_in a{};
      socklen_t size = sizeof a;
      getsockname(listListener_, reinterpret_cast<sockaddr*>(&a), &size);
      configure(ntohs(a.sin_port));
    } else if (rest == "moved") {
      int port = 0;
      close(listListener_);
      listListener_ = listenOn(port);
      configure(port);
    } else if (rest != "same") {
      std::ofstream(configPath_) << "{\"name\":";
    }
    kill(pid_, SIGHUP);
    return;
  }
  if (verb == "crash") {  // at any moment, and it is started anew on what it left behind
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    close(err_);
    for (auto& [name, c] : clients_) close(c.fd);
    clients_.clear();
    return launch();
  }
  if (rest == "quiet") {
    const auto cpu = [&] {
      std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
      std::string word;
      long user = 0, system = 0;
      for (int k = 0; k < 13; ++k) stat >> word;
      stat >> user >> system;
      return 1000 * (user + system) / sysconf(_SC_CLK_TCK);
    };
    const long before = cpu();
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(400);
    while (std::chrono::steady_clock::now() < end) pump();
    EXPECT_LT(cpu() - before, 200) << "step '" << at_ << "': ms of CPU in 400 ms";
    return;
  }
  until([&] { return exited_ = exited_ || waitpid(pid_, &status_, WNOHANG) == pid_; }, "its exit");
  EXPECT_TRUE(WIFEXITED(status_)) << at_;
  EXPECT_EQ(WEXITSTATUS(status_), std::stoi(rest)) << at_;
}

template <typename Done>
void Scenario::until(Done done, const std::string& what) {
  const auto end = std::chrono::steady_clock::now() + kWatchdog;
  while (!done()) {
    ASSERT_LT(std::chrono::steady_clock::now(), end) << "step '" << at_ << "': " << what << " never came";
    pump();
  }
}

// Reads what has come, greets and reports for the data servers.
void Scenario::pump() {
  std::vector<pollfd> fds{{err_, POLLIN, 0}, {listListener_, POLLIN, 0}};
  const auto watch = [&](Connection& c) {
    if (c.fd >= 0 && !c.ended) fds.push_back({c.fd, POLLIN, 0});
  };
  for (auto& [name, c] : clients_) watch(c);
  for (auto& [name, d] : desks_) watch(d.c);
  for (Connection& c : watches_) watch(c);
  for (Server& s : servers_) {
    if (s.listener >= 0) fds.push_back({s.listener, POLLIN, 0});
    for (Connection& c : s.all) watch(c);
  }
  if (base_) event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  poll(fds.data(), fds.size(), base_ ? 5 : 20);
  const auto ready = [&](int fd) {
    for (const pollfd& p : fds)
      if (p.fd == fd && p.revents) return true;
    return false;
  };
  char text[4096];
  if (ready(err_)) {
    const ssize_t n = ::read(err_, text, sizeof text);
    if (n > 0) log_.append(text, static_cast<std::size_t>(n));
  }
  const auto accepted = [&](int listener, std::list<Connection>& to) {
    if (listener < 0 || !ready(listener)) return;
    to.emplace_back();
    to.back().fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  };
  for (auto& [name, c] : clients_)
    if (ready(c.fd)) read(c);
  for (auto& [name, d] : desks_)
    if (ready(d.c.fd)) read(d.c);
  for (Connection& c : watches_)
    if (ready(c.fd)) read(c);
  dripNext();
  if (trickling_ && !trickling_->ended) put(trickling_->fd, "1\r\n \r\n");
  accepted(listListener_, watches_);
  for (Server& s : servers_) {
    for (Connection& c : s.all) {
      if (ready(c.fd)) read(c);
      greet(s, c);
      if (!s.serves.empty()) serve(s, c);
    }
    s.all.remove_if([&](Connection& c) {
      const bool gone = c.ended && !c.busy && &c != s.current;
      if (gone) close(c.fd);
      s.lost += gone && c.used;
      return gone;
    });
    accepted(s.listener, s.all);
  }
}

void Scenario::read(Connection& c) {
  char text[65536];
  const ssize_t n = ::recv(c.fd, text, sizeof text, MSG_DONTWAIT);
  if (n > 0) c.in.append(text, static_cast<std::size_t>(n));
  c.ended = n == 0 || (n < 0 && errno != EAGAIN);
}

void Scenario::greet(Server& s, Connection& c) {
  if (s.silent) return;
  if (!c.method.empty() && login(s, c)) let(s, c, "");
  if (!c.greeted && c.method.empty() && c.in.size() >= 8 &&
      postgres::readInt32(c.in.data() + 4) == postgres::kCancelRequest) {
    if (const auto key = postgres::parseCancel(c.in)) s.cancels.push_back(key->process);
    c.in.clear();
    c.held = s.holdsCancels;
    if (!c.held) shutdown(c.fd, SHUT_RDWR);
    return;
  }
  if (!c.greeted && c.method.empty() && c.in.size() >= 4 && c.in.size() >= postgres::readInt32(c.in.data())) {
    const auto startupMessage =
        postgres::parseStartup(std::string_view(c.in).substr(0, postgres::readInt32(c.in.data())));
    c.in.erase(0, postgres::readInt32(c.in.data()));
    if (startupMessage) s.minor = startupMessage->minor;
    if (startupMessage && startupMessage->minor > 0 && s.speaks == "fatal") {
      put(c.fd,
          postgres::error("FATAL", "0A000", "unsupported frontend protocol 3.2: server supports 1.0 to 3.0"));
      shutdown(c.fd, SHUT_WR);
      return;
    }
    c.greeted = true;
    std::string says;
    std::istringstream lines(s.says);
    for (std::string line; std::getline(lines, line);)
      says += parameter(line.substr(0, line.find('=')), line.substr(line.find('=') + 1));
    const int minor = startupMessage && s.speaks == "3.2" ? startupMessage->minor : 0;
    if (startupMessage && startupMessage->minor > minor) says += postgres::negotiate(minor, {});
    c.number = ++numbers_;
    if (s.asks.empty() || s.asks == "trust") return let(s, c, says);
    c.greeted = false;
    c.method = s.asks;
    if (c.method == "cleartext") put(c.fd, postgres::authentication(postgres::kAuthCleartext));
    if (c.method == "md5") put(c.fd, postgres::authentication(postgres::kAuthMd5, "salt"));
    if (c.method == "kerberos") put(c.fd, postgres::authentication(7));
    if ((c.method != "cleartext" && c.method != "md5" && c.method != "kerberos")) {
      c.scram = std::make_unique<auth::ScramServer>(auth::makeVerifier("inner", "0123456789abcdef", 4096),
                                                    "servernonce");
      put(c.fd, postgres::authentication(postgres::kAuthSasl,
                                         std::string("SCRAM-SHA-256-PLUS\0SCRAM-SHA-256\0\0", 34)));
    }
    return;
  }
  const std::string show = postgres::query("SHOW load");
  if (!c.greeted || c.in.compare(0, show.size(), show) != 0) return;
  c.in.erase(0, show.size());
  if (s.dropProbes > 0) {
    --s.dropProbes;
    shutdown(c.fd, SHUT_RDWR);
    return;
  }
  if (!s.report.empty()) {
    put(c.fd, row(s.report) + postgres::message('C', std::string("SHOW\0", 5)) + postgres::readyForQuery());
    return;
  }
  std::ostringstream report;
  const long long ms = s.primary || s.standsAt == 0 ? unixMs() : s.standsAt;
  report << "x0=" << ms / 1000 << "." << ms % 1000 / 100 << ",x1=" << (s.primary ? 1 : 0) << ",inflight=0";
  put(c.fd, row(report.str()) + postgres::message('C', std::string("SHOW\0", 5)) + postgres::readyForQuery());
}

// A server's side of a login, and its ways of cheating. True: it is let in.
bool Scenario::login(Server&, Connection& c) {
  char type = 0;
  std::string body;
  if (!message(c, type, body)) return false;
  EXPECT_EQ(type, 'p');
  const auto out = [&] {
    put(c.fd, postgres::error("FATAL", "28P01", "password authentication failed"));
    shutdown(c.fd, SHUT_RDWR);
    c.method.clear();
    return false;
  };
  const auto in = [&] {
    c.method.clear();
    return true;
  };
  if (c.method == "cleartext") return body == std::string("inner\0", 6) ? in() : out();
  if (c.method == "md5")
    return body == auth::md5Answer(auth::md5Stored("api", "inner"), "salt") + '\0' ? in() : out();
  std::string why;
  if (const auto initial = postgres::parseSaslInitial(body)) {
    std::string first = c.scram->first(*initial, why).value_or("");
    if (c.method == "nonce") first[2] = first[2] == 'x' ? 'y' : 'x';
    if (c.method == "iterations") first = first.substr(0, first.rfind('=') + 1) + "2000000000";
    put(c.fd, postgres::authentication(postgres::kAuthSaslContinue, first));
    return false;
  }
  auto last = c.scram->final(body, why);
  if (!last) return out();
  if (c.method == "signature") (*last)[3] = (*last)[3] == 'A' ? 'B' : 'A';
  if (c.method != "skip") put(c.fd, postgres::authentication(postgres::kAuthSaslFinal, *last));
  return in();
}
void Scenario::let(Server& s, Connection& c, const std::string& before) {
  std::string says = before;
  std::istringstream lines(s.says);
  for (std::string line; before.empty() && std::getline(lines, line);)
    says += parameter(line.substr(0, line.find('=')), line.substr(line.find('=') + 1));
  c.greeted = true;
  const std::string greeting =
      postgres::loginComplete({c.number, "abcd"}, false);  // its own word after what it takes for granted
  put(c.fd, greeting.substr(0, greeting.size() - 6) + says + postgres::readyForQuery());
}

std::string Scenario::note(const Server& s) {
  std::string note;
  if (s.tells != "nothing") note += parameter("role", s.primary ? "primary" : "replica");
  const long long position = s.primary || s.standsAt == 0 ? unixMs() : s.standsAt;
  if (s.tells == "all") note += parameter("applied_ms", std::to_string(position));
  return note;
}

// By itself: "fail" for a statement that says so, nothing for one that is to hang.
void Scenario::serve(Server& s, Connection& c) {
  char type = 0;
  std::string statement;
  while (c.greeted && message(c, type, statement)) {
    if (type != 'Q' || statement.find("hang") != std::string::npos) continue;
    ++s.queries;
    const std::string role = note(s) + postgres::readyForQuery();
    if (statement.compare(0, 6, "INSERT") == 0 && !s.primary)
      put(c.fd, postgres::error("ERROR", "25006", "this is no primary") + role);
    else if (statement.find("fail") != std::string::npos)
      put(c.fd, postgres::error("ERROR", "42703", "column does not exist") + role);
    else
      put(c.fd, row(s.serves) + postgres::message('C', std::string("SELECT 1\0", 9)) + role);
  }
}

bool Scenario::message(Connection& c, char& type, std::string& body) {
  if (c.in.size() < 5) return false;
  const std::size_t n = postgres::readInt32(c.in.data() + 1);
  if (c.in.size() < n + 1) return false;
  type = c.in[0];
  body = c.in.substr(5, n - 4);
  c.in.erase(0, n + 1);
  return true;
}

// The next message but for those that a client passes over.
void Scenario::expectMessage(Connection& c, char type, const std::string& within) {
  char got = 0;
  std::string body;
  const std::string passed = type == 'Z' ? "RSKC" : "RSKTC";
  until(
      [&] {
        while (message(c, got, body))
          if (got == type || passed.find(got) == std::string::npos) return true;
        return c.ended;
      },
      "a message");
  if (got == 'E') refusal_ = body;
  ASSERT_EQ(std::string(1, got), std::string(1, type)) << "step '" << at_ << "': " << body.substr(0, 200);
  const bool exact = type == 'D';
  EXPECT_TRUE(exact ? body.size() >= 6 && body.substr(6) == within : body.find(within) != std::string::npos)
      << "step '" << at_ << "': got " << body.substr(0, 200);
}

}  // namespace sablespur::test
