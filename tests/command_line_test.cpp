// Tests the command line as scripts and operators use it: the --help text of each command, exit
// codes and the keys of JSON output. tests/data/command-line contains the expected texts.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "scenario.hpp"
#include "store_run.hpp"

namespace sablespur::test {
namespace {

namespace fs = std::filesystem;
using Arguments = std::vector<std::string>;

constexpr const char* kData = SABLESPUR_SOURCE "/tests/data/";

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  EXPECT_TRUE(file) << path;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

struct ProgramResult {
  int exitCode = -1;  // -1: ended by a signal
  std::string output;
};
ProgramResult runProgram(const Arguments& arguments) {
  int out = -1;
  const int pid = spawn("/nowhere", 0, out, arguments);
  ProgramResult result;
  char bytes[4096];
  for (ssize_t n; (n = ::read(out, bytes, sizeof bytes)) > 0;)
    result.output.append(bytes, static_cast<std::size_t>(n));
  close(out);
  int status = 0;
  waitpid(pid, &status, 0);
  if (WIFEXITED(status)) result.exitCode = WEXITSTATUS(status);
  return result;
}

// Collects the path of each key of the document. The elements of an array share their paths.
void collectKeys(const nlohmann::json& value, const std::string& path, std::set<std::string>& paths) {
  if (value.is_array())
    for (const nlohmann::json& element : value) collectKeys(element, path + "[]", paths);
  if (!value.is_object()) return;
  for (const auto& [key, inner] : value.items()) {
    const std::string innerPath = path.empty() ? key : path + "." + key;
    paths.insert(innerPath);
    collectKeys(inner, innerPath, paths);
  }
}
std::string keysOf(const std::string& jsonText) {
  std::set<std::string> paths;
  collectKeys(nlohmann::json::parse(jsonText), "", paths);
  std::string lines;
  for (const std::string& path : paths) lines += path + "\n";
  return lines;
}

struct HelpCase {
  const char* file;  // in tests/data/command-line, without .txt
  Arguments arguments;
};
class CommandLineHelp : public testing::TestWithParam<HelpCase> {};

TEST_P(CommandLineHelp, MatchesTheExpectedText) {
  const ProgramResult result = runProgram(GetParam().arguments);
  EXPECT_EQ(result.exitCode, 0);
  EXPECT_EQ(result.output, readFile(std::string(kData) + "command-line/" + GetParam().file + ".txt"));
}
INSTANTIATE_TEST_SUITE_P(EachCommand, CommandLineHelp,
                         testing::Values(HelpCase{"help", {"--help"}},
                                         HelpCase{"help-serve", {"serve", "--help"}},
                                         HelpCase{"help-check", {"check", "--help"}},
                                         HelpCase{"help-members", {"members", "--help"}},
                                         HelpCase{"help-status", {"status", "--help"}},
                                         HelpCase{"help-password", {"password", "--help"}},
                                         HelpCase{"help-store", {"store", "--help"}},
                                         HelpCase{"help-store-check", {"store", "check", "--help"}},
                                         HelpCase{"help-store-dump", {"store", "dump", "--help"}},
                                         HelpCase{"help-store-compact", {"store", "compact", "--help"}},
                                         HelpCase{"help-store-stat", {"store", "stat", "--help"}},
                                         HelpCase{"version", {"--version"}}),
                         [](const testing::TestParamInfo<HelpCase>& info) {
                           std::string name = info.param.file;
                           for (char& c : name)
                             if (c == '-') c = '_';
                           return name;
                         });

TEST(CommandLineExitCode, IsTwoForAnInvalidCommandLine) {
  for (const Arguments& arguments :
       {Arguments{"nonsense"}, Arguments{"--nonsense"}, Arguments{"serve"}, Arguments{"check"},
        Arguments{"check", "--keys", "file"}, Arguments{"members"}, Arguments{"status"},
        Arguments{"password"}, Arguments{"password", "name", "--iterations", "1"}, Arguments{"store"},
        Arguments{"store", "check"}, Arguments{"store", "nonsense", "dir"},
        Arguments{"members", "--config", "file", "--wait", "0"}})
    EXPECT_EQ(runProgram(arguments).exitCode, 2) << testing::PrintToString(arguments);
}

TEST(CommandLineExitCode, IsOneWithAMessageForAFailedCommand) {
  for (const Arguments& arguments :
       {Arguments{}, Arguments{"serve", "--config", "/nowhere"}, Arguments{"check", "/nowhere"},
        Arguments{"members", "--config", "/nowhere"}, Arguments{"status", "--config", "/nowhere"},
        Arguments{"store", "check", "/nowhere"}, Arguments{"store", "dump", "/nowhere"},
        Arguments{"store", "compact", "/nowhere"}, Arguments{"store", "stat", "/nowhere"}}) {
    const ProgramResult result = runProgram(arguments);
    EXPECT_EQ(result.exitCode, 1) << testing::PrintToString(arguments);
    EXPECT_NE(result.output.find('\n'), std::string::npos) << testing::PrintToString(arguments);
  }
}

struct CommandLineOutput : testing::Test {
  const TemporaryDirectory folder;
  const std::string socket = folder.path + "/status";
  const std::string store = folder.path + "/store";
  Setting everyPart() const {
    Setting s;
    s.ini = true;
    s.extraSections = "[status]\nsocket = " + socket + "\n[store]\ndirectory = " + store +
                      "\n[admission]\ndoor = yes\nrequests = fixed\nlimit = 4\n[admission_group others]\n";
    return s;
  }
  std::string settingsPath(const Setting& s) const {
    const std::string path = folder.path + "/settings.ini";
    std::ofstream(path) << settingsFile(s, 1, {2, 3});
    return path;
  }
};
const char* const kKeyedWrite = R"(
    c1 send query INSERT 1 /* id=1,c=write,d=7000,k=K1,cluster=3 */
    s1 expect query id=1
    s1 send row one
    c1 expect row one
)";

TEST_F(CommandLineOutput, CheckExitsZeroForGoodSettingsAndOneForBadOnes) {
  Setting s = everyPart();
  EXPECT_EQ(runProgram({"check", settingsPath(s)}).exitCode, 0);
  EXPECT_EQ(runProgram({"check", "--keys"}).exitCode, 0);
  s.extraSections += "[nonsense]\nkey = 1\n";
  EXPECT_EQ(runProgram({"check", settingsPath(s)}).exitCode, 1);
}

TEST_F(CommandLineOutput, StatusExitsOneWhenNoProxyIsRunning) {
  EXPECT_EQ(runProgram({"status", "--config", settingsPath(everyPart())}).exitCode, 1);
}

TEST_F(CommandLineOutput, StatusJsonHasTheExpectedKeys) {
  Scenario t(everyPart());
  t.run(kKeyedWrite);
  EXPECT_EQ(keysOf(t.status(true)), readFile(std::string(kData) + "command-line/status-keys.txt"));
}

TEST_F(CommandLineOutput, StatusJsonContainsNullForDisabledOptionalParts) {
  Setting s;
  s.ini = true;
  s.extraSections = "[status]\nsocket = " + socket + "\n";
  Scenario t(s);
  const auto page = nlohmann::json::parse(t.status(true));
  for (const char* part : {"store", "recovery", "door"}) EXPECT_TRUE(page.at(part).is_null()) << part;
  EXPECT_EQ(keysOf(page.dump()), readFile(std::string(kData) + "command-line/status-keys-plain.txt"));
}

TEST_F(CommandLineOutput, StoreCommandsPrintTheExpectedKeysAndExitZero) {
  fs::copy(std::string(kData) + "store-1", store);
  std::string all;
  for (const char* name : {"check", "stat", "compact"}) {
    const ProgramResult result = runProgram({"store", name, store, "--json"});
    EXPECT_EQ(result.exitCode, 0) << name;
    all += std::string("# ") + name + "\n" + keysOf(result.output);
  }
  EXPECT_EQ(all, readFile(std::string(kData) + "command-line/store-keys.txt"));
  EXPECT_EQ(runProgram({"store", "dump", store, "--json"}).exitCode, 0);
}

TEST_F(CommandLineOutput, CheckOfADamagedStoreExitsOneAndPrintsTheExpectedKeys) {
  fs::copy(std::string(kData) + "store-1", store);
  std::fstream log(store + "/000003.log", std::ios::in | std::ios::out | std::ios::binary);
  log.seekp(600);
  log << "damage";
  log.close();
  const ProgramResult result = runProgram({"store", "check", store, "--json"});
  EXPECT_EQ(result.exitCode, 1);
  EXPECT_EQ(keysOf(result.output), "file\ngood\nkind\noffset\nstore\nwhy\n");
}

}  // namespace
}  // namespace sablespur::test
