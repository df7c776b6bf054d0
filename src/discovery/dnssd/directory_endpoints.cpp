// DnsSdDirectory: from the records of instances to endpoints, and what is kept for them.
#include <algorithm>
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

// The lowest priority, then the greatest weight (RFC 2782): one target, the same at every proxy. Null where
// the service is not available there (target ".").
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

}  // namespace

void DnsSdDirectory::setTarget(const Name& instance, const Name& target) {
  Name& current = targetByInstance_[instance];
  if (current == target) return;
  if (!current.empty()) removeFromTarget(current, instance);
  if (!target.empty()) instancesByTarget_[target].insert(instance);
  current = target;
}

void DnsSdDirectory::removeFromTarget(const Name& target, const Name& instance) {
  const auto instances = instancesByTarget_.find(target);
  if (instances == instancesByTarget_.end()) return;
  if (instances->second.erase(instance) > 0 && instances->second.empty()) instancesByTarget_.erase(instances);
}

// Of several addresses one is chosen, and kept while it is listed: the others lead to the same server.
Address DnsSdDirectory::chooseAddress(const Name& instance, const std::vector<Data>& records,
                                      std::uint16_t port) {
  std::vector<std::string> listed;
  for (const Data& data : records) listed.push_back(std::get<dns::AddressBytes>(data).bytes);
  std::sort(listed.begin(), listed.end());
  Address& chosen = chosenAddresses_[instance];
  const bool stays = std::any_of(listed.begin(), listed.end(), [&](const std::string& bytes) {
    return Address::fromBytes(bytes, port) == chosen;
  });
  if (!stays) chosen = Address::fromBytes(listed.front(), port);
  return chosen;
}

DnsSdDirectory::Description DnsSdDirectory::describeInstance(const Name& name) {
  using State = RecordSet::State;
  const RecordSet& srv = sets_[{name, Type::Srv}];
  const RecordSet& txt = sets_[{name, Type::Txt}];
  const dns::Srv* const target = preferredTarget(srv.data);
  setTarget(name, target ? target->target : Name());
  if (srv.state == State::Absent) return {std::nullopt, "it has no SRV record"};
  if (!target && srv.state == State::Known)
    return {std::nullopt, "its SRV record says that it is not to be had"};
  if (!target) return {};
  const RecordSet& a = sets_[{target->target, Type::A}];
  const RecordSet& addresses = a.state == State::Absent ? sets_[{target->target, Type::Aaaa}] : a;
  if (addresses.state == State::Absent)
    return {std::nullopt, "its target " + target->target + " has no address"};
  if (addresses.state == State::Unknown) return {};
  DiscoveredEndpoint endpoint;
  endpoint.name = dns::firstLabel(name);
  endpoint.address = chooseAddress(name, addresses.data, target->port);
  if (txt.state == State::Unknown) return {};
  std::vector<std::string> strings;
  for (const Data& data : txt.data)
    for (const std::string& text : std::get<dns::TxtStrings>(data)) strings.push_back(text);
  if (const auto wrong = readTxt(strings, groups_, settings_.defaultGroup, endpoint))
    return {std::nullopt, "TXT: " + *wrong};
  return {std::move(endpoint), ""};
}

void DnsSdDirectory::resolve(const Name& name) {
  Description now = describeInstance(name);
  const auto before = endpoints_.find(name);
  const bool known = before != endpoints_.end();
  // With neither an endpoint nor a fault something has still to be queried, as after a change of target: the
  // endpoint stays as it was.
  const bool pending = !now.endpoint && now.fault.empty();
  const bool same = pending || (now.endpoint ? known && before->second == *now.endpoint : !known);
  if (!same && now.endpoint) endpoints_[name] = std::move(*now.endpoint);
  if (!same && !now.endpoint) endpoints_.erase(before);
  const auto faultBefore = faults_.find(name);
  const bool sameFault = faultBefore == faults_.end() ? now.fault.empty() : faultBefore->second == now.fault;
  if (!sameFault && now.fault.empty()) faults_.erase(faultBefore);
  if (!sameFault && !now.fault.empty()) faults_[name] = now.fault;
  if (!same || !sameFault) ++version_;
}

void DnsSdDirectory::resolve(const Question& question) {
  if (question.type == Type::Srv || question.type == Type::Txt) return resolve(question.name);
  const auto instances = instancesByTarget_.find(question.name);
  if (instances == instancesByTarget_.end()) return;
  const std::set<Name> all = instances->second;  // resolving may change targets
  for (const Name& instance : all) resolve(instance);
}

void DnsSdDirectory::resolveInstances() {
  ++version_;
  const std::vector<Name> all = listedInstances();
  const std::set<Name> listed(all.begin(), all.end());
  for (auto endpoint = endpoints_.begin(); endpoint != endpoints_.end();)
    endpoint = listed.count(endpoint->first) > 0 ? std::next(endpoint) : endpoints_.erase(endpoint);
  for (const Name& instance : all) resolve(instance);
}

void DnsSdDirectory::removeUnlisted() {
  const std::vector<Name> all = listedInstances();
  const std::set<Name> listed(all.begin(), all.end());
  for (auto target = targetByInstance_.begin(); target != targetByInstance_.end();) {
    if (listed.count(target->first) > 0) {
      ++target;
      continue;
    }
    removeFromTarget(target->second, target->first);
    target = targetByInstance_.erase(target);
  }
  for (auto chosen = chosenAddresses_.begin(); chosen != chosenAddresses_.end();)
    chosen = listed.count(chosen->first) == 0 ? chosenAddresses_.erase(chosen) : std::next(chosen);
  for (auto set = sets_.begin(); set != sets_.end();) {
    const bool needed = isNeeded(set->first, listed);
    if (!needed && set->second.inFlight) --recordQueriesInFlight_;
    set = needed ? std::next(set) : sets_.erase(set);
  }
}

bool DnsSdDirectory::isNeeded(const Question& question, const std::set<Name>& listed) const {
  if (question == ptr_) return true;
  if (question.type != Type::A && question.type != Type::Aaaa) return listed.count(question.name) > 0;
  if (instancesByTarget_.count(question.name) == 0) return false;
  if (question.type == Type::A) return true;
  const RecordSet* const ipv4 = find(question.name, Type::A);  // IPv6 is queried only where there is no IPv4
  return ipv4 && ipv4->state == RecordSet::State::Absent;
}

}  // namespace sablespur
