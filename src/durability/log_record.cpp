#include "durability/log_record.hpp"

#include <algorithm>

#include "durability/masked_crc.hpp"

namespace sablespur::durability {
namespace {

constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kTypeOffset = 6;

struct Fragment {
  FragmentType type = FragmentType::Zero;
  std::string_view payload;
  const char* defect = nullptr;  // null: the fragment is whole
};

unsigned char byteAt(std::string_view bytes, std::size_t offset) {
  return static_cast<unsigned char>(bytes[offset]);
}

Fragment defective(const char* defect) {
  Fragment fragment;
  fragment.defect = defect;
  return fragment;
}

Fragment readFragment(std::string_view log, std::size_t offset) {
  if (log.size() - offset < kLogHeaderBytes) return defective("the file ends within a record header");
  const std::string_view header = log.substr(offset, kLogHeaderBytes);
  const std::size_t length =
      byteAt(header, kLengthOffset) | static_cast<std::size_t>(byteAt(header, kLengthOffset + 1)) << 8;
  const auto type = static_cast<FragmentType>(byteAt(header, kTypeOffset));
  if (type == FragmentType::Zero && length == 0) return defective("zeros instead of a record");
  if (type < FragmentType::Full || type > FragmentType::Last) return defective("unknown record type");
  if (kLogHeaderBytes + length > bytesLeftInLogBlock(offset))
    return defective("record length exceeds its block");
  if (log.size() - offset - kLogHeaderBytes < length) return defective("the file ends within a record");
  if (maskedCrc(log.substr(offset + kTypeOffset, length + 1)) != readLittleEndian32(header, 0))
    return defective("checksum mismatch");
  Fragment fragment;
  fragment.type = type;
  fragment.payload = log.substr(offset + kLogHeaderBytes, length);
  return fragment;
}

bool beginsRecord(FragmentType type) { return type == FragmentType::Full || type == FragmentType::First; }
bool endsRecord(FragmentType type) { return type == FragmentType::Full || type == FragmentType::Last; }

// Skips the zero padding at the end of a block, where no header fits.
std::size_t skipPadding(std::string_view log, std::size_t offset) {
  const std::size_t left = bytesLeftInLogBlock(offset);
  return left < kLogHeaderBytes ? std::min(offset + left, log.size()) : offset;
}

}  // namespace

std::uint32_t readLittleEndian32(std::string_view bytes, std::size_t offset) {
  std::uint32_t value = 0;
  for (std::size_t k = 4; k-- > 0;) value = value << 8 | byteAt(bytes, offset + k);
  return value;
}

std::uint64_t readLittleEndian64(std::string_view bytes, std::size_t offset) {
  const std::uint64_t high = readLittleEndian32(bytes, offset + 4);
  return high << 32 | readLittleEndian32(bytes, offset);
}

bool mayBeginLogRecord(std::string_view log, std::size_t offset) {
  if (offset + kLogHeaderBytes > log.size()) return false;
  return beginsRecord(static_cast<FragmentType>(byteAt(log, offset + kTypeOffset)));
}

LogRecord readLogRecord(std::string_view log, std::size_t offset) {
  LogRecord record;
  for (bool isFirst = true;; isFirst = false) {
    offset = skipPadding(log, offset);
    const Fragment fragment = readFragment(log, offset);
    record.defect = fragment.defect;
    if (!record.defect && isFirst != beginsRecord(fragment.type))
      record.defect = "record fragments are out of order";
    if (record.defect) return record;
    record.payload += fragment.payload;
    offset += kLogHeaderBytes + fragment.payload.size();
    if (!endsRecord(fragment.type)) continue;
    record.end = offset;
    return record;
  }
}

}  // namespace sablespur::durability
