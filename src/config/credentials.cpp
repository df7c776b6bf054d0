// Checks the login methods of clients and data servers, and reads the files of secrets that they
// need.
#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>
#include <vector>

#ifdef SABLESPUR_AUTH
#include "auth/users.hpp"
#endif
#include "config/settings_checks.hpp"

namespace sablespur {
namespace {

bool containsTrust(const std::vector<auth::Method>& methods) {
  return std::count(methods.begin(), methods.end(), auth::Method::Trust) > 0;
}

// Reports values of `login` that contain unknown methods: fewer methods were read than the value
// has words.
void checkMethodWords(SettingsDocument& document, const char* sectionType, std::size_t methodsRead,
                      const std::string& allowed) {
  for (const IniSection& section : document.sections())
    for (const IniEntry& entry : section.entries) {
      if (section.type != sectionType || entry.key != "login") continue;
      const auto commas = std::count(entry.value.begin(), entry.value.end(), ',');
      if (static_cast<std::size_t>(commas) + 1 == methodsRead) continue;
      document.report(entry.line, section.title() + " login",
                      {"'" + entry.value + "' names what is no way to log in", "write " + allowed});
    }
}

void checkMethods(SettingsDocument& document, const Config& config) {
  const std::string withPassword = "some of scram, md5, cleartext, with commas between";
  checkMethodWords(document, "clients", config.logins.size(), "trust, or " + withPassword);
  checkMethodWords(document, "data_servers", config.serverLogins.size(), withPassword);
  if (containsTrust(config.logins) && config.logins.size() > 1)
    document.reportKey("clients", "login",
                       {"trust stands beside methods that need a password",
                        "with trust no client needs a password: write one or the other"});
  if (containsTrust(config.serverLogins))
    document.reportKey("data_servers", "login",
                       {"trust needs no word", "leave it out: without a password_file no password is sent"});
}

#ifdef SABLESPUR_AUTH
constexpr std::size_t kMaxSecretsSize = std::size_t{4} << 20;
constexpr mode_t kOtherUsersBits = 077;

// Returns the text of a file that only its owner may read. Otherwise reports an error and returns
// std::nullopt.
std::optional<std::string> readSecrets(SettingsDocument& document, const char* sectionType, const char* key,
                                       const std::string& name) {
  const auto report = [&](const char* problem, const std::string& fix) {
    document.reportKey(sectionType, key, {"'" + name + "' " + problem, fix});
    return std::nullopt;
  };
  const std::string path = document.resolvePath(name);
  std::optional<std::string> text = readTextFile(path);
  struct stat status {};
  if (!text || text->empty() || stat(path.c_str(), &status) != 0)
    return report("cannot be read or is empty", "check that it exists and may be read");
  if ((status.st_mode & kOtherUsersBits) != 0) return report("may be read by others", "chmod 600 it");
  if (text->size() > kMaxSecretsSize)
    return report("is larger than 4 MiB", "list only the users of this proxy");
  return text;
}

void loadUsers(SettingsDocument& document, SettingsDraft& draft) {
  const std::string& file = draft.files.users;
  if (file.empty()) {
    document.report(document.keyLine("clients", "login"), "[clients] users",
                    {"logins with a password need it",
                     "name the file with the lines that `sablespur password` generates"});
    return;
  }
  const auto text = readSecrets(document, "clients", "users", file);
  if (!text) return;
  std::vector<auth::Users::Fault> faults;
  draft.config.users = std::make_shared<const auth::Users>(auth::Users::parse(*text, faults));
  for (const auto& fault : faults)
    document.reportInFile(
        {file, fault.line, "", fault.problem, "generate the line by sablespur password NAME"});
}

void loadServerPassword(SettingsDocument& document, SettingsDraft& draft) {
  if (draft.files.serverPassword.empty()) return;
  if (const auto text = readSecrets(document, "data_servers", "password_file", draft.files.serverPassword))
    draft.config.serverPassword = text->substr(0, text->find_first_of("\r\n"));
}
#endif

}  // namespace

void loadCredentials(SettingsDocument& document, SettingsDraft& draft) {
  checkMethods(document, draft.config);
  const bool wanted = wantsPassword(draft.config);
#ifdef SABLESPUR_AUTH
  if (wanted) loadUsers(document, draft);
  loadServerPassword(document, draft);
#else
  if (wanted)
    document.reportKey("clients", "login",
                       {"this build has no logins with passwords", "build with SABLESPUR_AUTH"});
  if (!draft.files.serverPassword.empty())
    document.reportKey("data_servers", "password_file",
                       {"this build has no logins with passwords", "build with SABLESPUR_AUTH"});
#endif
}

}  // namespace sablespur
