#include "membership/list.hpp"

#include "membership/json.hpp"

namespace sablespur {

using knotstack::Lifecycle;
using simdjson::dom::element;

bool operator==(const Instance& a, const Instance& b) {
  return a.name == b.name && a.address == b.address && a.zone == b.zone && a.kind == b.kind &&
         a.group == b.group && a.state == b.state && a.weight == b.weight && a.startedMs == b.startedMs;
}

bool ListStream::feed(std::string_view bytes, std::vector<std::string>& whole, bool& alive) {
  constexpr std::size_t kLongest = 4 << 20;
  for (const char c : bytes) {
    if (depth_ == 0) {
      alive = alive || c == '\n' || c == '{';
      if (c == ' ' || c == '\t' || c == '\r' || c == '\n') continue;
      if (c != '{') return false;
    }
    if (text_.size() >= kLongest) return false;
    text_.push_back(c);
    if (quoted_) {
      quoted_ = c != '"' || escaped_;
      escaped_ = c == '\\' && !escaped_;
      continue;
    }
    quoted_ = c == '"';
    depth_ += (c == '{' || c == '[') - (c == '}' || c == ']');
    if (depth_ > 0) continue;
    alive = true;
    whole.push_back(std::move(text_));
    text_.clear();
  }
  return true;
}

Address parseAddress(std::string_view text, const std::string& key) {
  const auto address = Address::parse(text);
  if (!address) throw BadInput("key " + key + ": '" + std::string(text) + "' is no address with a port");
  return *address;
}

namespace {

Instance readInstance(const element& e, const std::string& path) {
  Instance i;
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
  // Of one that has left, the rest may be missing.
  const bool gone = i.state == Lifecycle::Gone;
  const auto has = [&](const char* key) { return !gone || e[key].error() == simdjson::SUCCESS; };
  if (has("hostPort"))
    i.address = parseAddress(jsonField<std::string_view>(e, "hostPort", path), path + "hostPort");
  if (has("zone")) i.zone = std::string(jsonField<std::string_view>(e, "zone", path));
  std::string_view kind;
  if (e["machineType"].get(kind) == simdjson::SUCCESS) i.kind = std::string(kind);
  if (has("cell")) {
    const auto cell = jsonField<std::int64_t>(e, "cell", path);
    if (cell < 0 || cell > 65535) throw BadInput("key " + path + "cell: out of range");
    i.group = static_cast<knotstack::GroupId>(cell);
  }
  if (has("weight")) i.weight = jsonField<double>(e, "weight", path);
  if (has("startedAtMs")) i.startedMs = jsonField<std::int64_t>(e, "startedAtMs", path);
  if (i.startedMs < 0) throw BadInput("key " + path + "startedAtMs: negative");
  return i;
}

}  // namespace

InstanceList readInstances(const element& object, const std::string& path) {
  InstanceList list;
  const auto generation = jsonField<std::int64_t>(object, "generation", path);
  if (generation < 0) throw BadInput("key " + path + "generation: negative");
  list.generation = static_cast<std::uint64_t>(generation);
  list.reset = jsonField<bool>(object, "reset", path);
  std::size_t n = 0;
  for (const element e : jsonField<simdjson::dom::array>(object, "instances", path))
    list.instances.push_back(readInstance(e, path + "instances[" + std::to_string(n++) + "]."));
  return list;
}

InstanceList parseInstances(std::string_view json) {
  simdjson::dom::parser parser;
  element object;
  if (const auto error = parser.parse(simdjson::padded_string(json)).get(object))
    throw BadInput(std::string("list: ") + simdjson::error_message(error));
  return readInstances(object, "");
}

}  // namespace sablespur
