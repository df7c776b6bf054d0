// In front of the engine, where the settings have a store: what of a keyed write must be durable before what.
// The rules are in src/durability/rules.hpp; this applies them to requests, attempts and time.
//
//   a keyed write          its intent is durable before the engine gets it, so before any byte of it is sent;
//                          its outcome is durable before its response goes out
//   a session's write      its position is durable before its response goes out
//   without a key
//   a session's read       the position that it saw is recorded without waiting; after a start it first reads
//                          the session's position from the store
//   any other request      passes unchanged
//
// One request of a key is in flight at a time; the others wait for its end and are decided then.
//
// Rejections and failures are delivered without waiting for the disk: if their record is lost, the store
// knows less and is stricter. While the store is down, or a commit takes longer than the commit timeout,
// keyed writes are rejected with a Retry-After; reads go on, those of sessions to endpoints that are up to
// date.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "engine/engine.hpp"

namespace sablespur::durability {
class FileHook;
}
namespace sablespur {

// For `sablespur status`.
struct IdempotencyView {
  std::string directory, state;  // up, slow, down, damaged
  std::string why;
  std::uint64_t epoch = 0, keys = 0, sessions = 0, operations = 0, commits = 0, largestGroup = 0,
                lostOperations = 0, bytesOnDisk = 0;
  Time lastCommit{}, longestCommit{};
  std::uint64_t executed = 0, retried = 0, replayed = 0, outcomeUnknown = 0, rejected = 0, notDurable = 0,
                waitedForSameKey = 0;  // of the same key
  std::size_t waiting = 0;
};

class IdempotencyHandler : public RequestHandler {
 public:
  virtual IdempotencyView view() const = 0;
};

// Null where the settings have no store. Opens the store before it returns; throws std::runtime_error if it
// can't be opened (another process holds it, or it is damaged and the settings don't let it be set aside).
// `reader` reads stored responses; `next` handles the requests, the engine or what is in front of it. All
// references have to outlive the result.
std::unique_ptr<IdempotencyHandler> createIdempotencyHandler(event_base*, Engine&, RequestHandler& next,
                                                             const Config&,
                                                             const translation::AnswerReader& reader,
                                                             durability::FileHook* = nullptr);

}  // namespace sablespur
