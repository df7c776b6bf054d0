// The settings of an INI file while its sections are read: what the setters of the key tables fill.
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
  std::string networksFile;  // more networks, a line each; empty: none
  std::vector<std::string> users;
  bool none() const { return networks.empty() && networksFile.empty() && users.empty(); }
};

// [admission_group NAME] as it stands in the file. Limits of 0 mean no limit.
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

// The keys of [admission] on connections. A count of 0 is derived from the limits of the process.
struct ConnectionAdmissionDraft {
  std::size_t maxConnections = 0;
  std::size_t maxUnadmitted = 0;
  int networkBitsV4 = 24;
  int networkBitsV6 = 64;
  Time minRetryAfter{};
  Time maxRetryAfter{};
  Time minIdle{};
};

// The keys of [admission] on clients that are known by their address.
struct ClientIdentityDraft {
  std::vector<std::string> proxyProtocolNetworks;
  std::string recentClientsGroup;
  std::size_t maxRecentClients = 0;
};

// The keys of [admission] on the limit on concurrent requests.
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

// [admission] and its groups; makeAdmission checks them and makes admission::Settings of them.
struct AdmissionDraft {
  bool enabled = false;
  ConnectionAdmissionDraft connections;
  ClientIdentityDraft clients;
  RequestLimitDraft requests;
  std::vector<AdmissionGroupDraft> groups;
};

// [limits] as given; deriveBounds makes the bounds of Config of them.
struct LimitsDraft {
  std::uint64_t memory = 0;  // bytes
  std::size_t descriptors = 0;
};

// Files that settings name; they are read once all sections are known.
struct CredentialFiles {
  std::string users;
  std::string serverPassword;
};

// The named section that is being read; only the member of its type is in use.
struct NamedSectionDraft {
  balancer::ClassSettings requestClass;
  DiscoveredEndpoint endpoint;
  std::string endpointGroup;  // a name or a number
  GroupName group;
  AdmissionGroupDraft admissionGroup;
};

// What the keys of an INI file are set on.
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
