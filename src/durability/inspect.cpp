#include "durability/inspect.hpp"

#include "durability/log_record.hpp"
#include "durability/version_edit.hpp"

namespace sablespur::durability {
namespace {

// leveldb/db/write_batch.cc: sequence (8), count (4), then the pairs.
constexpr std::size_t kCountOffset = 8;
constexpr std::size_t kPairsOffset = 12;
constexpr char kPutTag = 1;

struct Batch {
  std::uint64_t sequence = 0;
  std::uint64_t count = 0;
  std::uint64_t commit = 0;  // 0: its first pair is no commit number
};

std::uint64_t commitOf(std::string_view record) {
  const std::string head =
      std::string(1, kPutTag) + static_cast<char>(kCommitKey.size()) + std::string(kCommitKey);
  const std::size_t value = kPairsOffset + head.size() + 1;  // its length is one byte
  if (record.substr(kPairsOffset, head.size()) != head || record.size() < value + kCommitBytes) return 0;
  std::uint64_t commit = 0;
  for (const char byte : record.substr(value, kCommitBytes))
    commit = commit << 8 | static_cast<unsigned char>(byte);
  return commit;
}

std::optional<Batch> readBatch(std::string_view record) {
  if (record.size() < kPairsOffset) return std::nullopt;
  Batch batch;
  batch.sequence = readLittleEndian64(record, 0);
  batch.count = readLittleEndian32(record, kCountOffset);
  if (batch.count == 0) return std::nullopt;
  batch.commit = commitOf(record);
  return batch;
}

class LogInspector {
 public:
  LogInspector(std::string_view log, LogKind kind, std::uint64_t sequence) : log_(log), kind_(kind) {
    findings_.nextSequence = sequence;
  }

  LogInspection inspect() {
    while (findings_.wholeBytes < log_.size() && !onlyFillingIsLeft()) {
      const LogRecord record = readLogRecord(log_, findings_.wholeBytes);
      const char* const defect = record.defect ? record.defect : accept(record.payload);
      if (defect) {
        findings_.defect = defect;
        findings_.incompleteTail = true;
        findings_.laterRecordAt = findLaterRecord();
        break;
      }
      ++findings_.records;
      findings_.wholeBytes = record.end;
    }
    return findings_;
  }

 private:
  // The rest of a block in which no header fits.
  bool onlyFillingIsLeft() const {
    const std::size_t room = roomInLogBlock(findings_.wholeBytes);
    const std::string_view rest = log_.substr(findings_.wholeBytes);
    return room < kLogHeaderBytes && rest.size() <= room &&
           rest.find_first_not_of('\0') == std::string_view::npos;
  }

  // Takes what the record tells into the findings; null, or what is wrong with it.
  const char* accept(std::string_view record) {
    return kind_ == LogKind::Batches ? acceptBatch(record) : acceptEdit(record);
  }

  const char* acceptBatch(std::string_view record) {
    const std::optional<Batch> batch = readBatch(record);
    if (!batch) return "a record that is no batch";
    if (findings_.nextSequence != 0 && batch->sequence != findings_.nextSequence)
      return "a batch out of sequence";
    if (batch->commit == 0) return "a batch without its number";
    if (findings_.firstSequence == 0) findings_.firstSequence = batch->sequence;
    findings_.nextSequence = batch->sequence + batch->count;
    findings_.commit = batch->commit;
    return nullptr;
  }

  const char* acceptEdit(std::string_view record) {
    const std::optional<VersionEdit> edit = readVersionEdit(record);
    if (!edit) return "a record that is no edit of a version";
    findings_.lastSequence = edit->lastSequence.value_or(findings_.lastSequence);
    findings_.logNumber = edit->logNumber.value_or(findings_.logNumber);
    return nullptr;
  }

  // Any byte may begin a later record: the length by which it would be found may be what is damaged.
  std::optional<std::uint64_t> findLaterRecord() const {
    for (std::size_t offset = findings_.wholeBytes + 1; offset + kLogHeaderBytes <= log_.size(); ++offset) {
      if (!mayBeginLogRecord(log_, offset)) continue;
      const LogRecord record = readLogRecord(log_, offset);
      if (!record.defect && isLater(record.payload)) return offset;
    }
    return std::nullopt;
  }

  bool isLater(std::string_view record) const {
    if (kind_ != LogKind::Batches) return true;
    const std::optional<Batch> batch = readBatch(record);
    if (!batch || batch->commit <= findings_.commit) return false;
    return findings_.nextSequence == 0 || batch->sequence >= findings_.nextSequence;
  }

  const std::string_view log_;
  const LogKind kind_;
  LogInspection findings_;
};

}  // namespace

std::string commitNumber(std::uint64_t commit) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(commit >> shift));
  return bytes;
}

LogInspection inspectLog(std::string_view bytes, LogKind kind, std::uint64_t sequence) {
  return LogInspector(bytes, kind, sequence).inspect();
}

}  // namespace sablespur::durability
