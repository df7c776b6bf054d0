// An INI settings file with the faults found in it, and where its sections and keys stand.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "support/ini.hpp"
#include "support/units.hpp"

namespace sablespur {

// The parsed file. Checks read its sections and report what is wrong; throwIfFaulty() ends the reading.
class SettingsDocument {
 public:
  // The faults of the file itself come first.
  SettingsDocument(IniFile, std::string path);

  const std::vector<IniSection>& sections() const { return file_.sections; }
  // The first section of the type without a name, or null.
  const IniSection* unnamedSection(const std::string& type) const;

  // `where` is "[section] key"; line 0 is the file as a whole.
  void report(int line, std::string where, ValueError);
  // At the key's line, or its section's where the key is missing.
  void reportKey(const IniSection&, const char* key, ValueError);
  void reportKey(const std::string& sectionType, const char* key, ValueError);
  // In a file that the settings name.
  void reportInFile(Fault);
  // Of all faults so far, those of the file itself included.
  std::size_t faultCount() const { return faults_.size(); }
  // In the order of the lines. Throws BadSettings if there is any.
  void throwIfFaulty();

  // The line of the key, or of its section where the key is missing.
  static int keyLine(const IniSection&, const char* key);
  // 0 where there is no such section.
  int keyLine(const std::string& sectionType, const char* key) const;
  int sectionLine(const std::string& type) const;
  // `title` is as IniSection::title() has it.
  int titleLine(const std::string& title) const;
  int titleKeyLine(const std::string& title, const char* key) const;

  // A path as it is opened: relative ones start from the directory of this file.
  std::string resolvePath(const std::string& path) const;

 private:
  const std::string path_;
  IniFile file_;
  std::vector<Fault> faults_;
};

// The text of a file, or nothing where it cannot be read.
std::optional<std::string> readTextFile(const std::string& path);

}  // namespace sablespur
