// Whether a keyed write may be executed or retried, given the record of its key, and how the record
// changes. Pure.
#pragma once

#include <optional>
#include <string>

#include "durability/record.hpp"

namespace sablespur::durability {

// A keyed write that has arrived.
struct KeyedRequest {
  std::string id, key, className;
  std::uint32_t group = 0;
  Time deduplicationWindow{};  // of its class
};

enum class Disposition {
  Execute,  // the key is new, or no attempt can have had an effect
  Retry,    // an attempt may have been executed; data servers still drop a repeat
  Replay,   // the write was executed; its response is stored and sent again
  // The write was or may have been executed and must not be sent again. The client gets an error.
  OutcomeUnknown
};
const char* name(Disposition);

struct KeyDecision {
  Disposition disposition = Disposition::Execute;
  Time sinceFirstSend{};  // Retry: upper bound of the time since the first send
};
// Decides how to handle a request. The record is null for an unknown key; `gapAt` is
// StoreClock::gapAt().
KeyDecision decide(const KeyRecord*, const KeyedRequest&, Time now, Time gapAt);

// Returns the record after the decision. Disposition::Execute starts a new record.
KeyRecord beginRequest(const std::optional<KeyRecord>&, const KeyedRequest&, const KeyDecision&, Time now,
                       Time retention, std::uint64_t epoch, std::int64_t wallMs);

void recordAttemptSent(KeyRecord&, Attempt);
void recordAttemptEnd(KeyRecord&, const std::string& id, int attempt, AttemptEffect);
void recordOutcome(KeyRecord&, const std::string& id, Outcome, Time now, Time retention);
void recordResponseDelivered(KeyRecord&, const std::string& id);
void abandonRequest(KeyRecord&, const std::string& id);  // its client disconnected

}  // namespace sablespur::durability
