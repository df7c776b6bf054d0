#include "durability/inspect.hpp"

#include <boost/crc.hpp>

namespace sablespur::durability {
namespace {

constexpr std::size_t kBlock = 32768, kHeader = 7;  // log_format.md
enum Type { kZero = 0, kFull = 1, kFirst = 2, kMiddle = 3, kLast = 4 };

std::uint32_t little32(const char* p) {
  std::uint32_t v = 0;
  for (int k = 3; k >= 0; --k) v = v << 8 | static_cast<unsigned char>(p[k]);
  return v;
}
std::uint64_t little64(const char* p) {
  return little32(p) | static_cast<std::uint64_t>(little32(p + 4)) << 32;
}

struct Fragment {
  Type type = kZero;
  std::string_view payload;
  const char* why = nullptr;  // null: it is whole
};

Fragment fragmentAt(std::string_view bytes, std::size_t at) {
  Fragment f;
  const std::size_t room = kBlock - at % kBlock;
  if (bytes.size() - at < kHeader) return f.why = "the file ends within a header", f;
  const char* const p = bytes.data() + at;
  const std::size_t length =
      static_cast<unsigned char>(p[4]) | static_cast<std::size_t>(static_cast<unsigned char>(p[5])) << 8;
  const int type = static_cast<unsigned char>(p[6]);
  if (type == kZero && length == 0) return f.why = "zeros in place of a record", f;
  if (type < kFull || type > kLast) return f.why = "no such type of record", f;
  if (kHeader + length > room) return f.why = "a length beyond its block", f;
  if (bytes.size() - at - kHeader < length) return f.why = "the file ends within a record", f;
  if (maskedCrc(bytes.substr(at + kHeader - 1, length + 1)) != little32(p))
    return f.why = "a checksum does not fit", f;
  f.type = static_cast<Type>(type);
  f.payload = bytes.substr(at + kHeader, length);
  return f;
}

struct Batch {
  std::uint64_t sequence = 0, count = 0, commit = 0;
};
// write_batch.cc: sequence (8), count (4), then the pairs.
std::optional<Batch> batchOf(std::string_view record) {
  if (record.size() < 12) return std::nullopt;
  Batch b{little64(record.data()), little32(record.data() + 8), 0};
  if (b.count == 0) return std::nullopt;
  const std::string head =
      std::string("\x01", 1) + static_cast<char>(kCommitKey.size()) + std::string(kCommitKey);
  const std::size_t value = 12 + head.size() + 1;  // its length is one byte
  if (record.substr(12, head.size()) == head && record.size() >= value + kCommitBytes)
    for (std::size_t k = 0; k < kCommitBytes; ++k)
      b.commit = b.commit << 8 | static_cast<unsigned char>(record[value + k]);
  return b;
}

// version_edit.cc: tags and their values, all as varints or strings with their length before them. False: it
// is none.
bool readEdit(std::string_view r, LogInspection& to) {
  const auto varint = [&](std::uint64_t& v) {
    v = 0;
    for (int shift = 0; shift < 64 && !r.empty(); shift += 7) {
      const auto byte = static_cast<unsigned char>(r.front());
      r.remove_prefix(1);
      v |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return true;
    }
    return false;
  };
  const auto string = [&] {
    std::uint64_t n = 0;
    if (!varint(n) || n > r.size()) return false;
    r.remove_prefix(n);
    return true;
  };
  std::uint64_t tag = 0, v = 0;
  while (!r.empty()) {
    if (!varint(tag)) return false;
    bool ok = false;
    switch (tag) {
      case 1:  // comparator
        ok = string();
        break;
      case 2:
        ok = varint(to.logNumber);
        break;
      case 3:  // next file
      case 9:  // previous log
        ok = varint(v);
        break;
      case 4:
        ok = varint(to.lastSequence);
        break;
      case 5:  // level, where compaction goes on
        ok = varint(v) && string();
        break;
      case 6:  // level, file that is gone
        ok = varint(v) && varint(v);
        break;
      case 7:  // level, file, size, its first and last key
        ok = varint(v) && varint(v) && varint(v) && string() && string();
        break;
      default:
        break;
    }
    if (!ok) return false;
  }
  return true;
}

struct Whole {
  std::string record;
  std::size_t end = 0;
  const char* why = nullptr;
};
// The record that begins at `at`, put together from its fragments.
Whole recordAt(std::string_view bytes, std::size_t at) {
  Whole w;
  for (bool first = true;; first = false) {
    // What is left of a block is filled with zeros where no header fits.
    if (const std::size_t room = kBlock - at % kBlock; room < kHeader) at = std::min(at + room, bytes.size());
    const Fragment f = fragmentAt(bytes, at);
    if (f.why) return w.why = f.why, w;
    if (first != (f.type == kFull || f.type == kFirst)) return w.why = "a record's parts are out of order", w;
    w.record += f.payload;
    at += kHeader + f.payload.size();
    if (f.type == kFull || f.type == kLast) return w.end = at, w;
  }
}

}  // namespace

std::string commitNumber(std::uint64_t n) {
  std::string s;
  for (int shift = 56; shift >= 0; shift -= 8) s.push_back(static_cast<char>(n >> shift));
  return s;
}

std::uint32_t maskedCrc(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;  // CRC-32C
  crc.process_bytes(bytes.data(), bytes.size());
  const std::uint32_t c = crc.checksum();
  return (c >> 15 | c << 17) + 0xa282ead8u;
}

LogInspection inspectLog(std::string_view bytes, LogKind kind, std::uint64_t sequence) {
  LogInspection i;
  i.nextSequence = sequence;
  std::size_t at = 0;
  const auto fits = [&](const Batch& b) { return i.nextSequence == 0 || b.sequence == i.nextSequence; };
  while (at < bytes.size()) {
    const std::size_t room = kBlock - at % kBlock;
    if (room < kHeader && bytes.size() - at <= room &&
        bytes.substr(at).find_first_not_of('\0') == std::string_view::npos)
      break;  // a block's filling is all that is left
    const Whole w = recordAt(bytes, at);
    i.defect = w.why ? w.why : "";
    if (!w.why && kind == LogKind::Batches) {
      const auto b = batchOf(w.record);
      if (!b)
        i.defect = "a record that is no batch";
      else if (!fits(*b))
        i.defect = "a batch out of sequence";
      else if (b->commit == 0)
        i.defect = "a batch without its number";
      if (*i.defect == '\0') {
        if (i.firstSequence == 0) i.firstSequence = b->sequence;
        i.nextSequence = b->sequence + b->count;
        i.commit = b->commit;
      }
    }
    if (!w.why && kind == LogKind::Manifest && !readEdit(w.record, i))
      i.defect = "a record that is no edit of a version";
    if (*i.defect != '\0') break;
    ++i.records;
    i.wholeBytes = at = w.end;
  }
  if (*i.defect == '\0') return i;
  i.incompleteTail = true;
  // Any byte may begin a later record: the length by which it would be found may be what is damaged.
  for (std::size_t p = i.wholeBytes + 1; p + kHeader <= bytes.size() && !i.laterRecordAt; ++p) {
    const int type = static_cast<unsigned char>(bytes[p + 6]);
    if (type != kFull && type != kFirst) continue;
    const Whole w = recordAt(bytes, p);
    if (w.why) continue;
    if (kind == LogKind::Batches) {
      const auto b = batchOf(w.record);
      if (!b || b->commit <= i.commit || (i.nextSequence != 0 && b->sequence < i.nextSequence)) continue;
    }
    i.laterRecordAt = p;
  }
  return i;
}

}  // namespace sablespur::durability
