// Checked access to the fields of simdjson elements.
#pragma once

#include <simdjson.h>

#include <string>

#include "discovery/endpoint_list.hpp"

namespace sablespur {

// Returns the field. Throws BadInput naming `path` + `key` if it is missing or has another type.
template <typename T>
T jsonField(const simdjson::dom::element& of, const char* key, const std::string& path) {
  T value;
  if (const auto error = of[key].get(value))
    throw BadInput("key " + path + key + ": " +
                   (error == simdjson::NO_SUCH_FIELD ? "missing" : simdjson::error_message(error)));
  return value;
}

// Reads a list from its parsed JSON form. `path` is the prefix of the keys in error messages.
// Throws BadInput naming the key.
EndpointList readEndpointList(const simdjson::dom::element& object, const std::string& path);

}  // namespace sablespur
