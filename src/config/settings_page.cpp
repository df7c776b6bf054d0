// Generates the operators' page of settings from the key table.
#include <sstream>

#include "config/keys.hpp"

namespace sablespur {
namespace {

const char* kindName(KeyKind kind) {
  switch (kind) {
    case KeyKind::Address:
      return "address";
    case KeyKind::Addresses:
      return "addresses";
    case KeyKind::Duration:
      return "time";
    case KeyKind::Size:
      return "size";
    case KeyKind::Count:
      return "whole number";
    case KeyKind::Number:
      return "number";
    case KeyKind::Share:
      return "share";
    case KeyKind::Flag:
      return "yes or no";
    case KeyKind::Choice:
      return "choice";
    case KeyKind::Words:
      return "words";
    case KeyKind::Hex:
      return "hexadecimal";
    case KeyKind::Domain:
      return "domain name";
    case KeyKind::Text:
      break;
  }
  return "text";
}

std::string defaultOf(const Key& key) {
  if (!key.defaultText) return "required";
  const std::string text = key.defaultText;
  return text.empty() ? "none" : "`" + text + "`";
}

std::string boundsOf(const Key& key) {
  if (key.kind == KeyKind::Choice) return "`" + std::string(key.choices) + "`";
  if (!key.bounds) return "";
  return writeBound(key.kind, key.bounds->min) + " to " + writeBound(key.kind, key.bounds->max);
}

}  // namespace

std::string settingsPage() {
  std::ostringstream page;
  for (const SectionInfo& section : sectionTable()) {
    page << "## [" << section.type << (section.named ? " NAME" : "") << "]\n\n"
         << section.description
         << "\n\n| key | kind | default | bounds | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const Key& key : keyTable()) {
      if (std::string(key.section) != section.type) continue;
      page << "| `" << key.name << "` | " << kindName(key.kind) << " | " << defaultOf(key) << " | "
           << boundsOf(key) << " | " << key.description << " |\n";
    }
    page << "\n";
  }
  return page.str();
}

}  // namespace sablespur
