#include "durability/backlog.hpp"

#include <algorithm>
#include <utility>

namespace sablespur::durability {
namespace {

struct TextBytes {
  std::size_t operator()(const BeginKeyedRequest& o) const {
    return o.request.key.size() + o.request.id.size();
  }
  std::size_t operator()(const RecordAttemptSent& o) const {
    return o.key.size() + o.id.size() + o.endpoint.size();
  }
  std::size_t operator()(const RecordAttemptEnd& o) const { return o.key.size() + o.id.size(); }
  std::size_t operator()(const CompleteRequest& o) const {
    return o.key.size() + o.id.size() + o.response.size();
  }
  std::size_t operator()(const RecordResponseDelivered& o) const { return o.key.size() + o.id.size(); }
  std::size_t operator()(const AbandonRequest& o) const { return o.key.size() + o.id.size(); }
  std::size_t operator()(const RecordSessionPosition&) const { return 0; }
  std::size_t operator()(const ReadSessionPosition&) const { return 0; }
};
std::size_t textBytes(const Operation& o) { return std::visit(TextBytes{}, o); }

}  // namespace

bool Backlog::add(Operation o) {
  if (std::holds_alternative<ReadSessionPosition>(o)) return false;
  if (const auto* const seen = std::get_if<RecordSessionPosition>(&o)) {
    if (positions_.size() >= kMaxSessions && positions_.count(seen->session) == 0) return false;
    std::int64_t& newest = positions_.emplace(seen->session, seen->positionMs).first->second;
    newest = std::max(newest, seen->positionMs);
    return true;
  }
  if (const auto* const intent = std::get_if<BeginKeyedRequest>(&o)) {
    AbandonRequest withdrawal{intent->request.key, intent->request.id, false};
    o = std::move(withdrawal);
  }
  const std::size_t bytes = textBytes(o);
  if (operations_.size() >= kMaxOperations || bytes_ + bytes > kMaxBytes) return false;
  bytes_ += bytes;
  operations_.push_back(std::move(o));
  return true;
}

std::vector<Operation> Backlog::oldest(std::size_t limit) const {
  std::vector<Operation> batch;
  for (const auto& [session, positionMs] : positions_) {
    if (batch.size() >= limit) return batch;
    batch.emplace_back(RecordSessionPosition{session, positionMs});
  }
  for (const Operation& o : operations_) {
    if (batch.size() >= limit) return batch;
    batch.push_back(o);
  }
  return batch;
}

void Backlog::drop(std::size_t count) {
  const std::size_t sessions = std::min(count, positions_.size());
  positions_.erase(positions_.begin(), std::next(positions_.begin(), static_cast<std::ptrdiff_t>(sessions)));
  for (std::size_t left = count - sessions; left > 0 && !operations_.empty(); --left) {
    bytes_ -= textBytes(operations_.front());
    operations_.pop_front();
  }
}

}  // namespace sablespur::durability
