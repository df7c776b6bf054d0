// Inspects a LevelDB log (leveldb/doc/log_format.md) independently of LevelDB. LevelDB takes a
// record length that points beyond the end of the file for the end of the log, so a flipped bit in
// a length silently loses all records after it. The inspection distinguishes an incomplete tail
// from damage. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::durability {

// Key of the first pair of each batch, whose value is the commit number, counted since the store
// was created.
constexpr std::string_view kCommitKey = "!commit";
constexpr std::size_t kCommitBytes = 8;  // at the start of the value, big-endian
std::string commitNumber(std::uint64_t);

enum class LogKind { Batches, Manifest };

struct LogInspection {
  std::uint64_t wholeBytes = 0;     // length of the leading part that consists of whole records
  std::uint64_t records = 0;        // number of whole records
  std::uint64_t commit = 0;         // LogKind::Batches: number of the last whole commit; 0: none
  std::uint64_t firstSequence = 0;  // LevelDB sequence number of the first batch; 0: no batch
  std::uint64_t nextSequence = 0;   // expected of the next batch; 0: any
  std::uint64_t lastSequence = 0;   // LogKind::Manifest: last sequence number in the manifest
  std::uint64_t logNumber = 0;      // LogKind::Manifest: number of the first log that is still needed
  bool incompleteTail = false;      // the bytes from `wholeBytes` on are not a whole record
  const char* defect = "";          // the first defect of the tail
  // Offset of a whole, later record after the defect. Each commit is durable before the next one
  // starts, so the defective record had been durable: it is damaged, not the result of a crash
  // while writing.
  std::optional<std::uint64_t> laterRecordAt;
};

// `sequence`: the sequence number that the first batch must have, from the log before; 0: any.
LogInspection inspectLog(std::string_view bytes, LogKind, std::uint64_t sequence = 0);

}  // namespace sablespur::durability
