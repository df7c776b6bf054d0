// What the ledger keeps, typed and versioned, as CBOR (RFC 8949) maps with short names. Every record carries
// the version of its form; one of a later version is turned down rather than misread. Pure.
//
// Times count on the ledger's own clock (clock.hpp) unless they are called wall time, which is for people
// alone.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::durability {

using Time = std::chrono::microseconds;

// A later version reads those before it; tests/data/store-N holds files as version N wrote them.
constexpr int kRecordVersion = 1;

enum class AttemptEffect {
  InFlight,
  Executed,
  MayHaveExecuted,
  NotExecuted
};                                                         // of an attempt; Out: nothing is known of it
enum class Outcome { Pending, Served, Failed, Rejected };  // of the last request that bore the key

struct Attempt {
  std::string id;  // the request's
  int number = 0;
  std::string endpoint;
  Time sentAt{};
  AttemptEffect effect = AttemptEffect::InFlight;
};

// A key: its intent, and what came of it.
struct KeyRecord {
  std::uint32_t group = 0;
  std::string className;
  Time intentAt{};             // no attempt was sent before
  Time deduplicationWindow{};  // data servers drop repeats for so long from the first send
  Time expiresAt{};
  std::int64_t wallMs = 0;
  std::uint64_t epoch = 0;        // the start that it was asked in last
  std::vector<Attempt> attempts;  // the last ones; those before are in `mayHaveRun`
  bool mayHaveExecuted = false;
  Outcome outcome = Outcome::Pending;
  bool hasResponse = false;  // the answer is here; else it was too long to keep
  std::string response;      // messages as the data server sent them
  std::int64_t positionMs = 0;
  std::vector<std::string> pendingIds, answeredIds;  // ids of requests: without their final answer, with it

  // Whether some attempt may have had an effect. One that has no outcome may have been sent unrecorded.
  bool mayHaveHadEffect() const;
};

struct SessionRecord {
  std::int64_t positionMs = 0;
  Time expiresAt{};
};

struct EpochRecord {
  std::uint64_t number = 0;
  Time beganAt{};
  bool afterGap = false;  // how long nothing ran before it is not known
  std::int64_t wallMs = 0;
  std::string bootId;
};

struct ClockRecord {
  Time at{};
  std::string bootId;            // the machine's start
  std::int64_t sinceBootUs = 0;  // since then
  Time gapAt{};                  // ages from before then are unknown
};

struct StoreTotals {
  std::uint64_t keys = 0, sessions = 0, pendingKeys = 0;  // open: keys without an outcome
  std::int64_t forgottenPositionMs = 0;  // the newest position among the sessions that were forgotten
};

struct NewerRecordError : std::runtime_error {
  using runtime_error::runtime_error;
};

std::string encode(const KeyRecord&);
std::string encode(const SessionRecord&);
std::string encode(const EpochRecord&);
std::string encode(const ClockRecord&);
std::string encode(const StoreTotals&);
// Throws std::runtime_error for what is no such record, NewerRecord for one of a later version.
KeyRecord decodeKey(std::string_view);
SessionRecord decodeSession(std::string_view);
EpochRecord decodeEpoch(std::string_view);
ClockRecord decodeClock(std::string_view);
StoreTotals decodeTotals(std::string_view);

const char* name(AttemptEffect);
const char* name(Outcome);
nlohmann::json toJson(const KeyRecord&);  // for people: names in full, the answer's length in place of it

}  // namespace sablespur::durability
