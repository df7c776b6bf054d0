// Who may log in, from a file of lines "NAME:SECRET". A secret is what PostgreSQL keeps: "SCRAM-SHA-256$..."
// or "md5..." with 32 hexadecimal digits; a name may have one of each. Blank lines and those that begin with
// # are passed over. No password stands in the file. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "auth/scram.hpp"

namespace sablespur::auth {

struct User {
  std::optional<Verifier> scram;
  std::string md5;  // empty: none
};

class Users {
 public:
  struct Fault {
    int line;
    std::string problem;
  };
  // What is wrong goes to `faults`; secrets are never quoted in them.
  static Users parse(std::string_view file, std::vector<Fault>& faults);
  const User* find(std::string_view name) const;
  std::size_t size() const { return users_.size(); }
  friend bool operator==(const Users& a, const Users& b) { return a.text_ == b.text_; }

 private:
  std::map<std::string, User, std::less<>> users_;
  std::string text_;
};

}  // namespace sablespur::auth
