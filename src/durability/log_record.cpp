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
  if (log.size() - offset < kLogHeaderBytes) return defective("the file ends within a header");
  const std::string_view header = log.substr(offset, kLogHeaderBytes);
  const std::size_t length =
      byteAt(header, kLengthOffset) | static_cast<std::size_t>(byteAt(header, kLengthOffset + 1)) << 8;
  const auto type = static_cast<FragmentType>(byteAt(header, kTypeOffset));
  if (type == FragmentType::Zero && length == 0) return defective("zeros in place of a record");
  if (type < FragmentType::Full || type > FragmentType::Last) return defective("no such type of record");
  if (kLogHeaderBytes + length > roomInLogBlock(offset)) return defective("a length beyond its block");
  if (log.size() - offset - kLogHeaderBytes < length) return defective("the file ends within a record");
  if (maskedCrc(log.substr(offset + kTypeOffset, length + 1)) != readLittleEndian32(header, 0))
    return defective("a checksum does not fit");
  Fragment fragment;
  fragment.type = type;
  fragment.payload = log.substr(offset + kLogHeaderBytes, length);
  return fragment;
}

bool beginsRecord(FragmentType type) { return type == FragmentType::Full || type == FragmentType::First; }
bool endsRecord(FragmentType type) { return type == FragmentType::Full || type == FragmentType::Last; }

// What is left of a block is filled with zeros where no header fits.
std::size_t skipFilling(std::string_view log, std::size_t offset) {
  const std::size_t room = roomInLogBlock(offset);
  return room < kLogHeaderBytes ? std::min(offset + room, log.size()) : offset;
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
    offset = skipFilling(log, offset);
    const Fragment fragment = readFragment(log, offset);
    record.defect = fragment.defect;
    if (!record.defect && isFirst != beginsRecord(fragment.type))
      record.defect = "a record's parts are out of order";
    if (record.defect) return record;
    record.payload += fragment.payload;
    offset += kLogHeaderBytes + fragment.payload.size();
    if (!endsRecord(fragment.type)) continue;
    record.end = offset;
    return record;
  }
}

}  // namespace sablespur::durability
