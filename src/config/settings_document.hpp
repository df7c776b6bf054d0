// An INI settings file, the line numbers of its sections and keys, and the faults found in it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "support/ini.hpp"
#include "support/units.hpp"

namespace sablespur {

// The parsed file. Checks read its sections and report errors; throwIfFaulty() throws them all at
// the end.
class SettingsDocument {
 public:
  // The faults of the parser are the first ones reported.
  SettingsDocument(IniFile, std::string path);

  const std::vector<IniSection>& sections() const { return file_.sections; }
  // The first section of the type without a name, or null.
  const IniSection* unnamedSection(const std::string& type) const;

  // Reports an error. `where` is "[section] key"; line 0 means the file as a whole.
  void report(int line, std::string where, ValueError);
  // Reports an error at the line of the key, or of its section if the key is missing.
  void reportKey(const IniSection&, const char* key, ValueError);
  void reportKey(const std::string& sectionType, const char* key, ValueError);
  // Reports an error in a file that the settings name.
  void reportInFile(Fault);
  // Returns the number of faults so far, including those of the parser.
  std::size_t faultCount() const { return faults_.size(); }
  // Throws BadSettings with all faults, ordered by line, if there are any.
  void throwIfFaulty();

  // Returns the line of the key, or of its section if the key is missing.
  static int keyLine(const IniSection&, const char* key);
  // These return 0 if there is no such section.
  int keyLine(const std::string& sectionType, const char* key) const;
  int sectionLine(const std::string& type) const;
  // `title` has the form of IniSection::title().
  int titleLine(const std::string& title) const;
  int titleKeyLine(const std::string& title, const char* key) const;

  // Resolves a relative path against the directory of this file.
  std::string resolvePath(const std::string& path) const;

 private:
  const std::string path_;
  IniFile file_;
  std::vector<Fault> faults_;
};

// Returns the text of a file, or std::nullopt if it cannot be read.
std::optional<std::string> readTextFile(const std::string& path);

}  // namespace sablespur
