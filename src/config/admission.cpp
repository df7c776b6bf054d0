#include "config/admission.hpp"

#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

namespace sablespur {
namespace {

constexpr const char* kOthers = "others";
constexpr const char* kSection = "[admission]";
// By default, an eighth of the client connections is set aside for connections that are not
// admitted, but at least kMinUnadmitted.
constexpr std::size_t kUnadmittedDivisor = 8;
constexpr std::size_t kMinUnadmitted = 8;

admission::LimitKind limitKind(const std::string& algorithm) {
  if (algorithm == "fixed") return admission::LimitKind::Fixed;
  if (algorithm == "aimd") return admission::LimitKind::Aimd;
  return admission::LimitKind::Gradient;
}

// Returns the configured groups with `others` last, since it holds the clients that match no other
// group. Adds `others` if it is not configured.
std::vector<AdmissionGroupDraft> groupsInOrder(const AdmissionDraft& draft) {
  std::vector<AdmissionGroupDraft> groups = draft.groups;
  const auto others =
      std::find_if(groups.begin(), groups.end(), [](const auto& group) { return group.name == kOthers; });
  if (others == groups.end()) {
    groups.emplace_back();
    groups.back().name = kOthers;
  } else {
    std::rotate(others, others + 1, groups.end());
  }
  return groups;
}

// Returns a line of a networks file without its comment and surrounding whitespace.
std::string strippedLine(std::string line) {
  line.erase(std::min(line.find('#'), line.size()));
  line.erase(0, line.find_first_not_of(" \t\r"));
  line.erase(line.find_last_not_of(" \t\r") + 1);
  return line;
}

class AdmissionBuilder {
 public:
  AdmissionBuilder(const AdmissionDraft& draft, const Config& config, SettingsDocument& document)
      : draft_(draft), config_(config), document_(document), groups_(groupsInOrder(draft)) {}

  std::shared_ptr<const admission::Settings> build() {
    addGroups();
    addClientIdentity();
    if (!setConnectionLimits()) return settings_;
    setConnectionTerms();
    if (draft_.requests.algorithm != "off") setRequestLimit();
    return settings_;
  }

 private:
  void report(const std::string& title, const char* key, ValueError wrong) {
    document_.report(document_.titleKeyLine(title, key), title + " " + key, std::move(wrong));
  }

  void addGroups() {
    auto networks = std::make_shared<admission::Networks>();
    for (std::size_t index = 0; index < groups_.size(); ++index) {
      const AdmissionGroupDraft& group = groups_[index];
      const std::string title = "[admission_group " + group.name + "]";
      if (group.name == kOthers && !group.clients.none())
        document_.report(
            document_.titleLine(title), title,
            {"it holds the clients that are in no other group", "remove its networks and users"});
      addNetworks(group, index, title, *networks);
      addUsers(group, index, title);
      if (group.maxConnections > 0 && group.reservedConnections > group.maxConnections)
        report(title, "reserve",
               {"it is more than the connections of the group", "make it at most connections"});
      addGroupLimits(group);
    }
    settings_->networks = networks;
  }

  void addNetworks(const AdmissionGroupDraft& group, std::size_t index, const std::string& title,
                   admission::Networks& networks) {
    std::string problem;
    for (const std::string& network : group.clients.networks)
      if (!networks.add(network, index, problem))
        report(title, "networks", {problem, "write networks such as 10.1.0.0/16 or fd00:1::/32"});
    if (!group.clients.networksFile.empty()) addNetworksFile(group, index, title, networks);
  }

  void addNetworksFile(const AdmissionGroupDraft& group, std::size_t index, const std::string& title,
                       admission::Networks& networks) {
    const auto text = readTextFile(document_.resolvePath(group.clients.networksFile));
    if (!text)
      report(title, "networks_file",
             {"'" + group.clients.networksFile + "' cannot be read", "check that it exists"});
    std::istringstream lines(text.value_or(""));
    std::string problem;
    int number = 0;
    for (std::string line; std::getline(lines, line);) {
      ++number;
      const std::string network = strippedLine(line);
      if (network.empty() || networks.add(network, index, problem)) continue;
      report(title, "networks_file",
             {group.clients.networksFile + ":" + std::to_string(number) + ": " + problem,
              "write one network per line, such as 10.1.0.0/16"});
      return;  // one fault per file: a file in another format would report every line
    }
  }

  void addUsers(const AdmissionGroupDraft& group, std::size_t index, const std::string& title) {
    if (!group.clients.users.empty() && !wantsPassword(config_))
      report(title, "users",
             {"a user name is not verified without a password",
              "write [clients] login = scram, or remove users"});
    for (const std::string& user : group.clients.users) {
      const auto [entry, isNew] = settings_->users.emplace(user, index);
      if (!isNew && entry->second != index)
        report(title, "users",
               {"'" + user + "' belongs to [admission_group " + groups_[entry->second].name + "] already",
                "list it in one group only"});
    }
  }

  void addGroupLimits(const AdmissionGroupDraft& group) {
    admission::GroupLimits limits;
    limits.name = group.name;
    limits.maxConnections = group.maxConnections;
    limits.maxPerAddress = group.maxConnectionsPerAddress;
    limits.maxPerPrefix = group.maxConnectionsPerNetwork;
    limits.connectionsPerSecond = group.connectionsPerSecond;
    limits.burst = group.connectionBurst;
    limits.reserve = group.reservedConnections;
    limits.weight = group.weight;
    settings_->connections.groups.push_back(std::move(limits));
  }

  void addClientIdentity() {
    std::string problem;
    for (const std::string& network : draft_.clients.proxyProtocolNetworks)
      if (!settings_->trustedProxies.add(network, 0, problem))
        report(kSection, "fronts", {problem, "write networks such as 10.0.0.7 or fd00:1::/64"});
    const std::string& name = draft_.clients.recentClientsGroup;
    if (name.empty()) return;
    const auto group = std::find_if(groups_.begin(), groups_.end(),
                                    [&](const auto& candidate) { return candidate.name == name; });
    if (group == groups_.end())
      report(kSection, "served_before",
             {"there is no [admission_group " + name + "]", "name a group that has a section"});
    else
      settings_->recentClientsGroup = static_cast<std::size_t>(group - groups_.begin());
  }

  // Returns false if no connections remain for admitted clients.
  bool setConnectionLimits() {
    const std::size_t clients = config_.clientConnections;
    const std::size_t unadmitted = draft_.connections.maxUnadmitted;
    settings_->maxUnadmittedConnections =
        unadmitted > 0 ? unadmitted : std::max(clients / kUnadmittedDivisor, kMinUnadmitted);
    if (settings_->maxUnadmittedConnections >= clients) {
      report(kSection, "antechamber",
             {"it leaves no room: the limits have " + std::to_string(clients) + " places for clients",
              "make it smaller, or raise [limits] descriptors and memory"});
      return false;
    }
    const std::size_t available = clients - settings_->maxUnadmittedConnections;
    const std::size_t wanted = draft_.connections.maxConnections;
    settings_->connections.maxConnections = wanted > 0 ? std::min(wanted, available) : available;
    std::size_t reserved = 0;
    for (const AdmissionGroupDraft& group : groups_) reserved += group.reservedConnections;
    if (reserved > settings_->connections.maxConnections)
      report(kSection, "connections",
             {"the groups reserve " + std::to_string(reserved) + " connections, and only " +
                  std::to_string(settings_->connections.maxConnections) + " are available",
              "lower the reserves, or raise connections and [limits] descriptors"});
    return true;
  }

  void setConnectionTerms() {
    const ConnectionAdmissionDraft& connections = draft_.connections;
    settings_->connections.prefix4 = connections.networkBitsV4;
    settings_->connections.prefix6 = connections.networkBitsV6;
    settings_->recentClients.prefix4 = connections.networkBitsV4;
    settings_->recentClients.prefix6 = connections.networkBitsV6;
    settings_->connections.minRetryAfter = connections.minRetryAfter;
    settings_->connections.maxRetryAfter = connections.maxRetryAfter;
    settings_->connections.minIdleTime = connections.minIdle;
    settings_->recentClients.maxClients = draft_.clients.maxRecentClients;
    if (connections.maxRetryAfter < connections.minRetryAfter)
      report(kSection, "come_back_most", {"it is shorter than come_back_least", "make it at least that"});
    if (draft_.requests.maxRetryAfter < draft_.requests.minRetryAfter)
      report(kSection, "request_back_most",
             {"it is shorter than request_back_least", "make it at least that"});
  }

  void setRequestLimit() {
    const RequestLimitDraft& draft = draft_.requests;
    admission::RequestLimiterSettings requests;
    requests.limit.kind = limitKind(draft.algorithm);
    const bool fixed = requests.limit.kind == admission::LimitKind::Fixed;
    if (!fixed && draft.max < draft.min)
      report(kSection, "limit_most", {"it is less than limit_least", "make it at least that"});
    requests.limit.initial = static_cast<double>(draft.initial);
    requests.limit.min = static_cast<double>(fixed ? draft.initial : draft.min);
    requests.limit.max = static_cast<double>(fixed ? draft.initial : std::max(draft.max, draft.min));
    requests.limit.latencyBound = draft.latencyBound;
    requests.limit.tolerance = draft.tolerance;
    requests.maxQueued = draft.maxWaiting;
    requests.minRetryAfter = draft.minRetryAfter;
    requests.maxRetryAfter = draft.maxRetryAfter;
    for (const AdmissionGroupDraft& group : groups_)
      requests.groups.push_back({group.weight, group.maxRequests});
    settings_->requests = std::move(requests);
  }

  const AdmissionDraft& draft_;
  const Config& config_;
  SettingsDocument& document_;
  const std::vector<AdmissionGroupDraft> groups_;
  const std::shared_ptr<admission::Settings> settings_ = std::make_shared<admission::Settings>();
};

}  // namespace

std::shared_ptr<const admission::Settings> makeAdmission(const AdmissionDraft& draft, const Config& config,
                                                         SettingsDocument& document) {
  return AdmissionBuilder(draft, config, document).build();
}

}  // namespace sablespur
