// Salted passwords of logins to data servers, derived on worker threads and kept.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "engine/workers.hpp"

namespace sablespur {

// The same password with the same salt gives the same key, so each challenge is computed once however many
// connections receive it. A computation runs to its end even if the connections that asked for it are gone: a
// server may demand more iterations than fit into the time of one login.
class SaltedPasswordCache {
 public:
  // `onDerived` is called in the loop with the challenge and its result; not after this object is gone.
  using DerivedCallback = std::function<void(const std::string& challenge, const std::string& result)>;
  SaltedPasswordCache(WorkerPool&, DerivedCallback onDerived);

  // The result for a challenge; null where it is not known (yet). Valid until the next result arrives.
  const std::string* find(const std::string& challenge) const;
  // Starts `work` for a challenge unless it is under way. False: the workers have too much to do already.
  bool derive(const std::string& challenge, std::function<std::string()> work);

 private:
  void store(const std::string& challenge, const std::string& result);

  WorkerPool& workers_;
  DerivedCallback onDerived_;
  std::map<std::string, std::string> results_;            // by challenge; bounded
  std::map<std::string, WorkerPool::Ticket> inProgress_;  // by challenge
};

}  // namespace sablespur
