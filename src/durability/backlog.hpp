// Operations whose commit failed and which still have to be recorded: they are kept in memory, in order, and
// applied once the database is open again. Pure; not thread-safe.
//
// What is dropped when it is full only makes the store stricter: a key without an outcome counts as one that
// may have been executed.
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
  static constexpr std::size_t kMaxBytes = std::size_t{4} << 20;  // of keys, ids and answers

  // An intent becomes its withdrawal, since nothing of it is ever sent; of a session the newest position is
  // kept. False: there was no room, or there was nothing to keep.
  bool add(Operation);
  bool empty() const { return operations_.empty() && positions_.empty(); }
  // The oldest operations, at most so many; they stay until drop() is called with their number.
  std::vector<Operation> oldest(std::size_t most) const;
  void drop(std::size_t count);

 private:
  std::unordered_map<std::uint64_t, std::int64_t> positions_;  // by session; come before the operations
  std::deque<Operation> operations_;
  std::size_t bytes_ = 0;
};

}  // namespace sablespur::durability
