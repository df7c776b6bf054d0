// Whether a keyed write may be executed or retried, given the record of its key, and how the record changes.
// Pure.
#pragma once

#include <optional>
#include <string>

#include "durability/record.hpp"

namespace sablespur::durability {

// A keyed write as it arrives.
struct KeyedRequest {
  std::string id, key, className;
  std::uint32_t group = 0;
  Time deduplicationWindow{};  // of its class
};

enum class Disposition {
  Execute,        // it is new, or none of what was sent can have had an effect
  Retry,          // it may have run; data servers still drop the repeat
  Replay,         // it has run, and here is its answer
  OutcomeUnknown  // it has run, or may have, and must not run again: the client is told so
};
const char* name(Disposition);

struct KeyDecision {
  Disposition disposition = Disposition::Execute;
  Time sinceFirstSend{};  // Again: since the first send, at most
};
// `gapAt`: StoreClock::gapAt(). The record is null for a key that is not known.
KeyDecision decide(const KeyRecord*, const KeyedRequest&, Time now, Time gapAt);

// The record after the decision is applied. Execute begins it anew.
KeyRecord beginRequest(const std::optional<KeyRecord>&, const KeyedRequest&, const KeyDecision&, Time now,
                       Time keyRetention, std::uint64_t epoch, std::int64_t wallMs);

void recordAttemptSent(KeyRecord&, Attempt);
void recordAttemptEnd(KeyRecord&, const std::string& id, int attempt, AttemptEffect);
void recordOutcome(KeyRecord&, const std::string& id, Outcome, Time now, Time keyRetention);
void recordResponseDelivered(KeyRecord&, const std::string& id);
void abandonRequest(KeyRecord&, const std::string& id);  // its client has gone

}  // namespace sablespur::durability
