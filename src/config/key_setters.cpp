#include "config/key_setters.hpp"

#include <optional>

namespace sablespur::key_tables {
namespace {

std::optional<auth::Method> loginMethod(const std::string& name) {
  if (name == "trust") return auth::Method::Trust;
  if (name == "scram") return auth::Method::Scram;
  if (name == "md5") return auth::Method::Md5;
  if (name == "cleartext") return auth::Method::Cleartext;
  return std::nullopt;
}

}  // namespace

std::vector<auth::Method> loginMethods(const KeyValue& value) {
  std::vector<auth::Method> methods;
  for (const std::string& name : as<std::vector<std::string>>(value))
    if (const auto method = loginMethod(name)) methods.push_back(*method);
  return methods;
}

}  // namespace sablespur::key_tables
