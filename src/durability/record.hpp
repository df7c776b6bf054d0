// The records of the idempotency store, encoded as CBOR (RFC 8949) maps with short keys. Every
// record carries its format version; a record of a later version is rejected rather than misread.
// Pure.
//
// Times are on the store's clock (store_clock.hpp) unless they are called wall time, which is only
// for display.
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

// Each version reads the records of earlier ones; tests/data/store-N holds files written by version
// N.
constexpr int kRecordVersion = 1;

enum class AttemptEffect {
  InFlight,  // the attempt's end has not been recorded
  Executed,
  MayHaveExecuted,
  NotExecuted
};
enum class Outcome { Pending, Served, Failed, Rejected };  // of the last request with the key

struct Attempt {
  std::string id;  // of the request
  int number = 0;
  std::string endpoint;
  Time sentAt{};
  AttemptEffect effect = AttemptEffect::InFlight;
};

// The record of an idempotency key: the intent of its write and the outcome.
struct KeyRecord {
  std::uint32_t group = 0;
  std::string className;
  Time intentAt{};             // no attempt was sent before this time
  Time deduplicationWindow{};  // data servers drop repeats for this long after the first send
  Time expiresAt{};
  std::int64_t wallMs = 0;        // wall time of the intent
  std::uint64_t epoch = 0;        // epoch of the key's last request
  std::vector<Attempt> attempts;  // the most recent ones
  bool mayHaveExecuted = false;   // also covers attempts that are no longer in `attempts`
  Outcome outcome = Outcome::Pending;
  bool hasResponse = false;  // false for a served request: the response was too long to keep
  std::string response;      // messages as sent by the data server
  std::int64_t positionMs = 0;
  std::vector<std::string> pendingIds, answeredIds;  // ids of requests without and with a final response

  // Whether an attempt may have had an effect. True while the outcome is pending, since an attempt
  // may have been sent without being recorded.
  bool mayHaveHadEffect() const;
};

struct SessionRecord {
  std::int64_t positionMs = 0;
  Time expiresAt{};
};

struct EpochRecord {
  std::uint64_t number = 0;
  Time beganAt{};
  bool afterGap = false;  // the time since the epoch before is not known
  std::int64_t wallMs = 0;
  std::string bootId;
};

struct ClockRecord {
  Time at{};
  std::string bootId;            // identifies the boot of the machine
  std::int64_t sinceBootUs = 0;  // time since that boot
  Time gapAt{};                  // the age of records from before this time is unknown
};

struct StoreTotals {
  std::uint64_t keys = 0, sessions = 0, pendingKeys = 0;  // pendingKeys: keys without an outcome
  std::int64_t positionFloorMs = 0;  // newest position of a session whose record was removed or did not fit
};

struct NewerRecordError : std::runtime_error {
  using runtime_error::runtime_error;
};

std::string encode(const KeyRecord&);
std::string encode(const SessionRecord&);
std::string encode(const EpochRecord&);
std::string encode(const ClockRecord&);
std::string encode(const StoreTotals&);
// Throw std::runtime_error if the bytes are not such a record, NewerRecordError if its version is
// later.
KeyRecord decodeKey(std::string_view);
SessionRecord decodeSession(std::string_view);
EpochRecord decodeEpoch(std::string_view);
ClockRecord decodeClock(std::string_view);
StoreTotals decodeTotals(std::string_view);

const char* name(AttemptEffect);
const char* name(Outcome);
nlohmann::json toJson(const KeyRecord&);  // for display: full names, and the response's length only

}  // namespace sablespur::durability
