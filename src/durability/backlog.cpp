#include "durability/backlog.hpp"

#include <algorithm>
#include <utility>

namespace sablespur::durability {
namespace {

struct TextBytes {
  std::size_t operator()(const AskKey& o) const { return o.asked.key.size() + o.asked.id.size(); }
  std::size_t operator()(const NoteSent& o) const { return o.key.size() + o.id.size() + o.member.size(); }
  std::size_t operator()(const NoteEnded& o) const { return o.key.size() + o.id.size(); }
  std::size_t operator()(const Finish& o) const { return o.key.size() + o.id.size() + o.answer.size(); }
  std::size_t operator()(const NoteTold& o) const { return o.key.size() + o.id.size(); }
  std::size_t operator()(const NoteLeft& o) const { return o.key.size() + o.id.size(); }
  std::size_t operator()(const NoteSeen&) const { return 0; }
  std::size_t operator()(const AskSession&) const { return 0; }
};
std::size_t textBytes(const Operation& o) { return std::visit(TextBytes{}, o); }

}  // namespace

bool Backlog::add(Operation o) {
  if (std::holds_alternative<AskSession>(o)) return false;
  if (const auto* const seen = std::get_if<NoteSeen>(&o)) {
    if (positions_.size() >= kMostSessions && positions_.count(seen->session) == 0) return false;
    std::int64_t& newest = positions_.emplace(seen->session, seen->positionMs).first->second;
    newest = std::max(newest, seen->positionMs);
    return true;
  }
  if (const auto* const intent = std::get_if<AskKey>(&o)) {
    NoteLeft withdrawal{intent->asked.key, intent->asked.id, false};
    o = std::move(withdrawal);
  }
  const std::size_t bytes = textBytes(o);
  if (operations_.size() >= kMostOperations || bytes_ + bytes > kMostBytes) return false;
  bytes_ += bytes;
  operations_.push_back(std::move(o));
  return true;
}

std::vector<Operation> Backlog::oldest(std::size_t most) const {
  std::vector<Operation> part;
  for (const auto& [session, positionMs] : positions_) {
    if (part.size() >= most) return part;
    part.emplace_back(NoteSeen{session, positionMs});
  }
  for (const Operation& o : operations_) {
    if (part.size() >= most) return part;
    part.push_back(o);
  }
  return part;
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
