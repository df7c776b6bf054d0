#include "discovery/endpoint_list.hpp"

#include "discovery/json.hpp"

namespace sablespur {

using balancer::Lifecycle;
using simdjson::dom::element;

bool operator==(const DiscoveredEndpoint& a, const DiscoveredEndpoint& b) {
  return a.name == b.name && a.address == b.address && a.zone == b.zone && a.kind == b.kind &&
         a.group == b.group && a.state == b.state && a.weight == b.weight && a.startedMs == b.startedMs;
}

bool EndpointListStream::feed(std::string_view bytes, std::vector<std::string>& complete) {
  constexpr std::size_t kMaxListBytes = 4 << 20;
  std::size_t consumed = 0;  // bytes before this index are in list_ or outside any list
  const auto appendUntil = [&](std::size_t end) {
    list_.append(bytes.substr(consumed, end - consumed));
    consumed = end;
  };
  for (std::size_t k = 0; k < bytes.size(); ++k) {
    const char c = bytes[k];
    const bool isBlank = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    significantBytes_ += inString_ || !isBlank;
    if (depth_ == 0) {
      emptyLines_ += c == '\n';
      if (isBlank) continue;
      if (c != '{') return false;
      consumed = k;
    }
    if (list_.size() + (k - consumed) >= kMaxListBytes) return false;
    if (inString_) {
      inString_ = c != '"' || afterBackslash_;
      afterBackslash_ = c == '\\' && !afterBackslash_;
      continue;
    }
    inString_ = c == '"';
    depth_ += (c == '{' || c == '[') - (c == '}' || c == ']');
    if (depth_ > 0) continue;
    appendUntil(k + 1);
    complete.push_back(std::move(list_));
    list_.clear();
  }
  if (depth_ > 0) appendUntil(bytes.size());
  return true;
}

const char* lifecycleName(Lifecycle state) {
  switch (state) {
    case Lifecycle::Ready:
      return "active";
    case Lifecycle::Draining:
      return "leaving";
    default:
      return "left";
  }
}

Address parseAddress(std::string_view text, const std::string& key) {
  const auto address = Address::parse(text);
  if (!address) throw BadInput("key " + key + ": '" + std::string(text) + "' is not an address with a port");
  return *address;
}

namespace {

// Builds the full key only for an error.
Address readAddress(std::string_view text, const std::string& path) {
  const auto address = Address::parse(text);
  return address ? *address : parseAddress(text, path + "hostPort");
}

DiscoveredEndpoint readInstance(const element& e, const std::string& path) {
  DiscoveredEndpoint i;
  i.name = std::string(jsonField<std::string_view>(e, "instanceId", path));
  const auto state = jsonField<std::string_view>(e, "lifecycle", path);
  if (state == "active")
    i.state = Lifecycle::Ready;
  else if (state == "leaving")
    i.state = Lifecycle::Draining;
  else if (state == "left")
    i.state = Lifecycle::Gone;
  else
    throw BadInput("key " + path + "lifecycle: unknown value '" + std::string(state) + "'");
  // The other fields may be missing for an endpoint that has left.
  const bool gone = i.state == Lifecycle::Gone;
  const auto shouldRead = [&](const char* key) { return !gone || e[key].error() == simdjson::SUCCESS; };
  if (shouldRead("hostPort")) i.address = readAddress(jsonField<std::string_view>(e, "hostPort", path), path);
  if (shouldRead("zone")) i.zone = std::string(jsonField<std::string_view>(e, "zone", path));
  std::string_view kind;
  if (e["machineType"].get(kind) == simdjson::SUCCESS) i.kind = std::string(kind);
  if (shouldRead("cell")) {
    const auto cell = jsonField<std::int64_t>(e, "cell", path);
    if (cell < 0 || cell > 65535) throw BadInput("key " + path + "cell: out of range");
    i.group = static_cast<balancer::GroupId>(cell);
  }
  if (shouldRead("weight")) i.weight = jsonField<double>(e, "weight", path);
  if (shouldRead("startedAtMs")) i.startedMs = jsonField<std::int64_t>(e, "startedAtMs", path);
  if (i.startedMs < 0) throw BadInput("key " + path + "startedAtMs: negative");
  return i;
}

}  // namespace

EndpointList readEndpointList(const element& object, const std::string& path) {
  EndpointList list;
  const auto generation = jsonField<std::int64_t>(object, "generation", path);
  if (generation < 0) throw BadInput("key " + path + "generation: negative");
  list.generation = static_cast<std::uint64_t>(generation);
  list.reset = jsonField<bool>(object, "reset", path);
  bool isConfirmed = false;
  list.isConfirmed = object["confirmed"].get(isConfirmed) == simdjson::SUCCESS && isConfirmed;
  const auto instances = jsonField<simdjson::dom::array>(object, "instances", path);
  list.instances.reserve(instances.size());
  std::string elementPath = path + "instances[";
  const std::size_t prefix = elementPath.size();
  for (const element e : instances) {
    elementPath.resize(prefix);
    elementPath.append(std::to_string(list.instances.size())).append("].");
    list.instances.push_back(readInstance(e, elementPath));
  }
  return list;
}

EndpointList parseEndpointList(std::string_view json) {
  simdjson::dom::parser parser;
  element object;
  if (const auto error = parser.parse(simdjson::padded_string(json)).get(object))
    throw BadInput(std::string("list: ") + simdjson::error_message(error));
  return readEndpointList(object, "");
}

}  // namespace sablespur
