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

// Returns the value of the environment variable, or an empty string if it is not set.
std::string environmentVariable(const char* name) {
  const char* const value = std::getenv(name);
  return value ? value : "";
}

// Applies the settings that the platform passes in environment variables instead of its JSON file.
void applyEnvironment(Config& config) {
  if (const char* const level = std::getenv("NODE_LOG")) {
    const std::string name = level;
    if (name != "trace" && name != "info") throw BadInput("variable NODE_LOG must be info or trace");
    if (name == "trace") config.logLevel = LogLevel::Trace;
  }
  const std::string control = environmentVariable("NODE_CONTROL");
  if (!control.empty() && config.control.none()) config.control = parseAddress(control, "NODE_CONTROL");
  const std::string folder = environmentVariable("TMPDIR");
  if (folder.empty() || config.control.none()) return;
  config.suspensionsFile = folder + "/sablespur-bans-" + config.name;
  config.presenceFile = folder + "/sablespur-processes-" + config.name;
  config.handoverListFile = folder + "/sablespur-list-" + config.name;
  config.requestIdsFile = folder + "/sablespur-ids-" + config.name;
}

int serveOnPlatform() {
  const char* const path = std::getenv("NODE_CONFIG");
  if (!path) throw BadInput("variable NODE_CONFIG is not set, and no command is given; see --help");
  Config config = readConfig(path);
  applyEnvironment(config);
  return serve(config, [path] { return readConfig(path); });
}

// Prints all faults, one per line, so that they can be corrected in one round.
int checkSettings(const std::string& path) {
  try {
    const Config config = readSettings(path);
    std::printf(
        "%s: good; %zu request classes, %zu members in the known list, at most %zu client connections and "
        "%zu server connections\n",
        path.c_str(), config.classes.size(), config.known.instances.size(), config.clientConnections,
        config.serverConnections);
    return 0;
  } catch (const BadSettings& error) {
    for (const Fault& fault : error.faults) std::fprintf(stderr, "%s\n", fault.text().c_str());
    return kFailure;
  }
}

int printSettingsPage() { return std::fputs(settingsPage().c_str(), stdout) < 0 ? kFailure : 0; }

// Defines the commands with their options, parses the command line and runs the chosen command.
class CommandLine {
 public:
  CommandLine() {
    app_.set_version_flag("--version", std::string("sablespur ") + kVersion);
    app_.require_subcommand(1);
    app_.footer(
        "Without arguments, sablespur serves with the settings of the JSON file named by NODE_CONFIG.");
    // --help lists the commands in this order.
    addServe();
    addCheck();
    addMembers();
    addStatus();
    addPassword();
    addStore();
  }
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  // Returns the exit status. Exceptions of the command are passed on.
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
    CLI::App* const command = addCommand(
        app_, "serve", "run the proxy until SIGTERM or SIGINT; SIGHUP reloads the settings file", [this] {
          return serve(readSettings(settingsPath_), [this] { return readSettings(settingsPath_); });
        });
    command->add_option("--config", settingsPath_, "settings file (INI)")->required();
  }

  void addCheck() {
    check_ =
        addCommand(app_, "check", "check a settings file; report each fault with file, line, key and remedy",
                   [this] { return listKeys_ ? printSettingsPage() : checkSettings(settingsPath_); });
    CLI::Option* const file = check_->add_option("FILE", settingsPath_, "settings file (INI)");
    check_->add_flag("--keys", listKeys_, "print every key with its kind, default and meaning (Markdown)")
        ->excludes(file);
  }

  void addMembers() {
    CLI::App* const command =
        addCommand(app_, "members", "list the data servers that discovery finds",
                   [this] { return showMembers(readSettings(settingsPath_), members_); });
    command->add_option("--config", settingsPath_, "settings file (INI)")->required();
    command->add_flag("--json", members_.json, "print JSON");
    command->add_option("--wait", members_.waitSeconds, "seconds to wait for discovery")
        ->check(CLI::Range(0.1, 300.0))
        ->capture_default_str();
  }

  void addStatus() {
    CLI::App* const command =
        addCommand(app_, "status", "show the resource use, admissions and rejections of a running proxy",
                   [this] { return showStatus(readSettings(settingsPath_), status_); });
    command->add_option("--config", settingsPath_, "settings file of the running proxy (INI)")->required();
    command->add_flag("--json", status_.json, "print JSON");
  }

  void addPassword() {
    CLI::App* const command = addCommand(
        app_, "password", "print a user's line for the users file; the password is read from standard input",
        [this] { return makePassword(password_); });
    command->add_option("NAME", password_.user, "user name")->required();
    command->add_flag("--md5", password_.md5,
                      "store an MD5 hash, for clients without SCRAM support (such as those of protocol 2.0)");
    command->add_option("--iterations", password_.iterations, "SCRAM iteration count")
        ->check(CLI::Range(4096, 1000000))
        ->capture_default_str();
  }

  void addStore() {
    CLI::App* const store = app_.add_subcommand("store", "inspect or compact a store that no proxy has open");
    store->require_subcommand(1);
    addStoreCommand(*store, "check",
                    "read every record; report damage by file and offset and exit with status 1", storeCheck);
    addStoreCommand(*store, "dump", "print every record, one per line", storeDump);
    addStoreCommand(*store, "compact", "reclaim the disk space of expired records", storeCompact);
    addStoreCommand(*store, "stat", "print statistics of the store", storeStat);
  }

  void addStoreCommand(CLI::App& store, const char* name, const char* description,
                       int (*action)(const StoreOptions&)) {
    CLI::App* const command = addCommand(store, name, description, [this, action] { return action(store_); });
    command->add_option("DIR", store_.directory, "store directory")->required();
    command->add_flag("--json", store_.json, "print JSON");
  }

  CLI::App app_{"sablespur: a proxy in front of replicated databases", "sablespur"};
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
