#include "backend/postgres/password_cache.hpp"

#include <cstddef>
#include <utility>

namespace sablespur {
namespace {

// Each data server may have its own salt; the limit bounds the memory used. A full cache is
// cleared.
constexpr std::size_t kMaxResults = 256;

}  // namespace

SaltedPasswordCache::SaltedPasswordCache(WorkerPool& workers, DerivedCallback onDerived)
    : workers_(workers), onDerived_(std::move(onDerived)) {}

const std::string* SaltedPasswordCache::find(const std::string& challenge) const {
  const auto found = results_.find(challenge);
  return found == results_.end() ? nullptr : &found->second;
}

bool SaltedPasswordCache::derive(const std::string& challenge, std::function<std::string()> work) {
  if (inProgress_.count(challenge) > 0) return true;
  auto ticket = workers_.run(std::move(work),
                             [this, challenge](const std::string& result) { store(challenge, result); });
  if (!ticket) return false;
  inProgress_.emplace(challenge, std::move(ticket));
  return true;
}

void SaltedPasswordCache::store(const std::string& challenge, const std::string& result) {
  inProgress_.erase(challenge);
  if (results_.size() >= kMaxResults) results_.clear();
  results_[challenge] = result;
  onDerived_(challenge, result);
}

}  // namespace sablespur
