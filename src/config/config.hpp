// The validated settings of a proxy, with defaults applied. Two file formats produce the same
// Config: the platform's JSON (json_config.cpp) and INI (ini_config.cpp, driven by the key table in
// keys.hpp).
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
enum class DiscoveryKind { Registry, DnsSd, Fixed };

struct GroupName {
  std::string name;
  balancer::GroupId id = 0;
};

// Flap damping: how long an instance that is repeatedly withdrawn and listed again is left out; see
// EndpointTablePolicy.
struct FlapDampingConfig {
  Time halfLife{};
  Time maxSuppression{};
  double suppressThreshold = 0;
  double reuseThreshold = 0;
};

// DNS-SD: which records are queried, from which name servers, and how often. See
// docs/design/dnssd.md.
struct DnsSdSettings {
  std::string domain;            // "ruwi.example.org"
  std::string service;           // "_postgresql._tcp"
  std::vector<Address> servers;  // name servers, by preference
  // Records are queried again after their TTL, clamped to these bounds and shortened by a random
  // fraction of up to `jitter`.
  Time minRefresh{};
  Time maxRefresh{};
  double jitter = 0;
  Time attemptTimeout{};         // for one query to one name server
  double queriesPerSecond = 50;  // for single records, when a PTR answer cannot hold all of them
  int udpPayload = 0;            // EDNS0 payload size, in bytes
  std::optional<balancer::GroupId> defaultGroup;  // for instances whose TXT record names none
  Time maxListAge{};  // how long the last list is used while no name server answers; 0: unlimited
  FlapDampingConfig flapDamping;
  friend bool operator==(const DnsSdSettings&, const DnsSdSettings&);
};

// The store of idempotency keys and session positions; see src/durability.
struct StoreConfig {
  std::string directory;
  Time keyRetention{};      // after the last use of a key
  Time sessionRetention{};  // after the last use of a session's position
  std::size_t maxKeys = 0;
  std::size_t maxSessions = 0;
  std::size_t maxResponseBytes = 0;  // longer answers are not stored with their key
  Time commitTimeout{};              // after it the disk counts as hanging
  // Retry delay of requests that are rejected while the store is unavailable: random between these
  // two.
  Time minRetryAfter{};
  Time maxRetryAfter{};
  // Whether a damaged store is renamed and a new one created; otherwise the proxy does not start.
  bool renameDamaged = false;
};

// Which parts of a recovery snapshot are used.
enum class Trust { ByKind, Nothing, All };

// Use of the state of the previous run, and the order in which service is restored; see
// src/recovery. Requires a store.
struct RecoveryConfig {
  bool enabled = true;
  // Whether requests are admitted as data servers prove ready; otherwise all at once.
  bool gradualAdmission = true;
  Trust trust = Trust::ByKind;
  Time snapshotInterval = std::chrono::seconds(1);
  double dialsPerSecond = 50;  // to a new data server, by all proxies together
  // Maximum duration of recovery, after which no request is held back.
  Time maxDuration = std::chrono::seconds(20);
};

// Identity, log and administration of the process.
struct ProcessConfig {
  std::string name;
  std::uint64_t seed = 0;       // of the random number generators
  std::string statusSocket;     // path of the local socket; empty: none
  Address control;              // where admin commands are accepted; unspecified: they are not
  std::string suspensionsFile;  // file of suspended endpoints; empty: none
  // Files that a second process of this proxy shares during an upgrade; empty: none.
  std::string presenceFile;      // see ProcessPresence
  std::string handoverListFile;  // see ProcessHandover
  std::string requestIdsFile;    // see SharedRequestIds
  LogForm logForm = LogForm::Logfmt;
  LogLevel logLevel = LogLevel::Info;
};

// The configured limits, and the bounds that deriveBounds() derives from them.
struct LimitsConfig {
  std::size_t descriptors = 0;
  std::uint64_t memory = 0;           // bytes
  std::size_t clientConnections = 0;  // at most
  std::size_t maxActiveClients = 0;   // of these, clients that have sent a query, also idle ones
  std::size_t serverConnections = 0;  // at most
  std::size_t largeStatements = 0;    // bytes of all statements too long for read-ahead buffers
};

// Client connections.
struct FrontendConfig {
  Address listen;
  bool extended = false;                     // the extended query protocol is supported
  bool version2 = false;                     // protocol 2.0 is supported
  bool forwardStatementErrors = false;       // errors about an invalid statement are forwarded
  std::vector<auth::Method> logins;          // in order of preference; Trust or empty: no password
  std::shared_ptr<const auth::Users> users;  // null unless logins require a password
  // A client is disconnected if it exceeds one of these limits: for its first query, for the rest
  // of a message that has begun to arrive, for reading any part of an answer.
  Time firstQueryTimeout = std::chrono::milliseconds(2000);
  Time partialMessageTimeout = std::chrono::milliseconds(1500);
  Time unreadAnswerTimeout = std::chrono::seconds(10);
};

// Connections to data servers.
struct BackendConfig {
  Time dialTimeout{};    // for establishing a connection
  Time idleClose{};      // data servers close connections that have been idle for this long
  bool anyRows = false;  // answers may have any number of columns and rows; otherwise one of each
  int serverMinor = 0;   // minor version of protocol 3 that is requested in the startup message
  std::string serverUser = "api";
  std::string serverDatabase = "ledger";
  std::string serverPassword;              // empty: trust authentication only
  std::vector<auth::Method> serverLogins;  // methods that a data server may request
  // Whether a cancelled attempt sends a CancelRequest; otherwise its connection is closed.
  bool cancelServers = false;
  Time cancelResponseTimeout{};          // for the data server's answer to a CancelRequest
  std::vector<std::string> reportNames;  // load report fields, in the order of settings.reportFields
};

// Gossip between proxies.
struct GossipConfig {
  Address ownPeerAddress;      // this proxy's entry in `peers`, if it differs from peerListen
  Address peerListen;          // unspecified: this proxy does not gossip
  std::vector<Address> peers;  // every proxy of the tier, this one included
  // One address that reaches all peers; unspecified: each peer is sent its own datagram.
  Address peersAll;
  bool hints = true;  // observations from answers are gossiped
};

// The list of data servers.
struct DiscoveryConfig {
  DiscoveryKind source = DiscoveryKind::Registry;
  Address discovery;              // address of the registry
  DnsSdSettings dnssd;            // used with DiscoveryKind::DnsSd
  bool listsArePushed = false;    // an agent on this machine has the registry's lists pushed to it
  EndpointList known;             // at the start; with DiscoveryKind::Fixed the whole list
  std::vector<GroupName> groups;  // named groups only
};

// How requests are balanced.
struct TrafficConfig {
  balancer::Settings settings;
  std::vector<std::string> classes;  // names, in the order of settings.classes
  std::vector<std::string> zones;
  bool sessions = false;  // whether a class requires the session of a request
};

// All validated settings of a proxy, grouped by the code that uses them. The groups are base
// classes so that their members can be accessed directly.
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

// The range of limits that a proxy can run with, in both file formats.
constexpr std::uint64_t kMinMemory = 24u << 20;
constexpr std::uint64_t kMaxMemory = std::uint64_t{1} << 40;
constexpr std::size_t kMinDescriptors = 128;
constexpr std::size_t kMaxDescriptors = 1 << 20;

// Additional descriptors that a store may use: LevelDB's own minimum.
constexpr std::size_t kStoreDescriptors = 74;
// Returns the minimum number of descriptors for a proxy with or without a store.
inline std::size_t minDescriptors(bool store) { return kMinDescriptors + (store ? kStoreDescriptors : 0); }

// Fills LimitsConfig from limits within the range above. Config::store must already be set, since a
// store uses part of both limits.
void deriveBounds(Config&, std::size_t descriptors, std::uint64_t memory);

// All faults of a settings file, ordered by line. what() is one line: the first fault and the
// number of others.
struct BadSettings : BadInput {
  explicit BadSettings(std::vector<Fault>);
  std::vector<Fault> faults;
};

// Read the platform's JSON format, as text or from a file. Throw BadInput that names the key.
Config parseConfig(const std::string& json);
Config readConfig(const char* path);

// Applies those settings of a reloaded configuration that may change while the program runs:
// classes, attempts and the other settings of the balancer. Classes keep their indices, since
// requests in flight refer to them: the index of a removed or changed class loses its name, and new
// classes are appended. Throws BadInput if too many classes were removed since the start; the
// running configuration is then unchanged.
void applyReload(Config& running, const Config& read);

// Returns whether clients need a password to log in.
inline bool wantsPassword(const Config& c) {
  return !c.logins.empty() && c.logins.front() != auth::Method::Trust;
}

// Read the INI format, as text or from a file; `file` is the path that faults name. Throw
// BadSettings.
Config parseSettings(const std::string& ini, const std::string& file);
Config readSettings(const std::string& path);

// Returns every key with its kind, default, bounds and description, in Markdown: the body of
// docs/operators/settings.md.
std::string settingsPage();

}  // namespace sablespur
