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
constexpr std::size_t kFirstLineBytes = 48;  // including the newline

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

// Checks version, length and checksum and returns the CBOR after the first line.
std::string_view verifiedBody(std::string_view file) {
  if (file.size() > kMaxSnapshotBytes)
    throw SnapshotError("file exceeds the maximum snapshot size", kMaxSnapshotBytes);
  if (file.size() < kFirstLineBytes) throw SnapshotError("truncated in the first line", file.size());
  int version = 0;
  unsigned long long length = 0;
  unsigned long long checksum = 0;
  const std::string first(file.substr(0, kFirstLineBytes));
  if (std::sscanf(first.c_str(), "sablespur-snapshot %2d %8llx %16llx", &version, &length, &checksum) != 3)
    throw SnapshotError("not a snapshot file", 0);
  if (version > kVersion) throw SnapshotError("written by a later version", 0);
  const std::string_view body = file.substr(kFirstLineBytes);
  if (body.size() < length) throw SnapshotError("truncated", file.size());
  if (body.size() > length)
    throw SnapshotError("trailing bytes after the snapshot", kFirstLineBytes + length);
  // Compares the whole line, because a changed bit in the padding is corruption as well.
  if (encodeFirstLine(body) != first) throw SnapshotError("checksum mismatch", kFirstLineBytes);
  return body;
}

EndpointRecord decodeEndpoint(const Json& j) {
  EndpointRecord endpoint;
  endpoint.name = j.at("n");
  endpoint.address = j.at("a");
  endpoint.zone = j.at("z");
  endpoint.group = j.at("g");
  endpoint.weight = readPositive(j, "w");
  endpoint.startedMs = j.at("s");
  endpoint.latencyUs = readPositive(j, "l");
  endpoint.responsesPerSecond = readPositive(j, "r");
  endpoint.positionMs = j.at("p");
  return endpoint;
}

}  // namespace

std::string encode(const Snapshot& s) {
  Json members = Json::array();
  Json primaries = Json::array();
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
  const std::string_view body = verifiedBody(file);
  try {
    const Json j = Json::from_cbor(body.begin(), body.end());
    Snapshot snapshot;
    snapshot.epoch = j.at("e");
    snapshot.sequence = j.at("q");
    snapshot.wallMs = j.at("t");
    for (const Json& m : j.at("m")) {
      snapshot.endpoints.push_back(decodeEndpoint(m));
      if (snapshot.endpoints.size() > kMaxSnapshotEndpoints)
        throw SnapshotError("too many endpoints", kFirstLineBytes);
    }
    for (const Json& p : j.at("p")) snapshot.primaries.push_back({p.at("g"), p.at("n"), p.at("t")});
    return snapshot;
  } catch (const Json::exception& e) {
    throw SnapshotError(std::string("invalid content: ") + e.what(), kFirstLineBytes);
  }
}

}  // namespace sablespur::recovery
