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

enum class End { Out, Ran, MayHaveRun, NeverRan };     // of an attempt; Out: nothing is known of it
enum class Outcome { None, Served, Failed, Refused };  // of the last request that bore the key

struct Attempt {
  std::string id;  // the request's
  int number = 0;
  std::string member;
  Time at{};
  End end = End::Out;
};

// A key: its intent, and what came of it.
struct KeyRecord {
  std::uint32_t group = 0;
  std::string cls;
  Time asked{};   // no attempt was sent before
  Time window{};  // data servers drop repeats for so long from the first send
  Time expires{};
  std::int64_t wallMs = 0;
  std::uint64_t epoch = 0;        // the start that it was asked in last
  std::vector<Attempt> attempts;  // the last ones; those before are in `mayHaveRun`
  bool mayHaveRun = false;
  Outcome outcome = Outcome::None;
  bool answered = false;  // the answer is here; else it was too long to keep
  std::string answer;     // messages as the data server sent them
  std::int64_t positionMs = 0;
  std::vector<std::string> owed, given;  // ids of requests: without their final answer, with it

  // Whether some attempt may have had an effect. One that has no outcome may have been sent unrecorded.
  bool effectPossible() const;
};

struct SessionRecord {
  std::int64_t positionMs = 0;
  Time expires{};
};

struct EpochRecord {
  std::uint64_t number = 0;
  Time began{};
  bool gap = false;  // how long nothing ran before it is not known
  std::int64_t wallMs = 0;
  std::string boot;
};

struct ClockRecord {
  Time at{};
  std::string boot;         // the machine's start
  std::int64_t bootUs = 0;  // since then
  Time gapAt{};             // ages from before then are unknown
};

struct Totals {
  std::uint64_t keys = 0, sessions = 0, open = 0;  // open: keys without an outcome
  std::int64_t floorMs = 0;  // the newest position among the sessions that were forgotten
};

struct NewerRecord : std::runtime_error {
  using runtime_error::runtime_error;
};

std::string encode(const KeyRecord&);
std::string encode(const SessionRecord&);
std::string encode(const EpochRecord&);
std::string encode(const ClockRecord&);
std::string encode(const Totals&);
// Throws std::runtime_error for what is no such record, NewerRecord for one of a later version.
KeyRecord decodeKey(std::string_view);
SessionRecord decodeSession(std::string_view);
EpochRecord decodeEpoch(std::string_view);
ClockRecord decodeClock(std::string_view);
Totals decodeTotals(std::string_view);

const char* name(End);
const char* name(Outcome);
nlohmann::json toJson(const KeyRecord&);  // for people: names in full, the answer's length in place of it

}  // namespace sablespur::durability
