#include "support/ini.hpp"

#include <ini.h>

#include <algorithm>
#include <utility>

namespace sablespur {
namespace {

constexpr std::string_view kBlank = " \t\r";

std::string_view trimLeft(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of(kBlank), text.size()));
  return text;
}

std::string_view trimRight(std::string_view text) {
  while (!text.empty() && kBlank.find(text.back()) != std::string_view::npos) text.remove_suffix(1);
  return text;
}

// Passes the text to inih line by line, and collects sections, entries and faults.
class LineReader {
 public:
  LineReader(std::string_view text, std::string path, const std::set<std::string>& rawTypes)
      : rest_(text), path_(std::move(path)), rawTypes_(rawTypes) {}

  // Called by inih for the next line, with the contract of fgets.
  char* readLine(char* buffer, int capacity) {
    if (rest_.empty()) return nullptr;
    ++line_;
    std::string_view text = checkedLine(takeLine(), capacity);
    if (!text.empty() && text[0] == '[') {
      beginSection(text);
    } else if (inRawSection()) {
      addRawEntry(text);
      text = {};
    }
    std::copy(text.begin(), text.end(), buffer);
    buffer[text.size()] = '\n';
    buffer[text.size() + 1] = '\0';
    return buffer;
  }

  // Called by inih for each "key = value".
  void addEntry(const char* key, const char* value) {
    if (file_.sections.empty())
      addFault("a key before the first section", "begin with a section such as [proxy]");
    else
      file_.sections.back().entries.push_back({key, value, line_});
  }

  // `status` is what inih returned: 0, the first line that it could not parse, or a negative value
  // for exhausted memory.
  IniFile finish(int status) {
    if (status > 0)
      file_.faults.push_back({path_, status, "", "neither a [section] nor key = value",
                              "correct this line, then check again: only the first such line is reported"});
    if (status < 0) file_.faults.push_back({path_, 0, "", "there is not enough memory to read it", ""});
    return std::move(file_);
  }

 private:
  void addFault(std::string problem, std::string fix) {
    file_.faults.push_back({path_, line_, "", std::move(problem), std::move(fix)});
  }

  // Returns the next line without its newline and indentation, since inih treats an indented line
  // as the continuation of a value.
  std::string_view takeLine() {
    const std::size_t end = std::min(rest_.find('\n'), rest_.size());
    const std::string_view text = rest_.substr(0, end);
    rest_.remove_prefix(std::min(end + 1, rest_.size()));
    return trimLeft(text);
  }

  // Returns the line, or reports a fault and returns an empty line if inih cannot read it. The
  // buffer must also have room for the newline and the NUL.
  std::string_view checkedLine(std::string_view text, int capacity) {
    const int maxLength = capacity - 2;
    if (text.find('\0') != std::string_view::npos) {
      addFault("a NUL byte", "this is not a text file");
      return {};
    }
    if (static_cast<int>(text.size()) > maxLength) {
      addFault("longer than " + std::to_string(maxLength) + " characters", "shorten the line");
      return {};
    }
    return text;
  }

  bool inRawSection() const {
    return !file_.sections.empty() && rawTypes_.count(file_.sections.back().type) > 0;
  }

  void addRawEntry(std::string_view text) {
    const std::size_t comment = std::min(text.find(" ;"), text.size());
    const std::string_view entry = trimRight(text.substr(0, comment));
    if (entry.empty() || entry[0] == ';' || entry[0] == '#') return;
    file_.sections.back().entries.push_back({"", std::string(entry), line_});
  }

  // Sections are collected here because inih reports a section only with a key, so an empty one
  // would be missed.
  void beginSection(std::string_view text) {
    const std::size_t end = text.find(']');
    if (end == std::string_view::npos) return;  // inih reports this line
    const std::string_view title = trimRight(text.substr(1, end - 1));
    const std::size_t blank = std::min(title.find_first_of(kBlank), title.size());
    IniSection section;
    section.type = std::string(title.substr(0, blank));
    section.name = std::string(trimLeft(title.substr(blank)));
    section.line = line_;
    file_.sections.push_back(std::move(section));
  }

  std::string_view rest_;
  const std::string path_;
  const std::set<std::string>& rawTypes_;
  IniFile file_;
  int line_ = 0;
};

char* readLine(char* buffer, int capacity, void* reader) {
  return static_cast<LineReader*>(reader)->readLine(buffer, capacity);
}

int addEntry(void* reader, const char* /*section*/, const char* key, const char* value) {
  static_cast<LineReader*>(reader)->addEntry(key, value);
  return 1;  // tells inih to continue
}

}  // namespace

IniFile parseIni(std::string_view text, const std::string& file, const std::set<std::string>& rawTypes) {
  LineReader reader(text, file, rawTypes);
  const int status = ini_parse_stream(readLine, &reader, addEntry, &reader);
  return reader.finish(status);
}

}  // namespace sablespur
