// Maps the fields of an ErrorResponse to the members of an ErrorReport. Internal to this directory.
//
// PostgreSQL's documentation, "Error and Notice Message Fields".
#pragma once

#include <string>

#include "translation/terms.hpp"

namespace sablespur::postgres {

struct ErrorField {
  char letter;
  std::string translation::ErrorReport::*text;
};

// The severity, never translated into the server's language. Since 9.6.
constexpr char kNonLocalizedSeverity = 'V';

// Since 7.4, which introduced protocol 3.0.
constexpr ErrorField kFirstErrorFields[] = {
    {'S', &translation::ErrorReport::severity}, {'C', &translation::ErrorReport::code},
    {'M', &translation::ErrorReport::text},     {'D', &translation::ErrorReport::detail},
    {'H', &translation::ErrorReport::hint},     {'P', &translation::ErrorReport::position}};

// Since 9.3.
constexpr ErrorField kLaterErrorFields[] = {{'s', &translation::ErrorReport::schema},
                                            {'t', &translation::ErrorReport::table},
                                            {'c', &translation::ErrorReport::column},
                                            {'d', &translation::ErrorReport::type},
                                            {'n', &translation::ErrorReport::constraint}};

}  // namespace sablespur::postgres
