// Intermediate settings that the setters of the key tables fill while an INI file is read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace sablespur {

// The clients of an [admission_group NAME].
struct AdmissionGroupClients {
  std::vector<std::string> networks;
  std::string networksFile;  // more networks, one per line; empty: none
  std::vector<std::string> users;
  bool none() const { return networks.empty() && networksFile.empty() && users.empty(); }
};

// [admission_group NAME] as configured. A limit of 0 means unlimited.
struct AdmissionGroupDraft {
  std::string name;
  int line = 0;
  AdmissionGroupClients clients;
  std::size_t maxConnections = 0;
  std::size_t maxConnectionsPerAddress = 0;
  std::size_t maxConnectionsPerNetwork = 0;
  std::size_t reservedConnections = 0;
  std::size_t maxRequests = 0;
  double connectionsPerSecond = 0;
  double connectionBurst = 1;
  double weight = 1;
};

// Keys of [admission] about connections. A count of 0 is derived from the limits of the process.
struct ConnectionAdmissionDraft {
  std::size_t maxConnections = 0;
  std::size_t maxUnadmitted = 0;
  int networkBitsV4 = 24;
  int networkBitsV6 = 64;
  Time minRetryAfter{};
  Time maxRetryAfter{};
  Time minIdle{};
};

// Keys of [admission] about clients that are identified by their address.
struct ClientIdentityDraft {
  std::vector<std::string> proxyProtocolNetworks;
  std::string recentClientsGroup;
  std::size_t maxRecentClients = 0;
};

// Keys of [admission] about the limit on concurrent requests.
struct RequestLimitDraft {
  std::string algorithm;  // off, fixed, aimd, gradient
  std::size_t initial = 0;
  std::size_t min = 0;
  std::size_t max = 0;
  std::size_t maxWaiting = 0;
  double tolerance = 2;
  Time latencyBound{};
  Time minRetryAfter{};
  Time maxRetryAfter{};
};

// [admission] and its groups; makeAdmission() checks them and converts them to admission::Settings.
struct AdmissionDraft {
  bool enabled = false;
  ConnectionAdmissionDraft connections;
  ClientIdentityDraft clients;
  RequestLimitDraft requests;
  std::vector<AdmissionGroupDraft> groups;
};

// [limits] as configured; deriveBounds() derives the bounds of Config from them.
struct LimitsDraft {
  std::uint64_t memory = 0;  // bytes
  std::size_t descriptors = 0;
};

// Files named in the settings, which are read after all sections.
struct CredentialFiles {
  std::string users;
  std::string serverPassword;
};

// The named section that is being read; only the member for its type is in use.
struct NamedSectionDraft {
  balancer::ClassSettings requestClass;
  DiscoveredEndpoint endpoint;
  std::string endpointGroup;  // a name or a number
  GroupName group;
  AdmissionGroupDraft admissionGroup;
};

// The target of the setters of the key tables.
struct SettingsDraft {
  Config& config;
  LimitsDraft limits;
  CredentialFiles files;
  AdmissionDraft admission;
  StoreConfig store;
  std::string dnssdGroup;  // [dnssd] group: a name or a number; empty: none
  NamedSectionDraft section;
};

}  // namespace sablespur
