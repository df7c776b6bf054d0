// Between the fronts (or the Gate) and the engine, where there is a store: what of a keyed write must be
// durable before what. The rules are the ledger's (src/durability/rules.hpp); here they meet requests,
// attempts and time.
//
//   a keyed write      its intent is durable before the engine hears of it, so before any byte of it is sent;
//                      its outcome is durable before its answer goes out
//   a write of a       its position is durable before its answer goes out
//   session without key
//   a read of a        what it saw is noted, and nobody waits for that; after a start it first asks what the
//   session            session had seen
//   all else           goes straight through
//
// Of a key one request is under way at a time; others that come meanwhile wait for its end, and are then
// judged.
//
// Refusals and failures are told at once: where their record is lost, the ledger only knows less, and is
// stricter. While the store is down, or a commit takes longer than its patience, keyed writes are refused at
// once and told when to come back; reads go on, those of sessions to where nothing older can be seen.
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

// Null where the settings have no store. Opens it before it returns; throws std::runtime_error where it may
// not be opened (another process has it, or it is damaged and is not to be set aside). `reader` reads the
// answers that are kept.
// `next`: what takes the requests on, the engine or what stands before it.
std::unique_ptr<IdempotencyHandler> createIdempotencyHandler(event_base*, Engine&, RequestHandler& next,
                                                             const Config&,
                                                             const translation::AnswerReader& reader,
                                                             durability::FileHook* = nullptr);

}  // namespace sablespur
