#include "durability/record.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sablespur::durability {
namespace {

using nlohmann::json;

json::binary_t bytes(const std::string& s) { return json::binary_t({s.begin(), s.end()}); }
std::string text(const json& j) {
  const auto& b = j.get_binary();
  return {b.begin(), b.end()};
}
std::string pack(const json& j) {
  std::string out;
  json::to_cbor(j, out);
  return out;
}
json unpack(std::string_view s, const char* type) {
  json j = json::from_cbor(s.begin(), s.end(), true, false);
  if (j.is_discarded() || !j.is_object() || j.value("t", "") != type)
    throw std::runtime_error(std::string("not a record of type ") + type);
  const int version = j.value("v", 0);
  if (version > kRecordVersion)
    throw NewerRecordError("version " + std::to_string(version) + "; this program supports versions up to " +
                           std::to_string(kRecordVersion));
  if (version < 1) throw std::runtime_error("the record has no version");
  return j;
}
// Decodes a record of the given type. The exceptions of nlohmann::json do not name the record type,
// so they are rethrown with it.
template <typename Read>
auto decodeMap(std::string_view s, const char* type, Read read) {
  try {
    return read(unpack(s, type));
  } catch (const json::exception& e) {
    throw std::runtime_error(std::string("a malformed record of type ") + type + ": " + e.what());
  }
}
Time decodeTime(const json& j, const char* key) { return Time(j.at(key).get<std::int64_t>()); }
template <typename E>
E decodeEnum(const json& j, int maxValue) {
  const int n = j.get<int>();
  if (n < 0 || n > maxValue) throw std::runtime_error("unknown enum value: " + std::to_string(n));
  return static_cast<E>(n);
}

}  // namespace

bool KeyRecord::mayHaveHadEffect() const {
  if (outcome == Outcome::Served || outcome == Outcome::Pending || mayHaveExecuted) return true;
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& a) { return a.effect != AttemptEffect::NotExecuted; });
}

std::string encode(const KeyRecord& r) {
  json attempts = json::array();
  for (const Attempt& a : r.attempts)
    attempts.push_back({a.id, a.number, a.endpoint, a.sentAt.count(), static_cast<int>(a.effect)});
  json j{{"t", "key"},
         {"v", kRecordVersion},
         {"g", r.group},
         {"c", r.className},
         {"a", r.intentAt.count()},
         {"w", r.deduplicationWindow.count()},
         {"x", r.expiresAt.count()},
         {"u", r.wallMs},
         {"e", r.epoch},
         {"s", std::move(attempts)},
         {"m", r.mayHaveExecuted},
         {"o", static_cast<int>(r.outcome)},
         {"p", r.positionMs},
         {"owed", r.pendingIds},
         {"given", r.answeredIds}};
  if (r.hasResponse) j["answer"] = bytes(r.response);
  return pack(j);
}
KeyRecord decodeKey(std::string_view s) {
  return decodeMap(s, "key", [](const json& j) {
    KeyRecord r;
    r.group = j.at("g").get<std::uint32_t>();
    r.className = j.at("c").get<std::string>();
    r.intentAt = decodeTime(j, "a");
    r.deduplicationWindow = decodeTime(j, "w");
    r.expiresAt = decodeTime(j, "x");
    r.wallMs = j.at("u").get<std::int64_t>();
    r.epoch = j.at("e").get<std::uint64_t>();
    r.outcome = decodeEnum<Outcome>(j.at("o"), 3);
    r.positionMs = j.at("p").get<std::int64_t>();
    if (j.contains("answer")) {
      r.hasResponse = true;
      r.response = text(j.at("answer"));
    }
    r.mayHaveExecuted = j.at("m").get<bool>();
    r.pendingIds = j.at("owed").get<std::vector<std::string>>();
    r.answeredIds = j.at("given").get<std::vector<std::string>>();
    for (const json& a : j.at("s"))
      r.attempts.push_back({a.at(0).get<std::string>(), a.at(1).get<int>(), a.at(2).get<std::string>(),
                            Time(a.at(3).get<std::int64_t>()), decodeEnum<AttemptEffect>(a.at(4), 3)});
    return r;
  });
}

std::string encode(const SessionRecord& r) {
  return pack({{"t", "session"}, {"v", kRecordVersion}, {"p", r.positionMs}, {"x", r.expiresAt.count()}});
}
SessionRecord decodeSession(std::string_view s) {
  return decodeMap(s, "session", [](const json& j) {
    return SessionRecord{j.at("p").get<std::int64_t>(), decodeTime(j, "x")};
  });
}

std::string encode(const EpochRecord& r) {
  return pack({{"t", "epoch"},
               {"v", kRecordVersion},
               {"n", r.number},
               {"a", r.beganAt.count()},
               {"gap", r.afterGap},
               {"u", r.wallMs},
               {"boot", r.bootId}});
}
EpochRecord decodeEpoch(std::string_view s) {
  return decodeMap(s, "epoch", [](const json& j) {
    EpochRecord r;
    r.number = j.at("n").get<std::uint64_t>();
    r.beganAt = decodeTime(j, "a");
    r.afterGap = j.at("gap").get<bool>();
    r.wallMs = j.at("u").get<std::int64_t>();
    r.bootId = j.at("boot").get<std::string>();
    return r;
  });
}

std::string encode(const ClockRecord& r) {
  return pack({{"t", "clock"},
               {"v", kRecordVersion},
               {"a", r.at.count()},
               {"boot", r.bootId},
               {"b", r.sinceBootUs},
               {"gap", r.gapAt.count()}});
}
ClockRecord decodeClock(std::string_view s) {
  return decodeMap(s, "clock", [](const json& j) {
    return ClockRecord{decodeTime(j, "a"), j.at("boot").get<std::string>(), j.at("b").get<std::int64_t>(),
                       decodeTime(j, "gap")};
  });
}

std::string encode(const StoreTotals& r) {
  return pack({{"t", "totals"},
               {"v", kRecordVersion},
               {"k", r.keys},
               {"s", r.sessions},
               {"o", r.pendingKeys},
               {"f", r.positionFloorMs}});
}
StoreTotals decodeTotals(std::string_view s) {
  return decodeMap(s, "totals", [](const json& j) {
    StoreTotals t;
    t.keys = j.at("k").get<std::uint64_t>();
    t.sessions = j.at("s").get<std::uint64_t>();
    t.pendingKeys = j.at("o").get<std::uint64_t>();
    t.positionFloorMs = j.at("f").get<std::int64_t>();
    return t;
  });
}

const char* name(AttemptEffect e) {
  constexpr const char* kNames[] = {"out", "ran", "may_have_run", "never_ran"};
  return kNames[static_cast<int>(e)];
}
const char* name(Outcome o) {
  constexpr const char* kNames[] = {"none", "served", "failed", "refused"};
  return kNames[static_cast<int>(o)];
}

json toJson(const KeyRecord& r) {
  json attempts = json::array();
  for (const Attempt& a : r.attempts)
    attempts.push_back({{"id", a.id},
                        {"attempt", a.number},
                        {"member", a.endpoint},
                        {"at_us", a.sentAt.count()},
                        {"end", name(a.effect)}});
  json j{{"group", r.group},
         {"class", r.className},
         {"asked_us", r.intentAt.count()},
         {"asked_unix_ms", r.wallMs},
         {"window_us", r.deduplicationWindow.count()},
         {"expires_us", r.expiresAt.count()},
         {"epoch", r.epoch},
         {"attempts", attempts},
         {"effect_possible", r.mayHaveHadEffect()},
         {"outcome", name(r.outcome)},
         {"owed", r.pendingIds},
         {"given", r.answeredIds}};
  if (r.outcome == Outcome::Served) j["position_unix_ms"] = r.positionMs;
  if (r.hasResponse) j["answer_bytes"] = r.response.size();
  return j;
}

}  // namespace sablespur::durability
