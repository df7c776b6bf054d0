// The settings of a proxy, read, checked and with their defaults. Two forms fill the same Config: the
// platform's JSON (json_config.cpp) and our INI (ini_config.cpp, by the table of keys in keys.hpp).
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

// Where the list of data servers comes from.
enum class Source { Registry, DnsSd, Fixed };

struct GroupName {
  std::string name;
  balancer::GroupId id = 0;
};

// How long an instance that comes and goes is left out; see EndpointTablePolicy.
struct FlapDampingConfig {
  Time halfLife{};
  Time maxSuppression{};
  double suppressThreshold = 0;
  double reuseThreshold = 0;
};

// DNS-SD: what is queried, of which name servers, how often. See docs/design/dnssd.md.
struct DnsSdSettings {
  std::string domain;            // "ruwi.example.org"
  std::string service;           // "_postgresql._tcp"
  std::vector<Address> servers;  // name servers, by preference
  // Records are queried again after their TTL, bounded by these, and sooner by a random part of up to
  // `jitter`.
  Time minRefresh{};
  Time maxRefresh{};
  double jitter = 0;
  Time attemptTimeout{};         // of one query to one name server
  double queriesPerSecond = 50;  // for single records, where a PTR answer has no room for all
  int udpPayload = 0;            // EDNS0 payload size, in bytes
  std::optional<balancer::GroupId> defaultGroup;  // of instances whose TXT record names none
  Time maxListAge{};  // the last list is used for so long when no name server answers; 0: for ever
  FlapDampingConfig flapDamping;
  friend bool operator==(const DnsSdSettings&, const DnsSdSettings&);
};

// The store of idempotency keys and session positions; see src/durability.
struct StoreConfig {
  std::string directory;
  Time keep{};          // a key, after its last use
  Time keepSessions{};  // a session's position, after its last use
  std::size_t mostKeys = 0;
  std::size_t mostSessions = 0;
  std::size_t longestAnswer = 0;  // bytes of an answer that is stored with its key
  Time patience{};                // for a commit; beyond it the disk counts as hanging
  // Retry-After of requests that are rejected while the store is unavailable: at random between these.
  Time comeBackLeast{};
  Time comeBackMost{};
  bool setAside = false;  // a damaged store is renamed and a new one begun; else the proxy does not start
};

// Which part of a recovery snapshot is used.
enum class Trust { ByKind, Nothing, All };

// What a proxy uses of its last run, and the order in which service returns; see src/recovery. Needs a store.
struct RecoveryConfig {
  bool on = true;
  bool order = true;  // requests are admitted as data servers prove ready; else all at once
  Trust trust = Trust::ByKind;
  Time every = std::chrono::seconds(1);  // interval of snapshots
  double dials = 50;                     // connections a second to a new data server, by all proxies together
  Time longest = std::chrono::seconds(20);  // after this nothing is held back any more
};

// The process: its identity, log and administration.
struct ProcessConfig {
  std::string name;
  std::uint64_t seed = 0;       // of random numbers
  std::string statusSocket;     // path of the local socket; empty: none
  Address control;              // where admin commands are accepted; none: nowhere
  std::string suspensionsFile;  // the file of suspended endpoints; empty: none
  LogForm logForm = LogForm::Logfmt;
  LogLevel logLevel = LogLevel::Info;
};

// Limits as they were given, and the bounds that deriveBounds makes of them.
struct LimitsConfig {
  std::size_t descriptors = 0;
  std::uint64_t memory = 0;           // bytes
  std::size_t clientConnections = 0;  // at most
  std::size_t askingClients = 0;      // of these, clients that have sent a query, idle ones included
  std::size_t serverConnections = 0;  // at most
  std::size_t largeStatements = 0;    // bytes of all statements too long to be read ahead together
};

// Connections of clients.
struct FrontendConfig {
  Address listen;
  bool extended = false;                     // the extended query sub-protocol is spoken
  bool version2 = false;                     // protocol 2.0 is spoken
  bool tellStatementErrors = false;          // a data server's error on a malformed statement is forwarded
  std::vector<auth::Method> logins;          // by preference; Trust or none: without a password
  std::shared_ptr<const auth::Users> users;  // null unless logins want a password
  // A client is closed that takes longer for its first query, for the rest of a message, to read some of an
  // answer.
  Time firstQuery = std::chrono::milliseconds(2000);
  Time halfMessage = std::chrono::milliseconds(1500);
  Time unreadAnswer = std::chrono::seconds(10);
};

// Connections to data servers.
struct BackendConfig {
  Time dialTimeout{};    // a connection that is not up by then has failed
  Time idleClose{};      // data servers close connections that are idle for so long
  bool anyRows = false;  // answers may have any number of columns and rows; else one of each
  int serverMinor = 0;   // of protocol version 3, requested at the startup
  std::string serverUser = "api";
  std::string serverDatabase = "ledger";
  std::string serverPassword;              // empty: by trust alone
  std::vector<auth::Method> serverLogins;  // that a data server may ask for
  bool cancelServers = false;              // a cancelled attempt sends CancelRequest; else it closes
  Time giveUpWait{};                       // for the data server's answer to that
  std::vector<std::string> reportNames;    // fields of a load report, in the order of settings.reportFields
};

// Gossip between proxies.
struct GossipConfig {
  Address peerOwn;             // this proxy among `peers`, if it is not peerListen
  Address peerListen;          // none: this proxy takes no part
  std::vector<Address> peers;  // every proxy of the tier, this one included
  Address peersAll;            // one address that reaches all of them; none: each is sent its own datagram
  bool hints = true;           // what answers show is gossiped
};

// The list of data servers.
struct DiscoveryConfig {
  Source source = Source::Registry;
  Address discovery;              // of the registry
  DnsSdSettings dnssd;            // of Source::DnsSd
  EndpointList known;             // at the start; with Source::Fixed these are all
  std::vector<GroupName> groups;  // those that have a name
};

// How requests are balanced.
struct TrafficConfig {
  balancer::Settings settings;
  std::vector<std::string> classes;  // names, in the order of settings.classes
  std::vector<std::string> zones;
  bool sessions = false;  // some class needs to know a request's session
};

// All settings of a proxy, checked. Parts that are read together stand together; they are bases so that a key
// has one short path.
struct Config : ProcessConfig,
                LimitsConfig,
                FrontendConfig,
                BackendConfig,
                GossipConfig,
                DiscoveryConfig,
                TrafficConfig {
  std::shared_ptr<const admission::Settings> admission;  // null: disabled
  std::shared_ptr<const StoreConfig> store;              // null: nothing is stored
  RecoveryConfig recovery;
};

// Limits that a proxy can run with; both forms keep to them.
constexpr std::uint64_t kLeastMemory = 24u << 20;
constexpr std::uint64_t kMostMemory = std::uint64_t{1} << 40;
constexpr std::size_t kLeastDescriptors = 128;
constexpr std::size_t kMostDescriptors = 1 << 20;

// What a store may have open, on top of the above: LevelDB's own minimum.
constexpr std::size_t kStoreDescriptors = 74;
// The descriptors that a proxy with or without a store needs at least.
inline std::size_t leastDescriptors(bool store) {
  return kLeastDescriptors + (store ? kStoreDescriptors : 0);
}

// Fills LimitsConfig from limits within the above. A store takes its part, so Config::store is set before.
void deriveBounds(Config&, std::size_t descriptors, std::uint64_t memory);

// All faults of the settings, in the order of the lines. what() is one line: the first, and how many more.
struct BadSettings : BadInput {
  explicit BadSettings(std::vector<Fault>);
  std::vector<Fault> faults;
};

// The platform's form, as text or from a file. Throws BadInput naming the key.
Config parseConfig(const std::string& json);
Config readConfig(const char* path);

// Applies a reloaded configuration to the running one, as far as it may change while the program serves:
// classes, attempts and the other settings of the balancer. Classes keep their indices, since requests in
// flight refer to them: one that was removed or changed leaves its index without a name, and new ones are
// appended. Throws BadInput where too many were removed since the start; the running configuration is then
// unchanged.
void adopt(Config& running, const Config& read);

// Whether clients need a password.
inline bool wantsPassword(const Config& c) {
  return !c.logins.empty() && c.logins.front() != auth::Method::Trust;
}

// Our form, as text or from a file; `file` is its path in faults. Throws BadSettings.
Config parseSettings(const std::string& ini, const std::string& file);
Config readSettings(const std::string& path);

// Every key with its unit, default, bounds and description, in Markdown: the body of
// docs/operators/settings.md.
std::string settingsPage();

}  // namespace sablespur
