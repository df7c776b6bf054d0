// Cache of salted passwords for logins to data servers, which are derived on worker threads.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "engine/workers.hpp"

namespace sablespur {

// The same password, salt and iteration count give the same key, so each challenge is computed only
// once, no matter how many connections receive it. A computation continues after the connections
// that requested it have closed, because a server may demand more iterations than fit into one
// login's timeout.
class SaltedPasswordCache {
 public:
  // Called in the event loop with a challenge and its result; never after the cache is destroyed.
  using DerivedCallback = std::function<void(const std::string& challenge, const std::string& result)>;
  SaltedPasswordCache(WorkerPool&, DerivedCallback onDerived);

  // Returns the result for a challenge, or null if it is not (yet) known. The pointer is valid
  // until the next result arrives.
  const std::string* find(const std::string& challenge) const;
  // Starts `work` for a challenge unless it is already in progress. Returns false if the workers'
  // queue is full.
  bool derive(const std::string& challenge, std::function<std::string()> work);

 private:
  void store(const std::string& challenge, const std::string& result);

  WorkerPool& workers_;
  DerivedCallback onDerived_;
  std::map<std::string, std::string> results_;            // by challenge; bounded
  std::map<std::string, WorkerPool::Ticket> inProgress_;  // by challenge
};

}  // namespace sablespur
