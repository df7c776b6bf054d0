// From [admission] and its groups to what the door is told. Part of config's INI form, in builds with
// admission.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "admission/settings.hpp"
#include "config/keys.hpp"
#include "support/units.hpp"

namespace sablespur {

struct AdmissionContext {
  std::size_t clients = 0;  // connections that the limits leave for clients
  bool passwords = false;   // clients prove their names
  std::function<int(const std::string& title, const char* key)> line;
  std::function<void(int line, std::string where, ValueError)> fault;
  std::function<std::optional<std::string>(const std::string& name)> file;  // its text
};

// The last group is `others`, whether or not it has a section. What is wrong goes to `fault`.
std::shared_ptr<const admission::Settings> makeAdmission(const AdmissionDraft&, const AdmissionContext&);

}  // namespace sablespur
