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
#include "lab/wall_clock.hpp"
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
void sendAll(int fd, const std::string& bytes) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return;  // the peer has closed; a later step detects it
    at += static_cast<std::size_t>(n);
  }
}
long long unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
std::string bigEndian32(std::uint32_t v) {
  const char bytes[] = {static_cast<char>(v >> 24), static_cast<char>(v >> 16), static_cast<char>(v >> 8),
                        static_cast<char>(v)};
  return {bytes, 4};
}
// "big" means a value of the maximum size, 64 KiB.
std::string expandValue(const std::string& text) { return text == "big" ? std::string(65536, '\x7f') : text; }
std::string rowMessages(const std::string& text) {
  std::string column("\0\1blob\0", 7);
  column.append(18, '\0');
  const std::string cell =
      std::string("\0\1", 2) + bigEndian32(static_cast<std::uint32_t>(text.size())) + text;
  return postgres::message('T', column) + postgres::message('D', cell);
}
std::string parameterStatus(const std::string& name, const std::string& text) {
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
    << setting.extraSections;
  return s.str();
}

int spawn(const std::string& configPath, int descriptors, int& err, const std::vector<std::string>& arguments,
          int inherited, const lab::SteppableWallClock* wallClock) {
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
    if (wallClock) wallClock->preload();
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
  for (Server& s : servers_) s.protocolVersion = setting.serverProtocol;
  int listPort = 0;
  listListener_ = listenOn(listPort);
  if (setting.dnssd) {
    base_.reset(event_base_new());
    nameServer_ = std::make_unique<lab::NameServer>(base_.get(), domain_, "_postgresql._tcp");
    listPort = nameServer_->port();
    for (std::size_t k = 1; k <= servers_.size(); ++k) run("dns publish s" + std::to_string(k));
  }
  char path[] = "/tmp/sablespur-test-XXXXXX";
  const int file = mkstemp(path);
  configPath_ = path;
  close(file);
  if (setting_.ownWallClock) wallClock_ = std::make_unique<lab::SteppableWallClock>(configPath_ + ".clock");
  configure(listPort);
  launch();
}

void Scenario::launch() {
  using Arguments = std::vector<std::string>;
  const std::size_t from = log_.size();
  pid_ = spawn(configPath_, setting_.descriptors, err_,
               setting_.ini || setting_.dnssd ? Arguments{"serve", "--config", configPath_} : Arguments{},
               setting_.inherited, wallClock_.get());
  currentStep_ = "start";
  waitUntil([&] { return log_.find(" port=", from) != std::string::npos && log_.back() == '\n'; },
            "the listening port");
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
  for (auto& [name, o] : versionedClients_) close(o.c.fd);
  for (Server& s : servers_) {
    close(s.listener);
    for (Connection& c : s.connections) close(c.fd);
  }
  for (Connection& c : discoveryCalls_) close(c.fd);
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
  currentStep_ = line;
  std::istringstream words(line);
  std::string who, verb, what, rest;
  words >> who >> verb >> what >> std::ws;
  std::getline(words, rest);
  if (who == "list") return discovery(verb, what, rest);
  if (who[0] == 'o') return versionedClient(who, verb, rest.empty() ? what : what + " " + rest);
  if (who == "dns") return dns(verb, what, rest);
  if (who == "proxy" && what == "log")
    return waitUntil([&] { return log_.find(rest) != std::string::npos; }, "a log line");
  if (who == "proxy") return proxy(verb, what == "exit" || verb == "steps" ? rest : what);
  if (who[0] == 's')
    return server(servers_.at(static_cast<std::size_t>(std::stoi(who.substr(1)) - 1)), verb, what, rest);
  Connection& c = clients_[who];
  if (what == "welcome")
    return waitUntil(
        [&] {
          if (c.fd < 0) {
            dial(c);
            sendAll(c.fd, postgres::startup("api", "ledger"));
          }
          if (c.ended) client(c, "close", "", "");
          char type = 0;
          for (std::string body; takeMessage(c, type, body);)
            if (type == 'Z') return true;
          return false;
        },
        "a completed login");
  if (verb == "from") {
    c.sourceAddress = what;
    return;
  }
  if (c.fd < 0) {
    dial(c);
    c.startupSent = what == "bytes";
  }
  if (what == "header") {  // the line end is added
    sendAll(c.fd, rest + "\r\n");
    return;
  }
  if (!c.startupSent) {
    c.startupSent = true;
    sendAll(c.fd, postgres::startup("api", "ledger"));
    if (what != "refused") expectMessage(c, 'Z', "");
    if (what == "in") return;
  }
  client(c, verb, what, rest);
}

void Scenario::dial(Connection& c) {
  c.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!c.sourceAddress.empty()) {
    sockaddr_in from{};
    from.sin_family = AF_INET;
    ASSERT_EQ(inet_pton(AF_INET, c.sourceAddress.c_str(), &from.sin_addr), 1) << currentStep_;
    ASSERT_EQ(bind(c.fd, reinterpret_cast<const sockaddr*>(&from), sizeof from), 0) << currentStep_;
  }
  const sockaddr_in a = loopback(port_);
  ASSERT_EQ(connect(c.fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0) << currentStep_;
}

void Scenario::reload(const std::string& extraSections) {
  setting_.extraSections = extraSections;
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
    const std::string sourceAddress = c.sourceAddress;
    c = Connection();
    c.sourceAddress = sourceAddress;
  } else if (what == "alert") {  // TLS alert: fatal, handshake_failure
    waitUntil([&] { return c.received.size() >= 7 || c.ended; }, "an alert");
    EXPECT_EQ(c.received, std::string("\x15\x03\x01\0\x02\x02\x28", 7)) << currentStep_;
  } else if (what == "refused") {
    expectMessage(c, 'E', std::string("C53300\0", 7));
    EXPECT_NE(lastError_.find(std::string("\0D", 2)), std::string::npos)
        << currentStep_ << ": no retry delay";
    waitUntil([&] { return c.ended; }, "the end of the connection");
  } else if (verb == "send" && what == "query") {
    sendAll(c.fd, postgres::query(rest));
  } else if (verb == "send" && what == "bytes") {
    std::istringstream hex(rest);
    for (unsigned v; hex >> std::hex >> v;) sendAll(c.fd, std::string(1, static_cast<char>(v)));
  } else if (what == "closed") {
    waitUntil([&] { return c.ended; }, "the end of the connection");
  } else if (what == "row") {
    expectMessage(c, 'D', expandValue(rest));
    expectMessage(c, 'Z', "");
  } else if (what == "empty") {
    expectMessage(c, 'I', "");
    expectMessage(c, 'Z', "");
  } else if (what == "error") {
    expectMessage(c, 'E', "C" + rest);
    if (rest != "08P01" && rest != "0A000" && rest != "53200")
      expectMessage(c, 'Z', "");  // the other codes end the connection
  } else {
    FAIL() << "unknown step: " << currentStep_;
  }
}

namespace {
std::vector<std::string> splitFields(const std::string& text) {
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

void Scenario::versionedClient(const std::string& name, const std::string& verb, const std::string& rest) {
  VersionedClient& o = versionedClients_[name];
  std::istringstream words(rest);
  std::string first;
  words >> first;
  if (verb == "from") {
    o.c.sourceAddress = first;
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
    o.speaker = std::make_unique<lab::ClientProtocol>(*lab::versionOf(first), who);
    dial(o.c);
    sendAll(o.c.fd, o.speaker->startupMessage());
    return;
  }
  if (verb == "asks") return sendAll(o.c.fd, o.speaker->query(rest));
  if (verb == "sends") return sendAll(o.c.fd, unhex(rest));
  if (verb == "runs" || verb == "binary") {
    const std::vector<std::string> all = splitFields(rest);
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
    return sendAll(o.c.fd, o.speaker->extended(all[0], bound, verb == "binary"));
  }
  if (verb == "cancels") {
    Connection c;
    dial(c);
    std::string secret = o.speaker->secret();
    if (first == "wrong") secret.back() = static_cast<char>(secret.back() ^ 1);
    if (first == "long") secret += std::string(4, '\0');
    if (first == "short") secret.resize(4);
    sendAll(c.fd, postgres::cancel({o.speaker->process(), secret}));
    waitUntil(
        [&] {
          char byte;
          return recv(c.fd, &byte, 1, MSG_DONTWAIT) == 0;
        },
        "the end of the CancelRequest's connection");
    close(c.fd);
    return;
  }
  ASSERT_EQ(verb, "gets") << currentStep_;
  const std::string what = first, text = rest.size() > first.size() ? rest.substr(first.size() + 1) : "";
  if (what == "closed") return waitUntil([&] { return o.c.ended; }, "the end of the connection");
  const lab::Reply r = reply(o);
  if (what == "in") {
    EXPECT_EQ(r.error, "") << currentStep_;
  } else if (what == "row") {
    ASSERT_EQ(r.rows.size(), 1u) << currentStep_ << ": " << r.code << " " << r.error;
    std::string got;
    for (const auto& v : r.rows[0]) got += (got.empty() ? "" : " | ") + v.value_or("NULL");
    EXPECT_EQ(got, expandValue(text)) << currentStep_;
  } else if (what == "tag") {
    EXPECT_EQ(r.tag, text) << currentStep_ << ": " << r.code << " " << r.error;
  } else if (what == "error") {
    EXPECT_NE((r.code + " " + r.error).find(text), std::string::npos)
        << currentStep_ << ": " << r.code << " " << r.error;
    EXPECT_FALSE(r.error.empty()) << currentStep_;
    EXPECT_TRUE(r.rows.empty()) << currentStep_;
  } else if (what == "seen") {
    EXPECT_EQ(r.seen, text) << currentStep_ << ": " << r.code << " " << r.error;
  } else {
    FAIL() << "unknown step: " << currentStep_;
  }
}

// Waits for the next complete reply, or for the end of the connection.
lab::Reply Scenario::reply(VersionedClient& o) {
  waitUntil(
      [&] {
        std::string send;
        const auto got = o.speaker->take(o.c.received, send);
        if (!send.empty()) sendAll(o.c.fd, send);
        EXPECT_NE(got, lab::ClientProtocol::Result::Broken) << currentStep_ << ": " << o.speaker->why();
        return got != lab::ClientProtocol::Result::More || o.c.ended;
      },
      "a reply");
  return o.speaker->takeReply();
}

void Scenario::server(Server& s, const std::string& verb, const std::string& what, const std::string& rest) {
  if (verb == "expect" && what == "minor") {
    EXPECT_EQ(s.requestedMinor, std::stoi(rest)) << currentStep_;
    return;
  }
  if (verb == "holds" || verb == "frees") {
    s.holdsCancels = verb == "holds";
    for (Connection& c : s.connections)
      if (c.holdsCancel && !s.holdsCancels) shutdown(c.fd, SHUT_RDWR);
    return;
  }
  if (verb == "expect" && (what == "query" || what == "another" || what == "kept")) {
    Connection* found = nullptr;
    std::string statement;
    waitUntil(
        [&] {
          for (Connection& c : s.connections) {
            char type = 0;
            if (!found && c.loggedIn && !c.busy && takeMessage(c, type, statement)) found = &c;
          }
          return found != nullptr;
        },
        "a query");
    if (!found) return;
    EXPECT_NE(statement.find(rest), std::string::npos) << currentStep_ << ": got " << statement;
    if (what != "query") {
      ASSERT_NE(s.current, nullptr) << currentStep_;
      EXPECT_TRUE(what == "kept" ? s.lostConnections == 0 && !s.current->ended : found != s.current)
          << currentStep_;
    }
    s.current = found;
    found->busy = found->hadQuery = true;
    return;
  }
  if (verb == "drop") {
    s.healthChecksToDrop = std::stoi(rest);
    return;
  }
  if (verb == "serves") {
    s.fixedAnswer = rest.empty() ? what : what + " " + rest;
    return;
  }
  if (verb == "becomes") {
    if (what == "primary")
      for (Server& other : servers_) other.primary = false;
    s.primary = what == "primary";
    return;
  }
  if (verb == "stands") {
    s.dataTimeMs = what == "up" ? 0 : unixMs() - std::stoll(what);
    return;
  }
  if (verb == "lags") {
    s.lagMs = std::stoll(what);
    return;
  }
  if (verb == "tells") {
    s.reportedState = what;
    return;
  }
  if (verb == "expect" && what == "served") {
    EXPECT_EQ(std::exchange(s.queriesServed, 0), std::stoul(rest)) << currentStep_;
    return;
  }
  if (verb == "says") {
    s.parameters += what + "\n";
    return;
  }
  if (verb == "speaks" || verb == "asks") {
    (verb == "speaks" ? s.protocolVersion : s.authMethod) = what;
    return;
  }
  if (verb == "expect" && what == "cancel") {
    ASSERT_NE(s.current, nullptr) << currentStep_;
    return waitUntil(
        [&] { return std::count(s.cancelledIds.begin(), s.cancelledIds.end(), s.current->processId) > 0; },
        "a CancelRequest");
  }
  if (verb == "report") {
    s.loadReport = what;
    return;
  }
  if (verb == "wait" && what == "speak") {  // connections waiting since "silent" are served now
    s.silent = false;
    return;
  }
  if (verb == "wait" && what == "silent") {  // partitioned: its connections stay open without responses
    s.silent = true;
    return;
  }
  if (verb == "wait" && what == "queries") {  // for unread queries
    const auto n = std::stoul(rest);
    return waitUntil(
        [&] {
          std::size_t waiting = 0;
          for (const Connection& c : s.connections) waiting += c.loggedIn && !c.busy && !c.received.empty();
          return waiting >= n;
        },
        "queries");
  }
  if (verb == "wait") {  // for idle connections
    const auto n = std::stoul(rest);
    return waitUntil(
        [&] {
          std::size_t idle = 0;
          for (const Connection& c : s.connections) idle += c.loggedIn && !c.busy && !c.ended;
          return idle >= n;
        },
        "idle connections");
  }
  if (what == "all") {  // its process ends
    close(s.listener);
    s.listener = -1;
    const linger hard{1, 0};
    for (Connection& c : s.connections) {
      setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close(c.fd);
    }
    return s.connections.clear();
  }
  if (what == "idle") {
    for (Connection& c : s.connections) {
      if (c.busy) continue;
      shutdown(c.fd, SHUT_RDWR);
      c.ended = true;
    }
    return;
  }
  if (what == "drained")
    return waitUntil([&] { return s.connections.empty(); }, "the end of all connections");
  Connection* const c = s.current;
  ASSERT_NE(c, nullptr) << currentStep_;
  const std::string role = stateParameters(s, false);
  if (what == "closed") return waitUntil([&] { return c->ended; }, "the end of the connection");
  if (verb == "close") {
    shutdown(c->fd, SHUT_RDWR);
  } else if (what == "row") {
    sendAll(c->fd, rowMessages(expandValue(rest)) + postgres::message('C', std::string("SELECT 1\0", 9)) +
                       role + postgres::readyForQuery());
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
    sendAll(c->fd, codec.columns(columns) + codec.row(values, false) + codec.commandComplete("SELECT 1") +
                       role + postgres::readyForQuery());
  } else if (what == "done") {
    sendAll(c->fd, postgres::Codec(2).commandComplete(rest) + role + postgres::readyForQuery());
  } else if (what == "problem") {  // with fields that protocol 3.0 clients do not know
    translation::ErrorReport p;
    std::istringstream(rest) >> p.code >> p.text;
    p.table = "rows";
    p.hint = "look there";
    sendAll(c->fd, postgres::Codec(2).errorResponse(p) + role + postgres::readyForQuery());
  } else if (what == "part") {
    const std::string whole = rowMessages(expandValue(rest));
    sendAll(c->fd, whole.substr(0, whole.size() - 2));
  } else if (what == "spoilt") {
    const std::string good = rowMessages("other"),
                      done = postgres::message('C', std::string("SELECT 1\0", 9)),
                      end = done + role + postgres::readyForQuery();
    const std::string description = good.substr(0, good.size() - 16), cell = good.substr(good.size() - 16);
    const std::map<std::string, std::string> kinds{
        {"noise", "\x80\x01 no message"},
        {"huge", description + "D" + bigEndian32(0xc0000000u) + "\1"},
        {"column", description + postgres::message('D', std::string("\0\1\0\0\1\0other", 11)) + end},
        {"columns", description + postgres::message('D', std::string("\0\2\0\0\0\5other", 11)) + end},
        {"endless", description + "D" + bigEndian32(15) + std::string("\0\1\0\0\0\5ot", 8)},
        {"rows", good + cell + end},
        {"order", description + done + cell + role + postgres::readyForQuery()},
        {"none", description + end},
        {"count",
         good + postgres::message('C', std::string("SELECT 2\0", 9)) + role + postgres::readyForQuery()},
        {"twice", good + end + good + end},
        {"behind", good + end + description + "D"}};
    sendAll(c->fd, kinds.at(rest));
  } else if (what == "error") {
    sendAll(c->fd, postgres::error("ERROR", rest.c_str(), "scripted") + role + postgres::readyForQuery());
  } else {
    FAIL() << "unknown step: " << currentStep_;
  }
  if (what != "part" && what != "spoilt") c->busy = false;
}

void Scenario::expectCalls(std::size_t count) {
  const auto arrived = [&] {
    return discoveryCalls_.size() >= count &&
           std::next(discoveryCalls_.begin(), static_cast<std::ptrdiff_t>(count) - 1)
                   ->received.find("\r\n\r\n") != std::string::npos;
  };
  waitUntil(arrived, "discovery calls");
}

void Scenario::sendNextSlowByte() {
  constexpr auto kBetweenBytes = std::chrono::milliseconds(25);
  const auto now = std::chrono::steady_clock::now();
  if (!slowList_.call || slowList_.remaining.empty() || slowList_.call->ended || now < slowList_.nextByteAt)
    return;
  sendAll(slowList_.call->fd, "1\r\n" + slowList_.remaining.substr(0, 1) + "\r\n");
  slowList_.remaining.erase(0, 1);
  slowList_.nextByteAt = now + kBetweenBytes;
}

void Scenario::discovery(const std::string& verb, const std::string& what, const std::string& rest) {
  if (verb == "choose") {
    chosenCall_ = &*std::next(discoveryCalls_.begin(), std::stoi(what) - 1);
    return;
  }
  if (what == "calls") return expectCalls(std::stoul(rest));
  if (what == "kept") {
    EXPECT_FALSE(chosenCall().ended) << currentStep_;
    return;
  }
  if (verb == "expect") {
    std::string request;
    waitUntil(
        [&] {
          const bool arrived = !discoveryCalls_.empty() && discoveryCalls_.back().requestUnread &&
                               discoveryCalls_.back().received.find("\r\n\r\n") != std::string::npos;
          if (arrived) request = discoveryCalls_.back().received;
          return arrived;
        },
        "a discovery call");
    if (request.empty()) return;
    EXPECT_EQ(request.rfind("GET /registry/instances?watch=1&", 0), 0u) << request;
    EXPECT_NE(request.find(rest), std::string::npos) << currentStep_ << ": got " << request;
    discoveryCalls_.back().requestUnread = false;
    if (what == "watch")
      sendAll(discoveryCalls_.back().fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return;
  }
  ASSERT_FALSE(discoveryCalls_.empty()) << currentStep_;
  const int fd = chosenCall().fd;
  const auto chunk = [&](const std::string& text) {
    std::ostringstream head;
    head << std::hex << text.size() << "\r\n" << text << "\r\n";
    sendAll(fd, head.str());
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
    tricklingCall_ = &chosenCall();
  } else if (verb == "answers") {
    sendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  } else if (verb == "drips") {
    slowList_ = {&chosenCall(), what + (rest.empty() ? "" : " " + rest) + "\n", {}};
  } else if (what == "bits") {  // in chunks of one byte
    for (const char byte : rest + "\n") chunk(std::string(1, byte));
  } else if (what == "status") {
    sendAll(fd, "HTTP/1.1 " + rest + "\r\nContent-Length: 0\r\n\r\n");
  } else {
    FAIL() << "unknown step: " << currentStep_;
  }
}

void Scenario::dns(const std::string& verb, const std::string& what, const std::string& rest) {
  if (verb == "mood") {
    lab::NameServer::ResponseMode responseMode{};
    ASSERT_TRUE(lab::NameServer::parseResponseMode(what, responseMode)) << currentStep_;
    return nameServer_->responseMode(responseMode);
  }
  if (verb == "move") {  // another domain, served at the same port
    const int port = nameServer_->port();
    nameServer_.reset();
    domain_ = what;
    nameServer_ = std::make_unique<lab::NameServer>(base_.get(), domain_, "_postgresql._tcp", port);
    configure(port);
    kill(pid_, SIGHUP);
    return;
  }
  const std::string label = "s-" + what.substr(1);
  if (verb == "withdraw") return nameServer_->withdraw(label);
  ASSERT_EQ(verb, "publish") << currentStep_;
  lab::ServiceInstance i;
  i.label = label;
  i.addresses = {"127.0.0.1"};
  i.port = static_cast<std::uint16_t>(servers_.at(std::stoul(what.substr(1)) - 1).port);
  std::istringstream words(rest);
  for (std::string word; words >> word;) i.txt.push_back(word);
  nameServer_->publish(i);
}

void Scenario::serveUntil(const std::function<bool()>& done) { waitUntil(done, "the end of a client"); }

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
  if (verb == "steps") {
    ASSERT_NE(wallClock_, nullptr) << currentStep_ << ": needs Setting::ownWallClock";
    return wallClock_->setOffset(std::chrono::milliseconds(std::stoll(rest)));
  }
  if (verb == "crash") {  // restarted on the files that it left
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
    while (std::chrono::steady_clock::now() < end) processEvents();
    EXPECT_LT(cpu() - before, 200) << "step '" << currentStep_ << "': ms of CPU in 400 ms";
    return;
  }
  waitUntil([&] { return exited_ = exited_ || waitpid(pid_, &status_, WNOHANG) == pid_; },
            "the proxy's exit");
  EXPECT_TRUE(WIFEXITED(status_)) << currentStep_;
  EXPECT_EQ(WEXITSTATUS(status_), std::stoi(rest)) << currentStep_;
}

template <typename Done>
void Scenario::waitUntil(Done done, const std::string& what) {
  const auto end = std::chrono::steady_clock::now() + kWatchdog;
  while (!done()) {
    ASSERT_LT(std::chrono::steady_clock::now(), end)
        << "step '" << currentStep_ << "': timed out waiting for " << what;
    processEvents();
  }
}

// Reads from all connections, accepts new ones and responds for the data servers.
void Scenario::processEvents() {
  std::vector<pollfd> fds{{err_, POLLIN, 0}, {listListener_, POLLIN, 0}};
  const auto watch = [&](Connection& c) {
    if (c.fd >= 0 && !c.ended) fds.push_back({c.fd, POLLIN, 0});
  };
  for (auto& [name, c] : clients_) watch(c);
  for (auto& [name, o] : versionedClients_) watch(o.c);
  for (Connection& c : discoveryCalls_) watch(c);
  for (Server& s : servers_) {
    if (s.listener >= 0) fds.push_back({s.listener, POLLIN, 0});
    for (Connection& c : s.connections) watch(c);
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
  const auto acceptFrom = [&](int listener, std::list<Connection>& to) {
    if (listener < 0 || !ready(listener)) return;
    to.emplace_back();
    to.back().fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  };
  for (auto& [name, c] : clients_)
    if (ready(c.fd)) read(c);
  for (auto& [name, o] : versionedClients_)
    if (ready(o.c.fd)) read(o.c);
  for (Connection& c : discoveryCalls_)
    if (ready(c.fd)) read(c);
  sendNextSlowByte();
  if (tricklingCall_ && !tricklingCall_->ended) sendAll(tricklingCall_->fd, "1\r\n \r\n");
  acceptFrom(listListener_, discoveryCalls_);
  for (Server& s : servers_) {
    for (Connection& c : s.connections) {
      if (ready(c.fd)) read(c);
      handleStartupOrHealthCheck(s, c);
      if (!s.fixedAnswer.empty()) answerQueries(s, c);
    }
    s.connections.remove_if([&](Connection& c) {
      const bool finished = c.ended && !c.busy && &c != s.current;
      if (finished) close(c.fd);
      s.lostConnections += finished && c.hadQuery;
      return finished;
    });
    acceptFrom(s.listener, s.connections);
  }
}

void Scenario::read(Connection& c) {
  char text[65536];
  const ssize_t n = ::recv(c.fd, text, sizeof text, MSG_DONTWAIT);
  if (n > 0) c.received.append(text, static_cast<std::size_t>(n));
  c.ended = n == 0 || (n < 0 && errno != EAGAIN);
}

void Scenario::handleStartupOrHealthCheck(Server& s, Connection& c) {
  if (s.silent) return;
  if (!c.authMethod.empty() && continueLogin(s, c)) completeLogin(s, c, "");
  if (!c.loggedIn && c.authMethod.empty() && c.received.size() >= 8 &&
      postgres::readInt32(c.received.data() + 4) == postgres::kCancelRequest) {
    if (const auto key = postgres::parseCancel(c.received)) s.cancelledIds.push_back(key->process);
    c.received.clear();
    c.holdsCancel = s.holdsCancels;
    if (!c.holdsCancel) shutdown(c.fd, SHUT_RDWR);
    return;
  }
  if (!c.loggedIn && c.authMethod.empty() && c.received.size() >= 4 &&
      c.received.size() >= postgres::readInt32(c.received.data())) {
    const auto startup = postgres::parseStartup(
        std::string_view(c.received).substr(0, postgres::readInt32(c.received.data())));
    c.received.erase(0, postgres::readInt32(c.received.data()));
    if (startup) s.requestedMinor = startup->minor;
    if (startup && startup->minor > 0 && s.protocolVersion == "fatal") {
      sendAll(c.fd, postgres::error("FATAL", "0A000",
                                    "unsupported frontend protocol 3.2: server supports 1.0 to 3.0"));
      shutdown(c.fd, SHUT_WR);
      return;
    }
    c.loggedIn = true;
    std::string parameters;
    std::istringstream lines(s.parameters);
    for (std::string line; std::getline(lines, line);)
      parameters += parameterStatus(line.substr(0, line.find('=')), line.substr(line.find('=') + 1));
    const int minor = startup && s.protocolVersion == "3.2" ? startup->minor : 0;
    if (startup && startup->minor > minor) parameters += postgres::negotiate(minor, {});
    c.processId = ++lastProcessId_;
    if (s.authMethod.empty() || s.authMethod == "trust") return completeLogin(s, c, parameters);
    c.loggedIn = false;
    c.authMethod = s.authMethod;
    if (c.authMethod == "cleartext") sendAll(c.fd, postgres::authentication(postgres::kAuthCleartext));
    if (c.authMethod == "md5") sendAll(c.fd, postgres::authentication(postgres::kAuthMd5, "salt"));
    if (c.authMethod == "kerberos") sendAll(c.fd, postgres::authentication(7));
    if ((c.authMethod != "cleartext" && c.authMethod != "md5" && c.authMethod != "kerberos")) {
      c.scram = std::make_unique<auth::ScramServer>(auth::makeVerifier("inner", "0123456789abcdef", 4096),
                                                    "servernonce");
      sendAll(c.fd, postgres::authentication(postgres::kAuthSasl,
                                             std::string("SCRAM-SHA-256-PLUS\0SCRAM-SHA-256\0\0", 34)));
    }
    return;
  }
  const std::string show = postgres::query("SHOW load");
  if (!c.loggedIn || c.received.compare(0, show.size(), show) != 0) return;
  c.received.erase(0, show.size());
  if (s.healthChecksToDrop > 0) {
    --s.healthChecksToDrop;
    shutdown(c.fd, SHUT_RDWR);
    return;
  }
  if (!s.loadReport.empty()) {
    sendAll(c.fd, rowMessages(s.loadReport) + postgres::message('C', std::string("SHOW\0", 5)) +
                      postgres::readyForQuery());
    return;
  }
  std::ostringstream report;
  const long long ms = positionMs(s);
  report << "x0=" << ms / 1000 << "." << ms % 1000 / 100 << ",x1=" << (s.primary ? 1 : 0) << ",inflight=0";
  sendAll(c.fd, rowMessages(report.str()) + postgres::message('C', std::string("SHOW\0", 5)) +
                    postgres::readyForQuery());
}

// Handles the client's next login message; the SCRAM faults of "s2 asks" are made here. Returns
// true when the login has succeeded.
bool Scenario::continueLogin(Server&, Connection& c) {
  char type = 0;
  std::string body;
  if (!takeMessage(c, type, body)) return false;
  EXPECT_EQ(type, 'p');
  const auto rejectLogin = [&] {
    sendAll(c.fd, postgres::error("FATAL", "28P01", "password authentication failed"));
    shutdown(c.fd, SHUT_RDWR);
    c.authMethod.clear();
    return false;
  };
  const auto acceptLogin = [&] {
    c.authMethod.clear();
    return true;
  };
  if (c.authMethod == "cleartext") return body == std::string("inner\0", 6) ? acceptLogin() : rejectLogin();
  if (c.authMethod == "md5")
    return body == auth::md5Answer(auth::md5Stored("api", "inner"), "salt") + '\0' ? acceptLogin()
                                                                                   : rejectLogin();
  std::string why;
  if (const auto initial = postgres::parseSaslInitial(body)) {
    std::string first = c.scram->first(*initial, why).value_or("");
    if (c.authMethod == "nonce") first[2] = first[2] == 'x' ? 'y' : 'x';
    if (c.authMethod == "iterations") first = first.substr(0, first.rfind('=') + 1) + "2000000000";
    sendAll(c.fd, postgres::authentication(postgres::kAuthSaslContinue, first));
    return false;
  }
  auto last = c.scram->final(body, why);
  if (!last) return rejectLogin();
  if (c.authMethod == "signature") (*last)[3] = (*last)[3] == 'A' ? 'B' : 'A';
  if (c.authMethod != "skip") sendAll(c.fd, postgres::authentication(postgres::kAuthSaslFinal, *last));
  return acceptLogin();
}
void Scenario::completeLogin(Server& s, Connection& c, const std::string& parameters) {
  std::string sent = parameters;
  std::istringstream lines(s.parameters);
  for (std::string line; parameters.empty() && std::getline(lines, line);)
    sent += parameterStatus(line.substr(0, line.find('=')), line.substr(line.find('=') + 1));
  c.loggedIn = true;
  // The scripted parameters follow the default ones, before ReadyForQuery.
  const std::string messages = postgres::loginComplete({c.processId, "abcd"}, false);
  sendAll(c.fd, messages.substr(0, messages.size() - 6) + sent + postgres::readyForQuery());
}

long long Scenario::positionMs(const Server& s) {
  return s.primary || s.dataTimeMs == 0 ? unixMs() - s.lagMs : s.dataTimeMs;
}

std::string Scenario::stateParameters(const Server& s, bool wrote) {
  std::string parameters;
  if (s.reportedState != "nothing") parameters += parameterStatus("role", s.primary ? "primary" : "replica");
  const long long position = wrote ? unixMs() : positionMs(s);
  if (s.reportedState == "all") parameters += parameterStatus("applied_ms", std::to_string(position));
  return parameters;
}

// Answers all received queries with fixedAnswer; see "s2 serves" for the exceptions.
void Scenario::answerQueries(Server& s, Connection& c) {
  char type = 0;
  std::string statement;
  while (c.loggedIn && takeMessage(c, type, statement)) {
    if (type != 'Q' || statement.find("hang") != std::string::npos) continue;
    ++s.queriesServed;
    const bool isWrite = statement.compare(0, 6, "INSERT") == 0;
    const std::string role = stateParameters(s, isWrite && s.primary) + postgres::readyForQuery();
    if (isWrite && !s.primary)
      sendAll(c.fd, postgres::error("ERROR", "25006", "this is no primary") + role);
    else if (statement.find("fail") != std::string::npos)
      sendAll(c.fd, postgres::error("ERROR", "42703", "column does not exist") + role);
    else
      sendAll(c.fd, rowMessages(s.fixedAnswer) + postgres::message('C', std::string("SELECT 1\0", 9)) + role);
  }
}

bool Scenario::takeMessage(Connection& c, char& type, std::string& body) {
  if (c.received.size() < 5) return false;
  const std::size_t n = postgres::readInt32(c.received.data() + 1);
  if (c.received.size() < n + 1) return false;
  type = c.received[0];
  body = c.received.substr(5, n - 4);
  c.received.erase(0, n + 1);
  return true;
}

// Waits for a message of this type that contains `within` (for a row: whose value equals it).
// Messages that a client may ignore are skipped.
void Scenario::expectMessage(Connection& c, char type, const std::string& within) {
  char got = 0;
  std::string body;
  const std::string passed = type == 'Z' ? "RSKC" : "RSKTC";
  waitUntil(
      [&] {
        while (takeMessage(c, got, body))
          if (got == type || passed.find(got) == std::string::npos) return true;
        return c.ended;
      },
      "a message");
  if (got == 'E') lastError_ = body;
  ASSERT_EQ(std::string(1, got), std::string(1, type))
      << "step '" << currentStep_ << "': " << body.substr(0, 200);
  const bool exact = type == 'D';
  EXPECT_TRUE(exact ? body.size() >= 6 && body.substr(6) == within : body.find(within) != std::string::npos)
      << "step '" << currentStep_ << "': got " << body.substr(0, 200);
}

}  // namespace sablespur::test
