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
  std::uint64_t commit = 0;  // 0: the first pair is not a commit number
};

std::uint64_t commitOf(std::string_view record) {
  const std::string head =
      std::string(1, kPutTag) + static_cast<char>(kCommitKey.size()) + std::string(kCommitKey);
  const std::size_t value = kPairsOffset + head.size() + 1;  // the value's length takes one byte
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
    inspection_.nextSequence = sequence;
  }

  LogInspection inspect() {
    while (inspection_.wholeBytes < log_.size() && !onlyPaddingIsLeft()) {
      const LogRecord record = readLogRecord(log_, inspection_.wholeBytes);
      const char* const defect = record.defect ? record.defect : accept(record.payload);
      if (defect) {
        inspection_.defect = defect;
        inspection_.incompleteTail = true;
        inspection_.laterRecordAt = findLaterRecord();
        break;
      }
      ++inspection_.records;
      inspection_.wholeBytes = record.end;
    }
    return inspection_;
  }

 private:
  // Whether only the zero padding at the end of a block is left, where no header fits.
  bool onlyPaddingIsLeft() const {
    const std::size_t left = bytesLeftInLogBlock(inspection_.wholeBytes);
    const std::string_view rest = log_.substr(inspection_.wholeBytes);
    return left < kLogHeaderBytes && rest.size() <= left &&
           rest.find_first_not_of('\0') == std::string_view::npos;
  }

  // Adds the record to the inspection. Returns the record's defect, or nullptr.
  const char* accept(std::string_view record) {
    return kind_ == LogKind::Batches ? acceptBatch(record) : acceptEdit(record);
  }

  const char* acceptBatch(std::string_view record) {
    const std::optional<Batch> batch = readBatch(record);
    if (!batch) return "the record is not a batch";
    if (inspection_.nextSequence != 0 && batch->sequence != inspection_.nextSequence)
      return "unexpected sequence number of a batch";
    if (batch->commit == 0) return "a batch without a commit number";
    if (inspection_.firstSequence == 0) inspection_.firstSequence = batch->sequence;
    inspection_.nextSequence = batch->sequence + batch->count;
    inspection_.commit = batch->commit;
    return nullptr;
  }

  const char* acceptEdit(std::string_view record) {
    const std::optional<VersionEdit> edit = readVersionEdit(record);
    if (!edit) return "the record is not a version edit";
    inspection_.lastSequence = edit->lastSequence.value_or(inspection_.lastSequence);
    inspection_.logNumber = edit->logNumber.value_or(inspection_.logNumber);
    return nullptr;
  }

  // Tries every offset, since the damaged part may be the length that locates the next record.
  std::optional<std::uint64_t> findLaterRecord() const {
    for (std::size_t offset = inspection_.wholeBytes + 1; offset + kLogHeaderBytes <= log_.size(); ++offset) {
      if (!mayBeginLogRecord(log_, offset)) continue;
      const LogRecord record = readLogRecord(log_, offset);
      if (!record.defect && isLater(record.payload)) return offset;
    }
    return std::nullopt;
  }

  bool isLater(std::string_view record) const {
    if (kind_ != LogKind::Batches) return true;
    const std::optional<Batch> batch = readBatch(record);
    if (!batch || batch->commit <= inspection_.commit) return false;
    return inspection_.nextSequence == 0 || batch->sequence >= inspection_.nextSequence;
  }

  const std::string_view log_;
  const LogKind kind_;
  LogInspection inspection_;
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
