#include "auth/users.hpp"

#include <algorithm>

namespace sablespur::auth {
namespace {

constexpr std::size_t kMaxUsers = 10000;
constexpr std::size_t kMaxNameLength = 63;  // PostgreSQL's NAMEDATALEN - 1

bool isMd5(std::string_view secret) {
  constexpr std::string_view kPrefix = "md5";
  constexpr std::size_t kDigits = 32;
  return secret.size() == kPrefix.size() + kDigits && secret.substr(0, kPrefix.size()) == kPrefix &&
         secret.find_first_not_of("0123456789abcdef", kPrefix.size()) == std::string_view::npos;
}

// Removes the first line from `file` and returns it without its terminator.
std::string_view takeLine(std::string_view& file) {
  const std::size_t end = std::min(file.find('\n'), file.size());
  std::string_view line = file.substr(0, end);
  file.remove_prefix(std::min(end + 1, file.size()));
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

}  // namespace

Users Users::parse(std::string_view file, std::vector<Fault>& faults) {
  Users all;
  all.text_ = std::string(file);
  int number = 0;
  while (!file.empty()) {
    ++number;
    const std::string_view line = takeLine(file);
    if (line.empty() || line[0] == '#') continue;
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const std::string_view secret = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (name.empty() || name.size() > kMaxNameLength || secret.empty()) {
      faults.push_back({number, "it is not of the form NAME:SECRET"});
      continue;
    }
    if (all.users_.size() >= kMaxUsers) {
      faults.push_back({number, "there are more than " + std::to_string(kMaxUsers) + " users"});
      break;
    }
    if (const auto problem = all.add(name, secret)) faults.push_back({number, *problem});
  }
  return all;
}

std::optional<std::string> Users::add(std::string_view name, std::string_view secret) {
  User& user = users_[std::string(name)];
  const auto verifier = parseVerifier(secret);
  if (!verifier && !isMd5(secret))
    return "the secret of '" + std::string(name) + "' is neither SCRAM-SHA-256$... nor md5...";
  const bool repeated = verifier ? user.scram.has_value() : !user.md5.empty();
  if (repeated) return "'" + std::string(name) + "' has such a secret already";
  if (verifier)
    user.scram = verifier;
  else
    user.md5 = std::string(secret);
  return std::nullopt;
}

const User* Users::find(std::string_view name) const {
  const auto it = users_.find(name);
  return it == users_.end() ? nullptr : &it->second;
}

}  // namespace sablespur::auth
