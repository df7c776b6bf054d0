// The one place where settings are read, checked and given defaults. Two forms fill the same Config: the
// platform's JSON (json_config.cpp) and our INI (ini_config.cpp, whose table of keys is keys.cpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "auth/method.hpp"
#include "balancer/balancer.hpp"
#include "discovery/endpoint_list.hpp"
#include "logging/log.hpp"
#include "support/fault.hpp"

namespace sablespur::auth {
class Users;
}
namespace sablespur::admission {
struct Settings;
}
namespace sablespur {

using balancer::Time;

enum class Source { Registry, DnsSd, Fixed };  // where the list of data servers comes from

struct GroupName {
  std::string name;
  balancer::GroupId id = 0;
};

// DNS-SD: what is asked, whom, how often.
struct DnsSdSettings {
  std::string domain, service;      // "ruwi.example.org", "_postgresql._tcp"
  std::vector<Address> servers;     // name servers, the first is asked first
  Time minRefresh{}, maxRefresh{};  // records are asked for again after their TTL, bounded by these
  double jitter = 0;                // and sooner by a random part of up to this
  Time attemptTimeout{};            // of one question to one name server
  double queriesPerSecond = 50;     // for single records, where an answer has no room for all
  int udpPayload = 0;               // EDNS0
  std::optional<balancer::GroupId> defaultGroup;  // of instances that do not say
  std::string defaultGroupName;                   // as the file has it
  Time maxListAge{};  // the last list stands so long when no name server answers; 0: for ever
  Time flapHalfLife{}, flapMaxSuppression{};  // see MembershipPolicy
  double flapSuppressThreshold = 0, flapReuseThreshold = 0;
  friend bool operator==(const DnsSdSettings&, const DnsSdSettings&);
};

// What outlives a crash; see src/store.
struct StoreConfig {
  std::string directory;
  Time keep{}, keepSessions{};
  std::size_t mostKeys = 0, mostSessions = 0, longestAnswer = 0;
  Time patience{};                       // for a commit
  Time comeBackLeast{}, comeBackMost{};  // told to those turned away while there is no store
  bool setAside = false;                 // a damaged one; else the proxy does not start
};

// What a proxy trusts after a start, and how it comes back; see src/recovery.
enum class Trust { ByKind, Nothing, All };
struct RecoveryConfig {
  bool on = true;     // where there is a store
  bool order = true;  // requests go on in the order of return
  Trust trust = Trust::ByKind;
  Time every = std::chrono::seconds(1);  // a snapshot
  double dials = 50;                     // a second, of all proxies together, ahead of need, to a data server
  Time longest = std::chrono::seconds(20);
};

struct Config {
  std::string name;
  Address listen, discovery;
  Address peerListen;          // none: proxies do not talk
  std::vector<Address> peers;  // every proxy of the tier, this one included
  Address peersAll;            // reaches them all; none: each is sent its own
  bool hints = true;           // what answers show is told on to them
  std::uint64_t seed = 0;
  // Bounds that follow from the limits on descriptors and memory.
  std::size_t clientConnections = 0, serverConnections = 0;
  std::size_t askingClients = 0;    // of the clients, those that have asked something, idle ones included
  std::size_t largeStatements = 0;  // bytes that statements too long to be read ahead may take, all together
  EndpointList known;
  balancer::Settings settings;
  std::vector<std::string> classes;  // names, in the order of settings.classes
  std::vector<std::string> zones;
  std::vector<std::string> reportNames;  // in the order of settings.figures
  Time dialTimeout{};                    // a connection that is not up by then has failed
  Time idleClose{};                      // data servers close what stands idle for so long
  bool sessions = false;                 // some class needs to know a request's session
  Source source = Source::Registry;
  DnsSdSettings dnssd;               // of Source::DnsSd
  std::vector<GroupName> groups;     // those that have a name
  bool extended = false;             // the extended query sub-protocol is spoken with clients
  bool version2 = false;             // protocol 2.0 is spoken with clients
  bool anyRows = false;              // answers may have any number of columns and rows; else one of each
  bool tellStatementErrors = false;  // a data server's word on a bad statement is passed on
  int serverMinor = 0;               // of version 3, asked of data servers
  std::string serverUser = "api", serverDatabase = "ledger", serverPassword;  // no password: by trust alone
  std::vector<auth::Method> serverLogins;    // that a data server may ask for
  std::vector<auth::Method> logins;          // of clients, the best first; Trust or none: without a password
  std::shared_ptr<const auth::Users> users;  // where logins want a password
  bool cancelServers = false;                // give_up = cancel
  Time giveUpWait{};                         // for a data server's answer to that
  // Slow clients: so long until a first query, until the rest of what was begun, until some of an answer is
  // read.
  Time firstQuery = std::chrono::milliseconds(2000), halfMessage = std::chrono::milliseconds(1500),
       unreadAnswer = std::chrono::seconds(10);
  std::shared_ptr<const admission::Settings> admission;  // null: no door
  std::shared_ptr<const StoreConfig> store;              // null: nothing is kept
  RecoveryConfig recovery;                               // where there is a store
  std::string statusSocket;                              // empty: none
  Address control;                                       // where staff call; none: nowhere
  std::string bans;             // the file that keeps which data servers are suspended; empty: none
  std::size_t descriptors = 0;  // limits as they were given
  std::uint64_t memory = 0;
  LogForm logForm = LogForm::Logfmt;
  LogLevel logLevel = LogLevel::Info;
};

// Limits that a proxy can do with; both forms keep to them.
constexpr std::uint64_t kLeastMemory = 24u << 20, kMostMemory = std::uint64_t{1} << 40;
constexpr std::size_t kLeastDescriptors = 128, kMostDescriptors = 1 << 20;

// What a store may have open: LevelDB's own least. Comes on top of the above.
constexpr std::size_t kStoreDescriptors = 74;
// The descriptors that these settings can do with.
inline std::size_t leastDescriptors(bool store) {
  return kLeastDescriptors + (store ? kStoreDescriptors : 0);
}

// Fills the bounds from limits within the above. What is kept for a store counts, so that is settled before.
void deriveBounds(Config&, std::size_t descriptors, std::uint64_t memory);

// All that is wrong, in the order of the lines; what() is the first and how many more there are, in one line.
struct BadSettings : BadInput {
  explicit BadSettings(std::vector<Fault>);
  std::vector<Fault> faults;
};

// The platform's form. Throws BadInput naming the key.
Config parseConfig(const std::string& json);
Config readConfig(const char* path);  // the same for a file

// Takes over what may change while the program serves: classes, attempts and what else the settings say of
// the decisions. Classes keep their places, since requests under way have them: one that is gone or is
// another now leaves its place without a name, and what is new comes behind. Throws BadInput where too many
// have come and gone; then nothing is changed.
void adopt(Config& running, const Config& read);

// Whether clients need a password.
inline bool wantsPassword(const Config& c) {
  return !c.logins.empty() && c.logins.front() != auth::Method::Trust;
}

// Our form. Throws BadSettings.
Config parseSettings(const std::string& ini, const std::string& file);
Config readSettings(const std::string& path);

std::string settingsPage();  // every key with its unit, default and meaning, in Markdown

}  // namespace sablespur
