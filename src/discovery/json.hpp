// Checked reading of simdjson's elements: a value that is missing or of another kind is named by its key.
#pragma once

#include <simdjson.h>

#include <string>

#include "discovery/endpoint_list.hpp"

namespace sablespur {

template <typename T>
T jsonField(const simdjson::dom::element& of, const char* key, const std::string& path) {
  T value;
  if (const auto error = of[key].get(value))
    throw BadInput("key " + path + key + ": " +
                   (error == simdjson::NO_SUCH_FIELD ? "missing" : simdjson::error_message(error)));
  return value;
}

EndpointList readEndpointList(const simdjson::dom::element& object, const std::string& path);

}  // namespace sablespur
