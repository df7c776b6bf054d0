#include "support/ini.hpp"

#include <ini.h>

#include <algorithm>

namespace sablespur {
namespace {

constexpr std::string_view kBlank = " \t\r";

struct Reading {
  std::string_view rest;
  IniFile file;
  std::string path;
  std::set<std::string> raw;
  int line = 0;

  void fault(std::string problem, std::string fix) {
    file.faults.push_back({path, line, "", std::move(problem), std::move(fix)});
  }

  // inih's source of lines, as fgets.
  char* next(char* to, int room) {
    if (rest.empty()) return nullptr;
    ++line;
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    std::string_view text = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    // Guards against indented sections, whose lines inih would take for the continuation of a value.
    text.remove_prefix(std::min(text.find_first_not_of(kBlank), text.size()));
    if (text.find('\0') != std::string_view::npos) {
      fault("a NUL byte", "this is no text file");
      text = {};
    }
    if (static_cast<int>(text.size()) > room - 2) {
      fault("longer than " + std::to_string(room - 2) + " characters", "shorten the line");
      text = {};
    }
    if (!text.empty() && text[0] == '[') {
      header(text);
    } else if (!file.sections.empty() && raw.count(file.sections.back().type) > 0) {
      const std::size_t comment = std::min(text.find(" ;"), text.size());
      std::string_view entry = text.substr(0, comment);
      while (!entry.empty() && kBlank.find(entry.back()) != std::string_view::npos) entry.remove_suffix(1);
      if (!entry.empty() && entry[0] != ';' && entry[0] != '#')
        file.sections.back().entries.push_back({"", std::string(entry), line});
      text = {};
    }
    std::copy(text.begin(), text.end(), to);
    to[text.size()] = '\n';
    to[text.size() + 1] = '\0';
    return to;
  }
  // Sections are taken down here, since inih tells of them only by their keys.
  void header(std::string_view text) {
    const std::size_t end = text.find(']');
    if (end == std::string_view::npos) return;  // inih finds fault with the line
    IniSection s;
    std::string_view title = text.substr(1, end - 1);
    while (!title.empty() && kBlank.find(title.back()) != std::string_view::npos) title.remove_suffix(1);
    const std::size_t blank = std::min(title.find_first_of(kBlank), title.size());
    s.type = std::string(title.substr(0, blank));
    title.remove_prefix(blank);
    title.remove_prefix(std::min(title.find_first_not_of(kBlank), title.size()));
    s.name = std::string(title);
    s.line = line;
    file.sections.push_back(std::move(s));
  }
};

}  // namespace

IniFile parseIni(std::string_view text, const std::string& path, const std::set<std::string>& raw) {
  Reading r;
  r.rest = text;
  r.path = path;
  r.raw = raw;
  const auto reader = [](char* to, int room, void* of) { return static_cast<Reading*>(of)->next(to, room); };
  const auto handler = [](void* of, const char*, const char* key, const char* value) {
    Reading& reading = *static_cast<Reading*>(of);
    if (reading.file.sections.empty())
      reading.fault("a key before the first section", "begin with a section such as [proxy]");
    else
      reading.file.sections.back().entries.push_back({key, value, reading.line});
    return 1;
  };
  const int bad = ini_parse_stream(reader, &r, handler, &r);
  if (bad > 0)
    r.file.faults.push_back({path, bad, "", "neither a [section] nor key = value",
                             "mend this line, then check again for more like it"});
  if (bad < 0) r.file.faults.push_back({path, 0, "", "there is no memory to read it", ""});
  return std::move(r.file);
}

}  // namespace sablespur
