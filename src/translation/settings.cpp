#include "translation/settings.hpp"

#include <algorithm>

namespace sablespur::translation {
namespace {

bool isBlank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }
std::string lower(std::string_view text) {
  std::string s(text);
  for (char& c : s)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return s;
}
std::string_view trim(std::string_view s) {
  while (!s.empty() && isBlank(s.front())) s.remove_prefix(1);
  while (!s.empty() && (isBlank(s.back()) || s.back() == ';')) s.remove_suffix(1);
  return s;
}
std::string_view takeWord(std::string_view& from) {
  from = trim(from);
  std::size_t n = 0;
  while (n < from.size() && !isBlank(from[n]) && from[n] != '=') ++n;
  const std::string_view w = from.substr(0, n);
  from.remove_prefix(n);
  return w;
}
std::optional<bool> parseBool(const std::string& value) {
  for (const char* on : {"on", "true", "yes", "1"})
    if (value == on) return true;
  for (const char* off : {"off", "false", "no", "0"})
    if (value == off) return false;
  return std::nullopt;
}

}  // namespace

std::optional<std::pair<std::string, std::string>> parseSet(std::string_view statement) {
  std::string_view rest = statement;
  if (lower(takeWord(rest)) != "set") return std::nullopt;
  std::string name = lower(takeWord(rest));
  if (name == "session") name = lower(takeWord(rest));
  rest = trim(rest);
  if (!rest.empty() && rest[0] == '=')
    rest.remove_prefix(1);
  else if (lower(takeWord(rest)) != "to")
    return std::nullopt;
  rest = trim(rest);
  // The value is one quoted string, one word or number, or a list of words.
  if (rest.size() >= 2 && rest.front() == '\'' && rest.back() == '\'') rest = rest.substr(1, rest.size() - 2);
  if (name.empty() || rest.find_first_of("'\";\\/") != std::string_view::npos) return std::nullopt;
  return std::make_pair(std::move(name), std::string(rest));
}

std::optional<std::string> apply(SessionSettings& settings, const std::string& name,
                                 const std::string& given) {
  const std::string value = lower(given);
  const auto invalid = [&] { return "invalid value for parameter \"" + name + "\": \"" + given + "\""; };
  if (name == "standard_conforming_strings") {
    const auto on = parseBool(value);
    if (!on) return invalid();
    settings.backslashes = !*on;
    return std::nullopt;
  }
  if (name == "bytea_output") {
    if (value != "hex" && value != "escape") return invalid();
    settings.bytea = value == "hex" ? ByteaForm::Hex : ByteaForm::Escape;
    return std::nullopt;
  }
  if (name == "client_encoding" || name == "names") {
    if (value == "utf8" || value == "utf-8" || value == "unicode" || value == "sql_ascii")
      return std::nullopt;
    return "conversion between " + given + " and UTF8 is not supported here";
  }
  if (name == "datestyle")
    return value.substr(0, 3) == "iso"
               ? std::nullopt
               : std::make_optional("only ISO dates are passed on here, not " + given);
  static const char* const ignored[] = {"application_name", "extra_float_digits", "client_min_messages",
                                        "intervalstyle"};
  if (std::find(std::begin(ignored), std::end(ignored), name) != std::end(ignored)) return std::nullopt;
  return "setting \"" + name + "\" is not supported here";
}

std::optional<std::string> applyOptions(SessionSettings& settings, std::string_view options) {
  while (!(options = trim(options)).empty()) {
    std::size_t end = 0;
    while (end < options.size() && !isBlank(options[end])) ++end;
    std::string_view one = options.substr(0, end);
    options.remove_prefix(end);
    if (one == "-c") {
      options = trim(options);
      end = 0;
      while (end < options.size() && !isBlank(options[end])) ++end;
      one = options.substr(0, end);
      options.remove_prefix(end);
    } else if (one.substr(0, 2) == "-c" || one.substr(0, 2) == "--") {
      one.remove_prefix(2);
    } else {
      continue;  // command line switches that old servers accepted here; none affects translation
    }
    const std::size_t eq = one.find('=');
    if (eq == std::string_view::npos) return "an option without a value";
    std::string name = lower(one.substr(0, eq));
    std::replace(name.begin(), name.end(), '-', '_');
    if (auto why = apply(settings, name, std::string(one.substr(eq + 1)))) return why;
  }
  return std::nullopt;
}

}  // namespace sablespur::translation
