#include "auth/users.hpp"

namespace sablespur::auth {
namespace {

constexpr std::size_t kMostUsers = 10000, kLongestName = 63;

bool isMd5(std::string_view s) {
  return s.size() == 35 && s.substr(0, 3) == "md5" &&
         s.find_first_not_of("0123456789abcdef", 3) == std::string_view::npos;
}

}  // namespace

Users Users::parse(std::string_view file, std::vector<Fault>& faults) {
  Users all;
  all.text_ = std::string(file);
  int line = 0;
  while (!file.empty()) {
    ++line;
    const std::size_t end = std::min(file.find('\n'), file.size());
    std::string_view text = file.substr(0, end);
    file.remove_prefix(std::min(end + 1, file.size()));
    if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
    if (text.empty() || text[0] == '#') continue;
    const std::size_t colon = text.find(':');
    const std::string_view name = text.substr(0, colon),
                           secret = colon == std::string_view::npos ? "" : text.substr(colon + 1);
    if (name.empty() || name.size() > kLongestName || secret.empty()) {
      faults.push_back({line, "it is no NAME:SECRET"});
      continue;
    }
    if (all.users_.size() >= kMostUsers) {
      faults.push_back({line, "there are more than " + std::to_string(kMostUsers) + " users"});
      break;
    }
    User& u = all.users_[std::string(name)];
    const auto scram = parseVerifier(secret);
    if (!scram && !isMd5(secret))
      faults.push_back(
          {line, "the secret of '" + std::string(name) + "' is neither SCRAM-SHA-256$... nor md5..."});
    else if (scram ? u.scram.has_value() : !u.md5.empty())
      faults.push_back({line, "'" + std::string(name) + "' has such a secret already"});
    else if (scram)
      u.scram = scram;
    else
      u.md5 = std::string(secret);
  }
  return all;
}

const User* Users::find(std::string_view name) const {
  const auto it = users_.find(name);
  return it == users_.end() ? nullptr : &it->second;
}

}  // namespace sablespur::auth
