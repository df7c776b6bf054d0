#include "app/process_handover.hpp"

#include <cerrno>
#include <chrono>
#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>

#include "logging/log.hpp"

namespace sablespur {
namespace {

using Json = nlohmann::ordered_json;

// A change that one process is told of has to be known to the other well within the drain grace.
constexpr auto kPollInterval = std::chrono::milliseconds(200);
constexpr std::size_t kMaxListBytes = std::size_t{4} << 20;  // as EndpointListStream accepts

Json instanceJson(const DiscoveredEndpoint& endpoint) {
  Json instance{{"instanceId", endpoint.name},
                {"hostPort", endpoint.address.text()},
                {"zone", endpoint.zone},
                {"cell", endpoint.group},
                {"lifecycle", lifecycleName(endpoint.state)},
                {"weight", endpoint.weight},
                {"startedAtMs", endpoint.startedMs}};
  if (!endpoint.kind.empty()) instance["machineType"] = endpoint.kind;
  return instance;
}

}  // namespace

std::string formatEndpointList(const EndpointList& list) {
  Json instances = Json::array();
  for (const DiscoveredEndpoint& endpoint : list.instances) instances.push_back(instanceJson(endpoint));
  const Json document{{"generation", list.generation},
                      {"reset", list.reset},
                      {"confirmed", list.isConfirmed},
                      {"instances", std::move(instances)}};
  return document.dump();
}

ProcessHandover::ProcessHandover(event_base* base, const Config& config, EndpointUpdater& updater,
                                 ConfiguredDiscovery& discovery)
    : listFile_(config.handoverListFile),
      updater_(updater),
      discovery_(discovery),
      listSeen_(versionOfFile(listFile_)),  // of an earlier upgrade: whoever wrote it may have ended long ago
      presence_(config.presenceFile),
      isSuccessor_(presence_.othersRun()),
      pollTimer_(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<ProcessHandover*>(self)->poll(); }, this)) {
  if (!listFile_.empty()) startTimer(pollTimer_.get(), kPollInterval);
}

void ProcessHandover::poll() {
  if (listFile_.empty()) return;
  const bool othersRun = presence_.othersRun();
  if (isSuccessor_) {
    inheritList();  // once more after the other process has ended
    isSuccessor_ = othersRun;
  } else if (othersRun && updater_.listCount() != listsWritten_) {
    writeList();
  }
}

void ProcessHandover::inheritList() {
  const auto version = versionOfFile(listFile_);
  if (!version || version == listSeen_) return;
  listSeen_ = version;
  try {
    EndpointList list = parseEndpointList(readSharedFile(listFile_, kMaxListBytes).value_or(""));
    if (list.isConfirmed) discovery_.listConfirmedByOtherProcess();
    const bool isNews = updater_.listCount() == 0 || list.generation > updater_.lastGeneration();
    if (!isNews) return;
    logEvent(LogLevel::Info, "endpoint_list_inherited",
             {{"generation", list.generation}, {"entries", list.instances.size()}});
    updater_.endpointsListed(std::move(list));
  } catch (const BadInput& error) {
    logEvent(LogLevel::Error, "endpoint_list_not_inherited", {{"file", listFile_}, {"why", error.what()}});
  }
}

void ProcessHandover::writeList() {
  std::optional<EndpointList> list = updater_.registryList();
  if (!list) return;
  list->isConfirmed = discovery_.isListCurrent();
  if (replaceSharedFile(listFile_, formatEndpointList(*list), Durability::ProcessCrash)) {
    listsWritten_ = updater_.listCount();
    writeFailing_ = false;
  } else if (!std::exchange(writeFailing_, true)) {
    logEvent(LogLevel::Error, "endpoint_list_not_handed_over",
             {{"file", listFile_}, {"why", std::strerror(errno)}});
  }
}

}  // namespace sablespur
