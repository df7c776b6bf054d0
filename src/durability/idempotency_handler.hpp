// Handles requests in front of the engine when the settings have a store, and makes the records of
// keyed writes and sessions durable in the required order. The rules are in
// src/durability/rules.hpp; this applies them to requests and attempts.
//
//   keyed write            its intent is durable before the engine gets the request, and so before
//                          any byte of it is sent; its outcome is durable before its response is
//                          sent
//   session write          its position is durable before its response is sent
//   without a key
//   session read           the position it read at is recorded without waiting; for `sessionRetention`
//                          after startup, the session's position is first read from the store
//   any other request      passes unchanged
//
// Only one request per key is in flight at a time; later ones wait until it has ended and are
// decided then.
//
// Rejections and failures are delivered without waiting for the disk: if their record is lost, the
// store has less information and is stricter. While the store is down, or a commit takes longer
// than the commit timeout (`StoreConfig::commitTimeout`), keyed writes are rejected with a retry-after.
// Reads are still served, but session reads only by endpoints that are up to date.
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
                waitedForSameKey = 0;  // for another request of the same key
  std::size_t waiting = 0;
};

class IdempotencyHandler : public RequestHandler {
 public:
  virtual IdempotencyView view() const = 0;
};

// Opens the store and returns its handler, or nullptr if the settings have no store. Throws
// std::runtime_error if the store can't be opened (another process has it open, or it is damaged
// and the settings don't let it be set aside). `reader` reads stored responses; requests are
// forwarded to `next`: the engine or a handler in front of it. All references have to outlive the
// result.
std::unique_ptr<IdempotencyHandler> createIdempotencyHandler(event_base*, Engine&, RequestHandler& next,
                                                             const Config&,
                                                             const translation::AnswerReader& reader,
                                                             durability::FileHook* = nullptr);

}  // namespace sablespur
