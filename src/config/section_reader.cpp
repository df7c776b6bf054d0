#include "config/section_reader.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "config/keys.hpp"
#include "support/nearest_word.hpp"

namespace sablespur {
namespace {

std::string join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
  return text;
}

std::string nearest(const std::string& word, const std::vector<std::string>& known) {
  return nearestWord(word, known.data(), known.data() + known.size());
}

void checkTitle(SettingsDocument& document, const IniSection& section,
                const std::vector<std::string>& types) {
  const auto info = std::find_if(sectionTable().begin(), sectionTable().end(),
                                 [&](const SectionInfo& i) { return section.type == i.type; });
  if (info == sectionTable().end()) {
    const std::string near = nearest(section.type, types);
    document.report(section.line, section.title(),
                    {"there is no such section",
                     near.empty() ? "sections are " + join(types) : "did you mean [" + near + "]?"});
  } else if (info->named && section.name.empty()) {
    document.report(section.line, section.title(), {"it needs a name", "write [" + section.type + " NAME]"});
  } else if (!info->named && !section.name.empty()) {
    document.report(section.line, section.title(), {"it takes no name", "write [" + section.type + "]"});
  }
}

// Returns the first entry of the key, or null, and reports every further entry.
const IniEntry* findEntry(SettingsDocument& document, const IniSection& section, const std::string& key) {
  const IniEntry* found = nullptr;
  for (const IniEntry& entry : section.entries) {
    if (entry.key != key) continue;
    if (found)
      document.report(entry.line, section.title() + " " + key,
                      {"it is already set on line " + std::to_string(found->line), "remove one of the two"});
    else
      found = &entry;
  }
  return found;
}

void readKey(SettingsDocument& document, const Key& key, const IniSection* section, SettingsDraft& draft) {
  const IniEntry* const entry = section ? findEntry(document, *section, key.name) : nullptr;
  const std::string title = section ? section->title() : "[" + std::string(key.section) + "]";
  const std::string where = title + " " + key.name;
  if (!entry && !key.defaultText) {
    document.report(section ? section->line : 0, where,
                    {"it is missing", "add " + std::string(key.name) + " = ... to " + title});
    return;
  }
  auto value = readValue(key, entry ? entry->value : key.defaultText);
  if (ValueError* wrong = std::get_if<ValueError>(&value))
    document.report(entry ? entry->line : 0, where, std::move(*wrong));
  else
    key.set(draft, std::get<KeyValue>(value));
}

void reportUnknownKeys(SettingsDocument& document, const IniSection& section,
                       const std::vector<std::string>& known) {
  for (const IniEntry& entry : section.entries) {
    if (std::find(known.begin(), known.end(), entry.key) != known.end()) continue;
    const std::string near = nearest(entry.key, known);
    document.report(
        entry.line, section.title() + " " + entry.key,
        {"there is no such key", near.empty() ? "keys are " + join(known) : "did you mean '" + near + "'?"});
  }
}

}  // namespace

void checkTitles(SettingsDocument& document) {
  std::vector<std::string> types;
  for (const SectionInfo& info : sectionTable()) types.emplace_back(info.type);
  std::map<std::string, int> firstLines;
  for (const IniSection& section : document.sections()) {
    checkTitle(document, section, types);
    const auto [first, isFirst] = firstLines.emplace(section.title(), section.line);
    if (!isFirst)
      document.report(section.line, section.title(),
                      {"it already occurs on line " + std::to_string(first->second), "move its keys there"});
  }
}

void readSection(SettingsDocument& document, const std::string& type, const IniSection* section,
                 SettingsDraft& draft) {
  std::vector<std::string> names;
  for (const Key& key : keyTable()) {
    if (type != key.section) continue;
    names.emplace_back(key.name);
    readKey(document, key, section, draft);
  }
  if (section) reportUnknownKeys(document, *section, names);
}

}  // namespace sablespur
