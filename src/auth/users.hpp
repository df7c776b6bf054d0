// The users that may log in. The users file has one line "NAME:SECRET" for each secret.
//
// A secret has the form that PostgreSQL stores: "SCRAM-SHA-256$..." or "md5..." with 32 hexadecimal
// digits. A user may have one of each. Blank lines and lines that begin with # are skipped. The
// file contains no passwords.
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
  std::string md5;  // empty: no MD5 hash
};

class Users {
 public:
  // An invalid line of the file. `problem` never quotes a secret.
  struct Fault {
    int line;
    std::string problem;
  };

  // Parses the valid lines and adds a fault for each invalid one.
  static Users parse(std::string_view file, std::vector<Fault>& faults);

  // Returns nullptr if there is no such user. The result is valid until this object changes.
  const User* find(std::string_view name) const;
  std::size_t size() const { return users_.size(); }

  // Returns whether both were read from the same text.
  friend bool operator==(const Users& a, const Users& b) { return a.text_ == b.text_; }

 private:
  // Adds one line's secret. Returns the problem if the line is invalid.
  std::optional<std::string> add(std::string_view name, std::string_view secret);

  std::map<std::string, User, std::less<>> users_;
  std::string text_;
};

}  // namespace sablespur::auth
