#include "app/status.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "app/table.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kAskers = 4;                // at once; more are closed
constexpr Time kPause = std::chrono::seconds(1);  // without a descriptor for one that asks
constexpr timeval kPatience{2, 0};                // of one that does not read
constexpr int kAskPatience = 5;                   // seconds, of ours
constexpr std::size_t kLongest = 16u << 20;       // of a document

sockaddr_un socketAddress(const std::string& path) {
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  if (path.size() >= sizeof a.sun_path)
    throw std::runtime_error("key [status] socket: a path of " + std::to_string(path.size()) +
                             " bytes; the system takes " + std::to_string(sizeof a.sun_path - 1));
  std::memcpy(a.sun_path, path.data(), path.size());
  return a;
}

class Server final : public StatusServer {
 public:
  Server(event_base* base, const Config& c, const Engine& e, const ResourceBudget& a,
         const AdmissionController* g, const IdempotencyHandler* k, const RecoveryCoordinator* r)
      : base_(base),
        config_(c),
        engine_(e),
        account_(a),
        gate_(g),
        keeper_(k),
        recoverer_(r),
        started_(e.now()) {
    const sockaddr_un at = socketAddress(c.statusSocket);
    const auto fail = [&](const char* what) {
      const std::string why = std::strerror(errno);
      if (fd_ >= 0) close(fd_);
      throw std::runtime_error("key [status] socket: " + std::string(what) + c.statusSocket + ": " + why);
    };
    fd_ = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0) fail("");
    // A socket that a killed proxy left behind is taken over; one that is answered is another proxy's.
    struct stat s {};
    if (lstat(c.statusSocket.c_str(), &s) == 0) {
      if (!S_ISSOCK(s.st_mode)) {
        errno = EEXIST;
        fail("no socket stands at ");
      }
      if (connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
        errno = EADDRINUSE;
        fail("");
      }
      unlink(c.statusSocket.c_str());
    }
    const mode_t mask = umask(0177);
    const bool bound = bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    umask(mask);
    if (!bound || listen(fd_, static_cast<int>(kAskers)) != 0) fail("");
    readable_.reset(event_new(
        base, fd_, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<Server*>(self)->asked(); }, this));
    event_add(readable_.get(), nullptr);
    again_.reset(event_new(
        base, -1, 0,
        [](evutil_socket_t, short, void* self) {
          event_add(static_cast<Server*>(self)->readable_.get(), nullptr);
        },
        this));
  }
  ~Server() override {
    readable_.reset();
    askers_.clear();
    close(fd_);
    unlink(config_.statusSocket.c_str());
  }

 private:
  void asked() {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      // Guards against spinning where there is no descriptor: the socket stays readable.
      if (resourceExhaustionOf(errno) != ResourceExhaustion::None) {
        event_del(readable_.get());
        startTimer(again_.get(), kPause);
      }
      return;
    }
    if (askers_.size() >= kAskers) {
      close(fd);
      return;
    }
    BufferEvent b(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        b.get(), nullptr, [](bufferevent* of, void* self) { static_cast<Server*>(self)->askers_.erase(of); },
        [](bufferevent* of, short, void* self) { static_cast<Server*>(self)->askers_.erase(of); }, this);
    bufferevent_set_timeouts(b.get(), nullptr, &kPatience);
    append(bufferevent_get_output(b.get()),
           statusJson(config_, account_, gate_, keeper_, recoverer_, engine_.now() - started_));
    bufferevent_enable(b.get(), EV_WRITE);
    bufferevent* const key = b.get();
    askers_.emplace(key, std::move(b));
  }

  event_base* const base_;
  const Config& config_;
  const Engine& engine_;
  const ResourceBudget& account_;
  const AdmissionController* const gate_;
  const IdempotencyHandler* const keeper_;
  const RecoveryCoordinator* const recoverer_;
  const Time started_;
  int fd_ = -1;
  Event readable_, again_;
  std::map<bufferevent*, BufferEvent> askers_;
};

std::string ask(const std::string& path) {
  const sockaddr_un at = socketAddress(path);
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval wait{kAskPatience, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  if (fd < 0 || connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    const std::string why = std::strerror(errno);
    if (fd >= 0) close(fd);
    throw std::runtime_error("status: " + path + ": " + why + "; is the proxy running?");
  }
  std::string text;
  char bytes[8192];
  ssize_t n = 0;
  while (text.size() < kLongest && (n = read(fd, bytes, sizeof bytes)) > 0)
    text.append(bytes, static_cast<std::size_t>(n));
  close(fd);
  if (n < 0) throw std::runtime_error("status: " + path + ": no whole answer within 5 s");
  return text;
}

Json part(const ResourceBudget::DescriptorShare& p) {
  return {{"held", p.held}, {"most", p.most}, {"peak", p.peak}};
}
std::string reasons(const Json& counts) {
  std::string text;
  for (const auto& [why, n] : counts.items())
    text += (text.empty() ? "" : " ") + why + "=" + std::to_string(n.get<std::uint64_t>());
  return text;
}
// 0 is no cap.
std::string cap(const Json& n) { return n.get<std::uint64_t>() == 0 ? "-" : n.dump(); }

}  // namespace

std::string statusJson(const Config& c, const ResourceBudget& a, const AdmissionController* gate,
                       const IdempotencyHandler* keeper, const RecoveryCoordinator* recoverer, Time up) {
  Json page{{"name", c.name},
            {"up_s", up.count() / 1000000},
            {"descriptors",
             {{"clients", part(a.share(DescriptorHolder::Clients))},
              {"servers", part(a.share(DescriptorHolder::Servers))},
              {"short_of_descriptors", a.exhaustionCount(ResourceExhaustion::Descriptors)},
              {"short_of_memory", a.exhaustionCount(ResourceExhaustion::Memory)}}},
            {"statement_bytes", {{"held", a.bytes()}, {"most", a.maxBytes()}, {"peak", a.peakBytes()}}}};
  page["store"] = nullptr;
  if (keeper) {
    const IdempotencyView k = keeper->view();
    page["store"] = {{"directory", k.directory},
                     {"state", k.state},
                     {"why", k.why},
                     {"start", k.epoch},
                     {"keys", k.keys},
                     {"sessions", k.sessions},
                     {"bytes", k.bytesOnDisk},
                     {"operations", k.operations},
                     {"commits", k.commits},
                     {"largest_group", k.largestGroup},
                     {"lost", k.lostOperations},
                     {"waiting", k.waiting},
                     {"last_commit_ms", static_cast<double>(k.lastCommit.count()) / 1e3},
                     {"longest_commit_ms", static_cast<double>(k.longestCommit.count()) / 1e3},
                     {"verdicts",
                      {{"run", k.executed},
                       {"again", k.retried},
                       {"recorded", k.replayed},
                       {"unknown", k.outcomeUnknown},
                       {"turned_away", k.rejected},
                       {"not_durable", k.notDurable},
                       {"waited_for_another", k.waitedForSameKey}}}};
  }
  page["recovery"] = nullptr;
  if (recoverer) {
    const RecoveryView v = recoverer->view();
    page["recovery"] = {{"state", v.state},
                        {"snapshot", v.snapshot},
                        {"epoch", v.epoch},
                        {"joined", v.joinedEpoch},
                        {"sequence", v.sequence},
                        {"heads_believed", v.peerStatesAccepted},
                        {"heads_turned_away", v.peerStatesRejected},
                        {"requests_turned_away", v.requestsRejected},
                        {"written", v.snapshotsWritten},
                        {"not_written", v.snapshotsFailed},
                        {"took_ms", v.duration.count() / 1000}};
  }
  if (!gate) {
    page["door"] = nullptr;
    return page.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
  }
  const AdmissionView v = gate->view();
  Json groups = Json::array();
  for (const AdmissionView::Group& g : v.groups)
    groups.push_back({{"name", g.name},
                      {"held", g.connections},
                      {"idle", g.idleConnections},
                      {"most", g.maxConnections},
                      {"reserve", g.reserve},
                      {"reserve_left", g.reserveRemaining},
                      {"weight", g.weight},
                      {"admitted", g.connectionsAdmitted},
                      {"asked_back", g.connectionsEvicted},
                      {"refused", Json(g.connectionsRejected)},
                      {"refusing", g.rejecting},
                      {"requests",
                       {{"out", g.requestsInFlight},
                        {"waiting", g.requestsQueued},
                        {"went", g.requestsAdmitted},
                        {"waited", g.requestsEnqueued},
                        {"turned_away", Json(g.requestsRejected)}}}});
  page["door"] = {{"held", v.connections},
                  {"most", v.maxConnections},
                  {"antechamber", v.maxUnadmittedConnections},
                  {"known_addresses", v.recentClients},
                  {"groups", std::move(groups)}};
  if (!v.limitsRequests) return page.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
  Json lanes = Json::array();
  for (const AdmissionView::Queue& l : v.queues)
    lanes.push_back({{"group", l.group < 0 ? Json("rest") : Json(l.group)},
                     {"primary", l.primary},
                     {"limit", l.limit},
                     {"out", l.inFlight},
                     {"waiting", l.queued},
                     {"usual_ms", static_cast<double>(l.typicalLatency.count()) / 1e3}});
  page["door"]["lanes"] = std::move(lanes);
  return page.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string statusTable(const std::string& text) {
  try {
    const Json page = Json::parse(text);
    const Json& d = page.at("descriptors");
    const auto held = [&](const char* who) {
      const Json& p = d.at(who);
      return fmt::format("{} of {} (most so far {})", p.at("held").dump(), p.at("most").dump(),
                         p.at("peak").dump());
    };
    std::string out = fmt::format(
        "{}, up {} s\nclient connections {}\nserver connections {}\nbytes of long statements {} of {}\n"
        "the system had none left: {} times no descriptor, {} times no memory\n",
        page.at("name").get<std::string>(), page.at("up_s").dump(), held("clients"), held("servers"),
        page.at("statement_bytes").at("held").dump(), page.at("statement_bytes").at("most").dump(),
        d.at("short_of_descriptors").dump(), d.at("short_of_memory").dump());
    if (page.contains("store") && !page["store"].is_null()) {
      const Json& k = page["store"];
      out += fmt::format(
          "store {}: {}{}{}, {} keys, {} sessions, {} commits of {} operations (longest {:.1f} ms)\n"
          "keyed writes: {}\n",
          k.at("directory").get<std::string>(), k.at("state").get<std::string>(),
          k.at("why").get<std::string>().empty() ? "" : ": ", k.at("why").get<std::string>(),
          k.at("keys").dump(), k.at("sessions").dump(), k.at("commits").dump(), k.at("operations").dump(),
          k.at("longest_commit_ms").get<double>(), reasons(k.at("verdicts")));
    }
    if (page.contains("recovery") && !page["recovery"].is_null()) {
      const Json& r = page["recovery"];
      out += fmt::format(
          "recovery: {} in {} ms, epoch {}{}, snapshot {} at the start, {} written, {} not; {} requests "
          "turned away\n",
          r.at("state").get<std::string>(), r.at("took_ms").dump(), r.at("epoch").dump(),
          r.at("joined").get<bool>() ? " (joined)" : "", r.at("snapshot").get<std::string>(),
          r.at("written").dump(), r.at("not_written").dump(), r.at("requests_turned_away").dump());
    }
    if (page.at("door").is_null()) return out + "no door: every client is alike\n";
    const Json& door = page["door"];
    out += fmt::format("\nthe door: {} of {} let in, {} addresses served before\n", door.at("held").dump(),
                       door.at("most").dump(), door.at("known_addresses").dump());
    std::vector<std::vector<std::string>> rows{{"GROUP", "HELD", "IDLE", "MOST", "RESERVE", "LEFT", "WEIGHT",
                                                "ADMITTED", "ASKED BACK", "REFUSED", "WHY", "NOW"}};
    for (const Json& g : door.at("groups")) {
      std::uint64_t refused = 0;
      for (const auto& [why, n] : g.at("refused").items()) refused += n.get<std::uint64_t>();
      rows.push_back({g.at("name").get<std::string>(), g.at("held").dump(), g.at("idle").dump(),
                      cap(g.at("most")), g.at("reserve").dump(), g.at("reserve_left").dump(),
                      fmt::format("{:g}", g.at("weight").get<double>()), g.at("admitted").dump(),
                      g.at("asked_back").dump(), std::to_string(refused), reasons(g.at("refused")),
                      g.at("refusing").get<bool>() ? "refusing" : ""});
    }
    out += table(rows);
    if (!door.contains("lanes")) return out;
    rows = {{"LANE", "LIMIT", "OUT", "WAITING", "USUALLY MS"}};
    for (const Json& l : door["lanes"])
      rows.push_back({l.at("group").dump() + (l.at("primary").get<bool>() ? " primary" : ""),
                      l.at("limit").dump(), l.at("out").dump(), l.at("waiting").dump(),
                      fmt::format("{:.1f}", l.at("usual_ms").get<double>())});
    out += "\nrequests, by group of data servers:\n" + table(rows) + "\nand by group of clients:\n";
    rows = {{"GROUP", "OUT", "WAITING", "WENT", "WAITED", "TURNED AWAY", "WHY"}};
    for (const Json& g : door.at("groups")) {
      const Json& q = g.at("requests");
      std::uint64_t turned = 0;
      for (const auto& [why, n] : q.at("turned_away").items()) turned += n.get<std::uint64_t>();
      rows.push_back({g.at("name").get<std::string>(), q.at("out").dump(), q.at("waiting").dump(),
                      q.at("went").dump(), q.at("waited").dump(), std::to_string(turned),
                      reasons(q.at("turned_away"))});
    }
    return out + table(rows);
  } catch (const Json::exception& e) {
    throw std::runtime_error(std::string("status: what came is no status: ") + e.what());
  }
}

std::unique_ptr<StatusServer> openStatus(event_base* base, const Config& c, const Engine& e,
                                         const ResourceBudget& a, const AdmissionController* g,
                                         const IdempotencyHandler* k, const RecoveryCoordinator* r) {
  if (c.statusSocket.empty()) return nullptr;
  return std::make_unique<Server>(base, c, e, a, g, k, r);
}

int showStatus(const Config& c, const StatusOptions& o) {
  if (c.statusSocket.empty())
    throw std::runtime_error(
        "key [status] socket: it is missing; add socket = PATH and start the proxy again");
  const std::string text = ask(c.statusSocket);
  std::fputs((o.json ? text : statusTable(text)).c_str(), stdout);
  return 0;
}

}  // namespace sablespur
