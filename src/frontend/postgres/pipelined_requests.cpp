#include "frontend/postgres/pipelined_requests.hpp"

#include <algorithm>
#include <string_view>

#include "frontend/postgres/session_common.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/statement_comment.hpp"

namespace sablespur {
namespace {

constexpr char kQuery = 'Q';
constexpr char kTerminate = 'X';
constexpr std::size_t kTypeSize = 1;
constexpr std::size_t kStartupHeaderSize = 8;  // length and code

// Copies `length` bytes; returns false if the buffer ends before them.
bool copyAt(evbuffer* input, std::size_t offset, char* to, std::size_t length) {
  evbuffer_ptr at{};
  if (evbuffer_get_length(input) < offset + length) return false;
  if (evbuffer_ptr_set(input, &at, offset, EVBUFFER_PTR_SET) != 0) return false;
  return evbuffer_copyout_from(input, &at, to, length) == static_cast<ev_ssize_t>(length);
}

struct Message {
  std::size_t length;
  std::size_t statementLength;  // at the end of a query, with its NUL; 0: another message
};

std::optional<Message> messageVersion3(evbuffer* input, std::size_t offset) {
  char bytes[postgres::kHeaderSize];
  if (!copyAt(input, offset, bytes, sizeof bytes)) return std::nullopt;
  const auto header = postgres::parseHeader(bytes);
  if (!header || header->type == kTerminate) return std::nullopt;
  const std::size_t length = sizeof bytes + header->bodySize;
  if (evbuffer_get_length(input) < offset + length) return std::nullopt;
  return Message{length, header->type == kQuery ? header->bodySize : 0};
}

std::optional<Message> messageVersion2(evbuffer* input, std::size_t offset) {
  char type = 0;
  if (!copyAt(input, offset, &type, kTypeSize) || type != kQuery) return std::nullopt;
  evbuffer_ptr from{};
  evbuffer_ptr_set(input, &from, offset, EVBUFFER_PTR_SET);
  const ev_ssize_t nul = evbuffer_search(input, "", 1, &from).pos;
  if (nul < 0) return std::nullopt;
  const std::size_t length = static_cast<std::size_t>(nul) + 1 - offset;
  return Message{length, length - kTypeSize};
}

// A startup message of protocol 3. A client may send its first query right behind it.
std::optional<Message> startupVersion3(evbuffer* input) {
  char bytes[kStartupHeaderSize];
  if (!copyAt(input, 0, bytes, sizeof bytes)) return std::nullopt;
  constexpr std::uint32_t kMajorShift = 16;
  const std::uint32_t length = postgres::readInt32(bytes);
  const std::uint32_t code = postgres::readInt32(bytes + 4);
  if (code >> kMajorShift != postgres::kVersion3 >> kMajorShift) return std::nullopt;
  if (length < sizeof bytes || length > postgres::kMaxStartup) return std::nullopt;
  if (evbuffer_get_length(input) < length) return std::nullopt;
  return Message{length, 0};
}

std::optional<Message> messageAt(evbuffer* input, PipelinedRequests::Framing framing, std::size_t offset) {
  if (framing == PipelinedRequests::Framing::Version2) return messageVersion2(input, offset);
  if (framing == PipelinedRequests::Framing::StartupVersion3 && offset == 0) return startupVersion3(input);
  return messageVersion3(input, offset);
}

// Returns the id in a statement that ends with its NUL; std::nullopt if it has no valid comment.
std::optional<RequestIdHash> requestId(evbuffer* input, std::size_t offset, std::size_t length) {
  char tail[kCommentSearchLength];
  const std::size_t tailLength = std::min(length, sizeof tail);
  if (tailLength == 0 || !copyAt(input, offset + length - tailLength, tail, tailLength)) return std::nullopt;
  if (tail[tailLength - 1] != '\0') return std::nullopt;
  const postgres::Comment comment = postgres::parseComment({tail, tailLength - 1});
  if (comment.fault) return std::nullopt;
  return hashRequestId(comment.id);
}

}  // namespace

void PipelinedRequests::scan(Time now, evbuffer* input, Framing framing) {
  scanned_ = std::max(scanned_, consumed_);
  const std::size_t available = evbuffer_get_length(input);
  while (requests_.size() < kMaxRequests && scanned_ - consumed_ < available)
    if (!scanMessage(now, input, framing, scanned_ - consumed_)) return;
}

bool PipelinedRequests::scanMessage(Time now, evbuffer* input, Framing framing, std::size_t offset) {
  const std::optional<Message> message = messageAt(input, framing, offset);
  if (!message) return false;
  const std::size_t statementAt = offset + message->length - message->statementLength;
  if (const auto id = requestId(input, statementAt, message->statementLength)) addRequest(now, *id, offset);
  scanned_ += message->length;
  return true;
}

void PipelinedRequests::addRequest(Time now, RequestIdHash id, std::size_t offset) {
  const OpenRequestIds::Reservation reservation = ids_.reserve(now, id, owner_);
  // An id that the client itself has open is reserved again when the turn of this request has come.
  if (reservation == OpenRequestIds::Reservation::AlreadyOwn) return;
  requests_.push_back({consumed_ + offset, {id, reservation == OpenRequestIds::Reservation::Granted}});
}

void PipelinedRequests::onConsumed(std::size_t bytes) {
  consumed_ += bytes;
  while (!requests_.empty() && requests_.front().position < consumed_) dropFront();
}

std::optional<PipelinedRequests::Claim> PipelinedRequests::take() {
  if (requests_.empty() || requests_.front().position != consumed_) return std::nullopt;
  const Claim claim = requests_.front().claim;
  requests_.pop_front();
  return claim;
}

void PipelinedRequests::clear() {
  while (!requests_.empty()) dropFront();
}

void PipelinedRequests::dropFront() {
  if (requests_.front().claim.isReserved) ids_.release(requests_.front().claim.id);
  requests_.pop_front();
}

}  // namespace sablespur
