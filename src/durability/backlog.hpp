// Keeps operations whose commit failed in memory, in order, until the database is open again and
// they can be applied. Pure; not thread-safe.
//
// Operations are dropped when the backlog is full. This is safe: a key whose outcome was not
// recorded counts as one that may have been executed, so the store only becomes stricter.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "durability/idempotency_store.hpp"

namespace sablespur::durability {

class Backlog {
 public:
  static constexpr std::size_t kMaxOperations = 65536;
  static constexpr std::size_t kMaxSessions = 65536;
  static constexpr std::size_t kMaxBytes = std::size_t{4} << 20;  // keys, ids, endpoints and responses

  // A BeginKeyedRequest is stored as an AbandonRequest, since a request whose intent was not
  // durable is never sent. For each session only the newest position is kept. Returns false if the
  // backlog is full or the operation is a read.
  bool add(Operation);
  bool empty() const { return operations_.empty() && positions_.empty(); }
  // Returns up to `limit` operations: session positions, then the others, oldest first. They stay
  // in the backlog until drop() is called.
  std::vector<Operation> oldest(std::size_t limit) const;
  // Removes the first `count` operations.
  void drop(std::size_t count);

 private:
  std::unordered_map<std::uint64_t, std::int64_t> positions_;  // by session; returned before operations_
  std::deque<Operation> operations_;
  std::size_t bytes_ = 0;
};

}  // namespace sablespur::durability
