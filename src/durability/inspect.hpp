// Reads a LevelDB log (leveldb/doc/log_format.md) apart from LevelDB, since LevelDB takes a length that
// points beyond the end for the end: a bit flipped there silently loses what follows. Here each end is told
// from damage. Pure: bytes in, findings out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::durability {

// The first pair of each batch: the number of the commit, counted from the store's beginning.
constexpr std::string_view kCommitKey = "!commit";
constexpr std::size_t kCommitBytes = 8;  // its value begins with it, big-endian
std::string commitNumber(std::uint64_t);

enum class LogKind { Batches, Manifest };

struct LogInspection {
  std::uint64_t wholeBytes = 0;     // bytes from the beginning that are whole records
  std::uint64_t records = 0;        // in them
  std::uint64_t commit = 0;         // of the last of them; 0: none (LogKind::Batches)
  std::uint64_t firstSequence = 0;  // LevelDB's, of the first batch; 0: there is none
  std::uint64_t nextSequence = 0;   // that the next batch has to begin with; 0: any
  // LogKind::Manifest: the last sequence that its tables and logs had reached, the first log that still
  // counts.
  std::uint64_t lastSequence = 0;
  std::uint64_t logNumber = 0;
  // What follows is no whole record, from `whole` on.
  bool incompleteTail = false;
  const char* defect = "";  // the first thing that is wrong with it
  // Beyond it stands a record that is whole, and later. Each commit is durable before the next is begun, so
  // what is ragged had been durable once: that is damage, and no writer's death.
  std::optional<std::uint64_t> laterRecordAt;
};

// `sequence`: the first batch has to begin with it (of the log before); 0: any.
LogInspection inspectLog(std::string_view bytes, LogKind, std::uint64_t sequence = 0);

}  // namespace sablespur::durability
