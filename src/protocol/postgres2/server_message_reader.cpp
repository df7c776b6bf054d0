#include "protocol/postgres2/server_message_reader.hpp"

#include <utility>

#include "protocol/postgres2/bytes.hpp"

namespace sablespur::postgres2 {
namespace {

constexpr std::size_t kMaxValue = 1 << 20;

// Codes of AuthenticationRequests with a salt, and its size in bytes.
constexpr std::uint32_t kAuthCrypt = 4;
constexpr std::uint32_t kAuthMd5 = 5;
constexpr std::size_t kCryptSaltSize = 2;
constexpr std::size_t kMd5SaltSize = 4;

// Reads the fields of a message in order. After the first incomplete or malformed field it returns
// only empty values.
class FieldReader {
 public:
  enum class Status { Ok, Incomplete, Malformed };

  explicit FieldReader(std::string_view in) : rest_(in) {}

  std::string_view bytes(std::size_t count) {
    if (!ok()) return {};
    if (rest_.size() < count) {
      status_ = Status::Incomplete;
      return {};
    }
    const std::string_view taken = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return taken;
  }

  // Reads the text up to the next NUL.
  std::string text() {
    if (!ok()) return {};
    const std::size_t end = rest_.find('\0');
    if (end == std::string_view::npos) {
      status_ = rest_.size() > kMaxText ? Status::Malformed : Status::Incomplete;
      return {};
    }
    std::string taken(rest_.substr(0, end));
    rest_.remove_prefix(end + 1);
    return taken;
  }

  std::uint16_t number16() {
    const std::string_view taken = bytes(2);
    return taken.empty() ? std::uint16_t{0} : read16(taken, 0);
  }

  std::uint32_t number32() {
    const std::string_view taken = bytes(4);
    return taken.empty() ? 0 : read32(taken, 0);
  }

  void reject() { status_ = Status::Malformed; }

  bool ok() const { return status_ == Status::Ok; }
  Status status() const { return status_; }
  std::size_t left() const { return rest_.size(); }

 private:
  std::string_view rest_;
  Status status_ = Status::Ok;
};

void readAuthentication(FieldReader& fields, Reader::Message& message) {
  message.number = fields.number32();
  if (message.number == kAuthMd5) message.text = std::string(fields.bytes(kMd5SaltSize));
  if (message.number == kAuthCrypt) message.text = std::string(fields.bytes(kCryptSaltSize));
}

void readColumns(FieldReader& fields, Reader::Message& message) {
  const std::size_t count = fields.number16();
  if (count > kMaxColumns) return fields.reject();
  for (std::size_t k = 0; k < count && fields.ok(); ++k) {
    Column column;
    column.name = fields.text();
    column.type = fields.number32();
    column.size = static_cast<std::int16_t>(fields.number16());
    column.modifier = static_cast<std::int32_t>(fields.number32());
    message.columns.push_back(std::move(column));
  }
}

void readRow(FieldReader& fields, Reader::Message& message, std::size_t columns) {
  // The length of a text value includes itself, that of a binary value does not.
  const std::uint32_t lengthSize = message.type == 'D' ? 4 : 0;
  const std::string_view bitmap = fields.bytes(bitmapSize(columns));
  for (std::size_t k = 0; k < columns && fields.ok(); ++k) {
    if ((static_cast<unsigned char>(bitmap[k / 8]) & columnMask(k)) == 0) {
      message.row.emplace_back(std::nullopt);
      continue;
    }
    const std::uint32_t length = fields.number32();
    if (!fields.ok()) return;
    if (length < lengthSize || length - lengthSize > kMaxValue) return fields.reject();
    message.row.emplace_back(std::string(fields.bytes(length - lengthSize)));
  }
}

void readBody(FieldReader& fields, Reader::Message& message, std::size_t columns) {
  switch (message.type) {
    case 'R':
      return readAuthentication(fields, message);
    case 'K':
      message.key.process = fields.number32();
      message.key.key = fields.number32();
      return;
    case 'Z':
      return;
    case 'A':
      message.number = fields.number32();
      message.text = fields.text();
      return;
    case 'C':
    case 'E':
    case 'I':
    case 'N':
    case 'P':
      message.text = fields.text();
      return;
    case 'T':
      return readColumns(fields, message);
    case 'B':
    case 'D':
      return readRow(fields, message, columns);
    default:
      return fields.reject();
  }
}

}  // namespace

std::optional<Reader::Message> Reader::take(std::string_view in, std::size_t& size, bool& malformed) {
  malformed = false;
  if (in.empty()) return std::nullopt;
  Message message;
  message.type = in[0];
  FieldReader fields(in.substr(1));
  readBody(fields, message, columns_);
  if (!fields.ok()) {
    malformed = fields.status() == FieldReader::Status::Malformed;
    return std::nullopt;
  }
  if (message.type == 'T') columns_ = message.columns.size();
  size = in.size() - fields.left();
  return message;
}

}  // namespace sablespur::postgres2
