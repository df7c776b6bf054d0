// What may be done with a keyed write, given what the ledger holds of its key. Pure.
#pragma once

#include <optional>
#include <string>

#include "durability/record.hpp"

namespace sablespur::durability {

// A keyed write as it comes.
struct KeyedRequest {
  std::string id, key, cls;
  std::uint32_t group = 0;
  Time window{};  // of its class
};

enum class Verdict {
  Run,       // it is new, or none of what was sent can have had an effect
  Again,     // it may have run; data servers still drop the repeat
  Recorded,  // it has run, and here is its answer
  Unknown    // it has run, or may have, and must not run again: the client is told so
};
const char* name(Verdict);

struct Judgement {
  Verdict verdict = Verdict::Run;
  Time since{};  // Again: since the first send, at most
};
// `gapAt`: LedgerClock's.
Judgement judge(const KeyRecord*, const KeyedRequest&, Time now, Time gapAt);

// The record once the verdict is carried out; for Run of a key whose attempts never ran, a new beginning.
KeyRecord opened(const std::optional<KeyRecord>&, const KeyedRequest&, const Judgement&, Time now, Time keep,
                 std::uint64_t epoch, std::int64_t wallMs);

void sent(KeyRecord&, Attempt);
void ended(KeyRecord&, const std::string& id, int attempt, End);
void finished(KeyRecord&, const std::string& id, Outcome, Time now, Time keep);
void told(KeyRecord&, const std::string& id);
void left(KeyRecord&, const std::string& id);  // its client has gone

}  // namespace sablespur::durability
