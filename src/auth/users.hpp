// The users that may log in, from a file with a line "NAME:SECRET" for each secret. Pure.
//
// A secret is what PostgreSQL stores: "SCRAM-SHA-256$..." or "md5..." with 32 hexadecimal digits. A name may
// have one of each. Blank lines and lines that begin with # are skipped. The file holds no password.
#pragma once

#include <cstddef>
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
  // A line that is wrong. Secrets are never quoted.
  struct Fault {
    int line;
    std::string problem;
  };

  // Reads the lines that are right; each other one adds to `faults`.
  static Users parse(std::string_view file, std::vector<Fault>& faults);

  // nullptr: there is no such user. Valid while this object lives unchanged.
  const User* find(std::string_view name) const;
  std::size_t size() const { return users_.size(); }

  // Whether both were read from the same text.
  friend bool operator==(const Users& a, const Users& b) { return a.text_ == b.text_; }

 private:
  // Adds one line's secret; gives the problem where it can't.
  std::optional<std::string> add(std::string_view name, std::string_view secret);

  std::map<std::string, User, std::less<>> users_;
  std::string text_;
};

}  // namespace sablespur::auth
