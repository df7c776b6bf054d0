#include "app/cli.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "app/members_command.hpp"
#include "app/password_command.hpp"
#include "app/serve.hpp"
#include "app/status_command.hpp"
#include "app/store_command.hpp"
#include "config/config.hpp"

namespace sablespur {
namespace {

constexpr const char* kVersion = "0.2.0";
constexpr int kFailure = 1;
constexpr int kUsageError = 2;

// The variable's value, or an empty string.
std::string environmentVariable(const char* name) {
  const char* const value = std::getenv(name);
  return value ? value : "";
}

// What the platform's file does not hold comes from the environment.
void applyEnvironment(Config& config) {
  if (const char* const level = std::getenv("NODE_LOG")) {
    const std::string name = level;
    if (name != "trace" && name != "info") throw BadInput("variable NODE_LOG is neither info nor trace");
    if (name == "trace") config.logLevel = LogLevel::Trace;
  }
  const std::string control = environmentVariable("NODE_CONTROL");
  if (!control.empty() && config.control.none()) config.control = parseAddress(control, "NODE_CONTROL");
  const std::string folder = environmentVariable("TMPDIR");
  if (!folder.empty() && !config.control.none())
    config.suspensionsFile = folder + "/sablespur-bans-" + config.name;
}

int serveOnPlatform() {
  const char* const path = std::getenv("NODE_CONFIG");
  if (!path) throw BadInput("variable NODE_CONFIG is not set, and no command is given; see --help");
  Config config = readConfig(path);
  applyEnvironment(config);
  return serve(config, [path] { return readConfig(path); });
}

// Prints every fault on a line of its own, so that one round of corrections is enough.
int checkSettings(const std::string& path) {
  try {
    const Config config = readSettings(path);
    std::printf(
        "%s: good; %zu classes, %zu members known at the start, %zu client connections, %zu to data "
        "servers\n",
        path.c_str(), config.classes.size(), config.known.instances.size(), config.clientConnections,
        config.serverConnections);
    return 0;
  } catch (const BadSettings& error) {
    for (const Fault& fault : error.faults) std::fprintf(stderr, "%s\n", fault.text().c_str());
    return kFailure;
  }
}

int printSettingsPage() { return std::fputs(settingsPage().c_str(), stdout) < 0 ? kFailure : 0; }

// The commands, their options, and what each does.
class CommandLine {
 public:
  CommandLine() {
    app_.set_version_flag("--version", std::string("sablespur ") + kVersion);
    app_.require_subcommand(1);
    app_.footer("With no arguments it serves by the JSON file that NODE_CONFIG names.");
    // In the order in which --help lists them.
    addServe();
    addCheck();
    addMembers();
    addStatus();
    addPassword();
    addStore();
  }
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  // Returns the exit status. Throws what the command throws.
  int run(int argc, char** argv) {
    try {
      app_.parse(argc, argv);
      if (check_->parsed() && !listKeys_ && settingsPath_.empty()) throw CLI::RequiredError("FILE");
    } catch (const CLI::ParseError& error) {
      return app_.exit(error) == 0 ? 0 : kUsageError;
    }
    for (const auto& [command, action] : actions_)
      if (command->parsed()) return action();
    return kUsageError;
  }

 private:
  using Action = std::function<int()>;

  CLI::App* addCommand(CLI::App& parent, const char* name, const char* description, Action action) {
    CLI::App* const command = parent.add_subcommand(name, description);
    actions_.emplace_back(command, std::move(action));
    return command;
  }

  void addServe() {
    CLI::App* const command =
        addCommand(app_, "serve", "serve until SIGTERM; SIGHUP reads the file again", [this] {
          return serve(readSettings(settingsPath_), [this] { return readSettings(settingsPath_); });
        });
    command->add_option("--config", settingsPath_, "file of settings (INI)")->required();
  }

  void addCheck() {
    check_ = addCommand(app_, "check", "say what is wrong in a file of settings: file, line, key and the fix",
                        [this] { return listKeys_ ? printSettingsPage() : checkSettings(settingsPath_); });
    CLI::Option* const file = check_->add_option("FILE", settingsPath_, "file of settings (INI)");
    check_->add_flag("--keys", listKeys_, "print every key with its kind, default and meaning (Markdown)")
        ->excludes(file);
  }

  void addMembers() {
    CLI::App* const command =
        addCommand(app_, "members", "show the data servers that discovery finds now",
                   [this] { return showMembers(readSettings(settingsPath_), members_); });
    command->add_option("--config", settingsPath_, "file of settings (INI)")->required();
    command->add_flag("--json", members_.json, "as JSON");
    command->add_option("--wait", members_.waitSeconds, "seconds to wait for discovery")
        ->check(CLI::Range(0.1, 300.0))
        ->capture_default_str();
  }

  void addStatus() {
    CLI::App* const command =
        addCommand(app_, "status", "ask a running proxy what it holds, lets in and turns away",
                   [this] { return showStatus(readSettings(settingsPath_), status_); });
    command->add_option("--config", settingsPath_, "its file of settings (INI)")->required();
    command->add_flag("--json", status_.json, "as JSON");
  }

  void addPassword() {
    CLI::App* const command =
        addCommand(app_, "password",
                   "make a user's line for the file of users; the password is read from standard input",
                   [this] { return makePassword(password_); });
    command->add_option("NAME", password_.user, "the user")->required();
    command->add_flag("--md5", password_.md5,
                      "for clients that know no SCRAM, those of protocol 2.0 among them");
    command->add_option("--iterations", password_.iterations, "of SCRAM")
        ->check(CLI::Range(4096, 1000000))
        ->capture_default_str();
  }

  void addStore() {
    CLI::App* const store = app_.add_subcommand("store", "look after a store that no proxy has open");
    store->require_subcommand(1);
    addStoreCommand(*store, "check", "read every record; say by file and offset what is damaged, and exit 1",
                    storeCheck);
    addStoreCommand(*store, "dump", "print every record, one a line", storeDump);
    addStoreCommand(*store, "compact", "give back the room of what is forgotten", storeCompact);
    addStoreCommand(*store, "stat", "count what is there", storeStat);
  }

  void addStoreCommand(CLI::App& store, const char* name, const char* description,
                       int (*action)(const StoreOptions&)) {
    CLI::App* const command = addCommand(store, name, description, [this, action] { return action(store_); });
    command->add_option("DIR", store_.directory, "its directory")->required();
    command->add_flag("--json", store_.json, "as JSON");
  }

  CLI::App app_{"sablespur: a proxy before replicated databases", "sablespur"};
  CLI::App* check_ = nullptr;
  std::string settingsPath_;
  bool listKeys_ = false;
  MembersOptions members_;
  StatusOptions status_;
  PasswordOptions password_;
  StoreOptions store_;
  std::vector<std::pair<CLI::App*, Action>> actions_;
};

}  // namespace

int commandLine(int argc, char** argv) {
  try {
    if (argc < 2) return serveOnPlatform();
    return CommandLine().run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "sablespur: %s\n", error.what());
    return kFailure;
  }
}

}  // namespace sablespur
