#include "durability/version_edit.hpp"

namespace sablespur::durability {
namespace {

enum class Tag : std::uint64_t {
  Comparator = 1,
  LogNumber = 2,
  NextFile = 3,
  LastSequence = 4,
  CompactPointer = 5,
  DeletedFile = 6,
  NewFile = 7,
  PreviousLog = 9,
};

class EditReader {
 public:
  explicit EditReader(std::string_view record) : rest_(record) {}

  std::optional<VersionEdit> read() {
    VersionEdit edit;
    while (!rest_.empty())
      if (!readField(edit)) return std::nullopt;
    return edit;
  }

 private:
  bool readField(VersionEdit& edit) {
    const std::optional<std::uint64_t> tag = readVarint();
    if (!tag) return false;
    switch (static_cast<Tag>(*tag)) {
      case Tag::Comparator:
        return skipString();
      case Tag::LogNumber:
        return (edit.logNumber = readVarint()).has_value();
      case Tag::LastSequence:
        return (edit.lastSequence = readVarint()).has_value();
      case Tag::NextFile:
      case Tag::PreviousLog:
        return skipVarints(1);
      case Tag::CompactPointer:  // level, key
        return skipVarints(1) && skipString();
      case Tag::DeletedFile:  // level, number
        return skipVarints(2);
      case Tag::NewFile:  // level, number, size, smallest and largest key
        return skipVarints(3) && skipString() && skipString();
    }
    return false;
  }

  // Seven bits per byte, least significant first; the top bit is set if more bytes follow.
  std::optional<std::uint64_t> readVarint() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64 && !rest_.empty(); shift += 7) {
      const auto byte = static_cast<unsigned char>(rest_.front());
      rest_.remove_prefix(1);
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return value;
    }
    return std::nullopt;
  }
  bool skipVarints(int count) {
    for (int k = 0; k < count; ++k)
      if (!readVarint()) return false;
    return true;
  }
  bool skipString() {
    const std::optional<std::uint64_t> length = readVarint();
    if (!length || *length > rest_.size()) return false;
    rest_.remove_prefix(*length);
    return true;
  }

  std::string_view rest_;
};

}  // namespace

std::optional<VersionEdit> readVersionEdit(std::string_view record) { return EditReader(record).read(); }

}  // namespace sablespur::durability
