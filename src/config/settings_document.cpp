#include "config/settings_document.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "config/config.hpp"

namespace sablespur {

int SettingsDocument::keyLine(const IniSection& section, const char* key) {
  for (const IniEntry& entry : section.entries)
    if (entry.key == key) return entry.line;
  return section.line;
}

SettingsDocument::SettingsDocument(IniFile file, std::string path)
    : path_(std::move(path)), file_(std::move(file)), faults_(std::move(file_.faults)) {}

const IniSection* SettingsDocument::unnamedSection(const std::string& type) const {
  for (const IniSection& section : file_.sections)
    if (section.type == type && section.name.empty()) return &section;
  return nullptr;
}

void SettingsDocument::report(int line, std::string where, ValueError wrong) {
  faults_.push_back({path_, line, std::move(where), std::move(wrong.problem), std::move(wrong.fix)});
}

void SettingsDocument::reportKey(const IniSection& section, const char* key, ValueError wrong) {
  report(keyLine(section, key), section.title() + " " + key, std::move(wrong));
}

void SettingsDocument::reportKey(const std::string& sectionType, const char* key, ValueError wrong) {
  report(keyLine(sectionType, key), "[" + sectionType + "] " + key, std::move(wrong));
}

void SettingsDocument::reportInFile(Fault fault) { faults_.push_back(std::move(fault)); }

void SettingsDocument::throwIfFaulty() {
  if (faults_.empty()) return;
  std::stable_sort(faults_.begin(), faults_.end(),
                   [](const Fault& a, const Fault& b) { return a.line < b.line; });
  throw BadSettings(std::move(faults_));
}

int SettingsDocument::keyLine(const std::string& sectionType, const char* key) const {
  for (const IniSection& section : file_.sections)
    if (section.type == sectionType) return keyLine(section, key);
  return 0;
}

int SettingsDocument::sectionLine(const std::string& type) const {
  for (const IniSection& section : file_.sections)
    if (section.type == type) return section.line;
  return 0;
}

int SettingsDocument::titleLine(const std::string& title) const {
  for (const IniSection& section : file_.sections)
    if (section.title() == title) return section.line;
  return 0;
}

int SettingsDocument::titleKeyLine(const std::string& title, const char* key) const {
  for (const IniSection& section : file_.sections)
    if (section.title() == title) return keyLine(section, key);
  return 0;
}

std::string SettingsDocument::resolvePath(const std::string& path) const {
  const std::size_t slash = path_.rfind('/');
  if (path[0] == '/' || slash == std::string::npos) return path;
  return path_.substr(0, slash + 1) + path;
}

std::optional<std::string> readTextFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) return std::nullopt;
  return text.str();
}

}  // namespace sablespur
