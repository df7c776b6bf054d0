// A proxy that breaks one rule on purpose, to test that each check of the audit detects it.
// Otherwise as simple as possible: one thread per client, one connection per request. The
// environment variable ROGUE selects the rule:
//
//   late    keeps sending to withdrawn servers
//   copies  sends each read to two servers at once
//   lose    never answers one request in ten
//   swap    answers with a value that no data server sent
//   stale   sends reads to replicas regardless of their staleness
//   flood   sends every read to the server that was listed last
//   twice   repeats each write after its deduplication window
//   extra   sends each answer twice
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "protocol/dns/message.hpp"
#include "protocol/postgres/messages.hpp"
#include "support/ini.hpp"

namespace {

using namespace sablespur;

struct Server {
  std::string name, group;
  sockaddr_in address{};
};

std::string mode;
std::mutex lock;
std::vector<Server> servers;  // in the order of their first appearance
std::atomic<unsigned> turn{0};

sockaddr_in parse(const std::string& text) {
  sockaddr_in a{};
  const std::size_t colon = text.rfind(':');
  a.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &a.sin_addr);
  a.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return a;
}

void queryServers(const sockaddr_in& names, const dns::Name& service) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&names), sizeof names) != 0) return void(close(fd));
  const std::string query = dns::encodeQuery(7, {service, dns::Type::Ptr}, 0);
  const std::string framed =
      std::string{static_cast<char>(query.size() >> 8), static_cast<char>(query.size())} + query;
  if (send(fd, framed.data(), framed.size(), MSG_NOSIGNAL) < 0) return void(close(fd));
  std::string in;
  char bytes[65536];
  std::size_t want = 2;
  while (in.size() < want) {
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) break;
    in.append(bytes, static_cast<std::size_t>(n));
    if (in.size() >= 2)
      want = 2 + (std::size_t{static_cast<unsigned char>(in[0])} << 8 | static_cast<unsigned char>(in[1]));
  }
  close(fd);
  const auto m = in.size() > 2 ? dns::parse(in.substr(2)) : std::nullopt;
  if (!m) return;
  std::vector<Server> found;
  for (const dns::Record& r : m->additionals) {
    if (r.type != dns::Type::Srv) continue;
    Server s;
    s.name = dns::firstLabel(r.name);
    const auto& srv = std::get<dns::Srv>(r.data);
    for (const dns::Record& o : m->additionals) {
      if (o.type == dns::Type::Txt && o.name == r.name)
        for (const std::string& t : std::get<dns::TxtStrings>(o.data))
          if (t.rfind("group=", 0) == 0) s.group = t.substr(6);
      if (o.type == dns::Type::A && o.name == srv.target) {
        s.address.sin_family = AF_INET;
        s.address.sin_port = htons(srv.port);
        std::get<dns::AddressBytes>(o.data).bytes.copy(reinterpret_cast<char*>(&s.address.sin_addr), 4);
      }
    }
    found.push_back(s);
  }
  const std::lock_guard<std::mutex> hold(lock);
  if (mode == "late" && !servers.empty()) return;
  std::vector<Server> kept;
  for (const Server& s : servers)
    for (const Server& f : found)
      if (f.name == s.name) kept.push_back(f);
  for (const Server& f : found) {
    bool known = false;
    for (const Server& s : kept) known = known || s.name == f.name;
    if (!known) kept.push_back(f);
  }
  servers = std::move(kept);
}

bool readUntilReady(int fd, std::string& all) {
  char bytes[65536];
  std::size_t at = 0;
  for (;;) {
    while (all.size() >= at + 5) {
      const std::size_t whole = 1 + postgres::readInt32(all.data() + at + 1);
      if (all.size() < at + whole) break;
      if (all[at] == 'Z') return true;
      at += whole;
    }
    pollfd p{fd, POLLIN, 0};
    if (poll(&p, 1, 3000) <= 0) return false;
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    all.append(bytes, static_cast<std::size_t>(n));
  }
}

// Sends one attempt. Returns the answer including ReadyForQuery, or an empty string on failure.
std::string attempt(const Server& s, const std::string& statement) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::string greeting, answer;
  const std::string hello = postgres::startup("api", "ledger"), query = postgres::query(statement);
  const bool ok = connect(fd, reinterpret_cast<const sockaddr*>(&s.address), sizeof s.address) == 0 &&
                  send(fd, hello.data(), hello.size(), MSG_NOSIGNAL) > 0 && readUntilReady(fd, greeting) &&
                  send(fd, query.data(), query.size(), MSG_NOSIGNAL) > 0 && readUntilReady(fd, answer);
  close(fd);
  return ok ? answer : "";
}

std::vector<Server> ofGroup(const std::string& statement) {
  const std::size_t at = statement.rfind("cluster=");
  const std::string group =
      std::to_string(at == std::string::npos ? 1 : std::atoi(statement.c_str() + at + 8));
  const std::lock_guard<std::mutex> hold(lock);
  std::vector<Server> all;
  for (const Server& s : servers)
    if (s.group == group) all.push_back(s);
  return all;
}

std::string serve(const std::string& statement) {
  const std::vector<Server> all = ofGroup(statement);
  const std::string refused = postgres::error("ERROR", "53300", "none") + postgres::readyForQuery();
  if (all.empty()) return refused;
  const unsigned k = turn++;
  if (mode == "lose" && k % 10 == 9) return "";
  if (statement.rfind("INSERT", 0) == 0) {
    for (const Server& s : all) {
      const std::string answer = attempt(s, statement);
      if (answer.find("C25006") != std::string::npos || answer.empty()) continue;
      if (mode == "twice") {
        std::thread([s, statement] {
          std::this_thread::sleep_for(std::chrono::milliseconds(700));
          attempt(s, statement);
        }).detach();
      }
      return answer;
    }
    return refused;
  }
  const Server& first = mode == "flood" ? all.back() : all[k % all.size()];
  if (mode == "copies" && all.size() > 1) {
    const Server other = all[(k + 1) % all.size()];
    std::thread([other, statement] { attempt(other, statement); }).detach();
  }
  std::string answer = attempt(first, statement);
  if (answer.empty()) return refused;
  const std::size_t value = answer.find("v-");
  if (mode == "swap" && value != std::string::npos) answer[value + 2] = '?';
  return answer;
}

void client(int fd) {
  std::string in;
  char bytes[65536];
  bool greeted = false;
  for (;;) {
    if (!greeted && in.size() >= 4 && in.size() >= postgres::readInt32(in.data())) {
      in.erase(0, postgres::readInt32(in.data()));
      greeted = true;
      const std::string hello = postgres::greeting();
      if (send(fd, hello.data(), hello.size(), MSG_NOSIGNAL) < 0) break;
    }
    if (greeted && in.size() >= 5 && in.size() >= 1 + postgres::readInt32(in.data() + 1)) {
      const std::size_t whole = 1 + postgres::readInt32(in.data() + 1);
      if (in[0] != 'Q') break;
      std::string answer = serve(in.substr(5, whole - 6));
      in.erase(0, whole);
      if (mode == "extra") answer += answer;
      if (!answer.empty() && send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) break;
      continue;
    }
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) break;
    in.append(bytes, static_cast<std::size_t>(n));
  }
  close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  signal(SIGPIPE, SIG_IGN);
  mode = std::getenv("ROGUE") ? std::getenv("ROGUE") : "";
  std::ifstream file(argv[3]);
  std::stringstream text;
  text << file.rdbuf();
  std::string names, domain;
  for (const auto& s : parseIni(text.str(), argv[3]).sections)
    for (const auto& e : s.entries) {
      if (e.key == "name_servers") names = e.value;
      if (e.key == "domain") domain = e.value;
    }
  const auto service = dns::parseName("_postgresql._tcp." + domain);
  if (!service) return 1;
  const sockaddr_in server = parse(names);
  queryServers(server, *service);
  std::thread([server, service] {
    for (;;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      queryServers(server, *service);
    }
  }).detach();
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof a;
  if (bind(listener, reinterpret_cast<sockaddr*>(&a), n) != 0 || listen(listener, 256) != 0) return 1;
  getsockname(listener, reinterpret_cast<sockaddr*>(&a), &n);
  std::fprintf(stderr, "event=listening name=rogue port=%d\n", ntohs(a.sin_port));
  for (;;) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd >= 0) std::thread(client, fd).detach();
  }
}
