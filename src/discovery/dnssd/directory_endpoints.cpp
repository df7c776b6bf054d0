// Deriving endpoints from records in DnsSdDirectory.
#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "discovery/dnssd/directory.hpp"
#include "discovery/dnssd/records.hpp"

namespace sablespur {

using dns::Data;
using dns::Name;
using dns::Question;
using dns::Type;

namespace {

// Returns the record with the lowest priority, then the greatest weight (RFC 2782). The weighted
// random choice of the RFC is not used, so that every proxy selects the same target. Returns
// nullptr if there is no record or the service is not available (target "." or port 0).
const dns::Srv* preferredTarget(const std::vector<Data>& records) {
  const auto rank = [](const dns::Srv& srv) {
    return std::make_tuple(srv.priority, 65535 - srv.weight, srv.target, srv.port);
  };
  const dns::Srv* best = nullptr;
  for (const Data& data : records) {
    const auto& srv = std::get<dns::Srv>(data);
    if (!best || rank(srv) < rank(*best)) best = &srv;
  }
  return best && best->target != "." && best->port != 0 ? best : nullptr;
}

std::vector<std::string> stringsOf(const std::vector<Data>& txtRecords) {
  std::vector<std::string> strings;
  for (const Data& data : txtRecords)
    for (const std::string& text : std::get<dns::TxtStrings>(data)) strings.push_back(text);
  return strings;
}

}  // namespace

// Chooses one of the addresses of an instance and returns it until it is no longer listed. All
// addresses of an instance belong to the same server, so switching between them gains nothing.
Address DnsSdDirectory::chooseAddress(const Name& instance, const std::vector<Data>& records,
                                      std::uint16_t port) {
  std::vector<std::string> listed;
  listed.reserve(records.size());
  for (const Data& data : records) listed.push_back(std::get<dns::AddressBytes>(data).bytes);
  std::sort(listed.begin(), listed.end());
  Address& chosen = chosenAddresses_[instance];
  const bool stillListed = std::any_of(listed.begin(), listed.end(), [&](const std::string& bytes) {
    return Address::fromBytes(bytes, port) == chosen;
  });
  if (!stillListed) chosen = Address::fromBytes(listed.front(), port);
  return chosen;
}

// Returns the A record set of a target, or its AAAA record set if it has no IPv4 address. AAAA
// records are queried only in that case.
const DnsSdDirectory::RecordSet& DnsSdDirectory::addressesOf(const Name& target) {
  const RecordSet& ipv4 = sets_[{target, Type::A}];
  return ipv4.state == RecordSet::State::Absent ? sets_[{target, Type::Aaaa}] : ipv4;
}

DnsSdDirectory::Description DnsSdDirectory::describeInstance(const Name& instance) {
  using State = RecordSet::State;
  const RecordSet& srv = sets_[{instance, Type::Srv}];
  const RecordSet& txt = sets_[{instance, Type::Txt}];
  const dns::Srv* const target = preferredTarget(srv.data);
  targets_.set(instance, target ? target->target : Name());
  if (srv.state == State::Absent) return {std::nullopt, "no SRV record"};
  if (!target && srv.state == State::Known)
    return {std::nullopt, "the SRV record declares the service unavailable"};
  if (!target) return {};
  const RecordSet& addresses = addressesOf(target->target);
  if (addresses.state == State::Absent)
    return {std::nullopt, "the SRV target " + target->target + " has no address record"};
  if (addresses.state == State::Unknown) return {};
  const Address address = chooseAddress(instance, addresses.data, target->port);
  if (txt.state == State::Unknown) return {};
  auto attributes = readTxt(stringsOf(txt.data), groups_, settings_.defaultGroup);
  if (const auto* const fault = std::get_if<TxtFault>(&attributes))
    return {std::nullopt, "TXT: " + fault->reason};
  auto& endpoint = std::get<DiscoveredEndpoint>(attributes);
  endpoint.name = dns::firstLabel(instance);
  endpoint.address = address;
  return {std::move(endpoint), ""};
}

void DnsSdDirectory::resolveInstance(const Name& instance) {
  Description description = describeInstance(instance);
  const bool endpointChanged = updateEndpoint(instance, description);
  const bool faultChanged = updateFault(instance, description.fault);
  if (endpointChanged || faultChanged) ++version_;
}

// Returns whether the endpoint changed. Moves it out of the description.
bool DnsSdDirectory::updateEndpoint(const Name& instance, Description& description) {
  const auto known = endpoints_.find(instance);
  if (description.endpoint) {
    if (known != endpoints_.end() && known->second == *description.endpoint) return false;
    endpoints_[instance] = std::move(*description.endpoint);
    return true;
  }
  // With neither an endpoint nor a fault, records are still to be queried, as after a change of
  // target. Until then the known endpoint stays.
  if (description.fault.empty() || known == endpoints_.end()) return false;
  endpoints_.erase(known);
  return true;
}

// Returns whether the fault changed. An empty string clears it.
bool DnsSdDirectory::updateFault(const Name& instance, const std::string& fault) {
  if (fault.empty()) return faults_.erase(instance) > 0;
  std::string& known = faults_[instance];
  const bool changed = known != fault;
  known = fault;
  return changed;
}

void DnsSdDirectory::resolveInstancesOf(const Question& question) {
  if (question.type == Type::Srv || question.type == Type::Txt) return resolveInstance(question.name);
  // A copy, because resolving may modify the index.
  const std::set<Name> instances = targets_.instancesOf(question.name);
  for (const Name& instance : instances) resolveInstance(instance);
}

void DnsSdDirectory::resolveInstances() {
  ++version_;
  const std::vector<Name> all = listedInstances();
  const std::set<Name> listed(all.begin(), all.end());
  for (auto endpoint = endpoints_.begin(); endpoint != endpoints_.end();)
    endpoint = listed.count(endpoint->first) > 0 ? std::next(endpoint) : endpoints_.erase(endpoint);
  for (const Name& instance : all) resolveInstance(instance);
}

void DnsSdDirectory::removeUnlisted() {
  const std::vector<Name> all = listedInstances();
  const std::set<Name> listed(all.begin(), all.end());
  targets_.retain(listed);
  for (auto chosen = chosenAddresses_.begin(); chosen != chosenAddresses_.end();)
    chosen = listed.count(chosen->first) > 0 ? std::next(chosen) : chosenAddresses_.erase(chosen);
  for (auto set = sets_.begin(); set != sets_.end();) {
    if (isNeeded(set->first, listed)) {
      ++set;
      continue;
    }
    queryEnded(set->first, set->second);
    set = sets_.erase(set);
  }
}

bool DnsSdDirectory::isNeeded(const Question& question, const std::set<Name>& listed) const {
  if (question == ptrQuestion_) return true;
  if (question.type != Type::A && question.type != Type::Aaaa) return listed.count(question.name) > 0;
  if (!targets_.isTarget(question.name)) return false;
  if (question.type == Type::A) return true;
  const RecordSet* const ipv4 = find(question.name, Type::A);
  return ipv4 && ipv4->state == RecordSet::State::Absent;
}

}  // namespace sablespur
