#include "recovery/snapshot.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace sablespur::recovery {
namespace {

using Json = nlohmann::json;

constexpr int kVersion = 1;
constexpr std::size_t kFirstLineBytes = 48;  // bytes, its end of line included

std::string encodeFirstLine(std::string_view body) {
  char line[kFirstLineBytes + 1];
  std::snprintf(line, sizeof line, "sablespur-snapshot %02d %08zx %016llx", kVersion, body.size(),
                static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
  std::string h(line);
  h.resize(kFirstLineBytes - 1, ' ');
  return h + '\n';
}
double readPositive(const Json& j, const char* name) {
  const double v = j.value(name, 0.0);
  return std::isfinite(v) && v > 0 ? v : 0;
}

}  // namespace

std::string encode(const Snapshot& s) {
  Json members = Json::array(), primaries = Json::array();
  for (const EndpointRecord& m : s.endpoints) {
    if (members.size() >= kMaxSnapshotEndpoints) break;
    members.push_back({{"n", m.name},
                       {"a", m.address},
                       {"z", m.zone},
                       {"g", m.group},
                       {"w", m.weight},
                       {"s", m.startedMs},
                       {"l", m.latencyUs},
                       {"r", m.responsesPerSecond},
                       {"p", m.positionMs}});
  }
  for (const PrimaryRecord& p : s.primaries)
    primaries.push_back({{"g", p.group}, {"n", p.endpoint}, {"t", p.seenMs}});
  const std::vector<std::uint8_t> cbor = Json::to_cbor({{"e", s.epoch},
                                                        {"q", s.sequence},
                                                        {"t", s.wallMs},
                                                        {"m", std::move(members)},
                                                        {"p", std::move(primaries)}});
  const std::string body(cbor.begin(), cbor.end());
  return encodeFirstLine(body) + body;
}

Snapshot decode(std::string_view file) {
  if (file.size() > kMaxSnapshotBytes) throw SnapshotError("longer than any snapshot", kMaxSnapshotBytes);
  if (file.size() < kFirstLineBytes) throw SnapshotError("cut within its first line", file.size());
  int version = 0;
  unsigned long long length = 0, sum = 0;
  const std::string first(file.substr(0, kFirstLineBytes));
  if (std::sscanf(first.c_str(), "sablespur-snapshot %2d %8llx %16llx", &version, &length, &sum) != 3)
    throw SnapshotError("no snapshot", 0);
  if (version > kVersion) throw SnapshotError("written by a later version", 0);
  const std::string_view body = file.substr(kFirstLineBytes);
  if (body.size() < length) throw SnapshotError("cut", file.size());
  if (body.size() > length) throw SnapshotError("more follows than was written", kFirstLineBytes + length);
  // The head is made anew: a bit that changed in its blanks is damage, too.
  if (encodeFirstLine(body) != first) throw SnapshotError("its checksum is another", kFirstLineBytes);
  try {
    const Json j = Json::from_cbor(body.begin(), body.end());
    Snapshot s;
    s.epoch = j.at("e");
    s.sequence = j.at("q");
    s.wallMs = j.at("t");
    for (const Json& m : j.at("m")) {
      EndpointRecord f;
      f.name = m.at("n");
      f.address = m.at("a");
      f.zone = m.at("z");
      f.group = m.at("g");
      f.weight = readPositive(m, "w");
      f.startedMs = m.at("s");
      f.latencyUs = readPositive(m, "l");
      f.responsesPerSecond = readPositive(m, "r");
      f.positionMs = m.at("p");
      s.endpoints.push_back(std::move(f));
      if (s.endpoints.size() > kMaxSnapshotEndpoints)
        throw SnapshotError("more members than any snapshot", kFirstLineBytes);
    }
    for (const Json& p : j.at("p")) s.primaries.push_back({p.at("g"), p.at("n"), p.at("t")});
    return s;
  } catch (const Json::exception& e) {
    throw SnapshotError(std::string("not the form of its version: ") + e.what(), kFirstLineBytes);
  }
}

}  // namespace sablespur::recovery
