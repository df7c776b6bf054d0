#include "app/cli.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "app/members.hpp"
#include "app/password.hpp"
#include "app/serve.hpp"
#include "app/status.hpp"
#include "app/store.hpp"
#include "config/config.hpp"

namespace sablespur {
namespace {

constexpr const char* kVersion = "0.2.0";
constexpr int kUsage = 2;

int byPlatform() {
  const char* const path = std::getenv("NODE_CONFIG");
  if (!path) throw BadInput("variable NODE_CONFIG is not set, and no command is given; see --help");
  Config config = readConfig(path);
  // The platform's configuration says nothing of the log.
  const char* const log = std::getenv("NODE_LOG");
  if (log && std::string_view(log) != "trace" && std::string_view(log) != "info")
    throw BadInput("variable NODE_LOG is neither info nor trace");
  if (log && std::string_view(log) == "trace") config.logLevel = LogLevel::Trace;
  const char* const control = std::getenv("NODE_CONTROL");
  if (control && *control && config.control.none()) config.control = parseAddress(control, "NODE_CONTROL");
  const char* const folder = std::getenv("TMPDIR");
  if (folder && *folder && !config.control.none())
    config.bans = std::string(folder) + "/sablespur-bans-" + config.name;
  return serve(config, [path] { return readConfig(path); });
}

// Every fault on a line of its own, so that one round of mending does.
int check(const std::string& path) {
  try {
    const Config c = readSettings(path);
    std::printf(
        "%s: good; %zu classes, %zu members known at the start, %zu client connections, %zu to data "
        "servers\n",
        path.c_str(), c.classes.size(), c.known.instances.size(), c.clientConnections, c.serverConnections);
    return 0;
  } catch (const BadSettings& e) {
    for (const Fault& f : e.faults) std::fprintf(stderr, "%s\n", f.text().c_str());
    return 1;
  }
}

}  // namespace

int commandLine(int argc, char** argv) {
  try {
    if (argc < 2) return byPlatform();
    CLI::App app{"sablespur: a proxy before replicated databases", "sablespur"};
    app.set_version_flag("--version", std::string("sablespur ") + kVersion);
    app.require_subcommand(1);
    app.footer("With no arguments it serves by the JSON file that NODE_CONFIG names.");

    std::string path;
    bool keys = false;
    MembersOptions members;
    CLI::App* const serving = app.add_subcommand("serve", "serve until SIGTERM; SIGHUP reads the file again");
    serving->add_option("--config", path, "file of settings (INI)")->required();
    CLI::App* const checking =
        app.add_subcommand("check", "say what is wrong in a file of settings: file, line, key and the fix");
    CLI::Option* const checked = checking->add_option("FILE", path, "file of settings (INI)");
    checking->add_flag("--keys", keys, "print every key with its kind, default and meaning (Markdown)")
        ->excludes(checked);
    CLI::App* const listing = app.add_subcommand("members", "show the data servers that discovery finds now");
    listing->add_option("--config", path, "file of settings (INI)")->required();
    listing->add_flag("--json", members.json, "as JSON");
    listing->add_option("--wait", members.waitSeconds, "seconds to wait for discovery")
        ->check(CLI::Range(0.1, 300.0))
        ->capture_default_str();
    StatusOptions status;
    CLI::App* const asking =
        app.add_subcommand("status", "ask a running proxy what it holds, lets in and turns away");
    asking->add_option("--config", path, "its file of settings (INI)")->required();
    asking->add_flag("--json", status.json, "as JSON");
    PasswordOptions password;
    CLI::App* const hashing = app.add_subcommand(
        "password", "make a user's line for the file of users; the password is read from standard input");
    hashing->add_option("NAME", password.user, "the user")->required();
    hashing->add_flag("--md5", password.md5,
                      "for clients that know no SCRAM, those of protocol 2.0 among them");
    hashing->add_option("--iterations", password.iterations, "of SCRAM")
        ->check(CLI::Range(4096, 1000000))
        ->capture_default_str();
    StoreOptions store;
    CLI::App* const storing = app.add_subcommand("store", "look after a store that no proxy has open");
    storing->require_subcommand(1);
    const auto storeCommand = [&](const char* name, const char* what) {
      CLI::App* const c = storing->add_subcommand(name, what);
      c->add_option("DIR", store.directory, "its directory")->required();
      c->add_flag("--json", store.json, "as JSON");
      return c;
    };
    CLI::App* const storeChecking =
        storeCommand("check", "read every record; say by file and offset what is damaged, and exit 1");
    CLI::App* const storeDumping = storeCommand("dump", "print every record, one a line");
    CLI::App* const storeCompacting = storeCommand("compact", "give back the room of what is forgotten");
    CLI::App* const storeCounting = storeCommand("stat", "count what is there");
    try {
      app.parse(argc, argv);
      if (checking->parsed() && !keys && path.empty()) throw CLI::RequiredError("FILE");
    } catch (const CLI::ParseError& e) {
      return app.exit(e) == 0 ? 0 : kUsage;
    }
    if (checking->parsed() && keys) return std::fputs(settingsPage().c_str(), stdout) < 0;
    if (checking->parsed()) return check(path);
    if (hashing->parsed()) return makePassword(password);
    if (storeChecking->parsed()) return storeCheck(store);
    if (storeDumping->parsed()) return storeDump(store);
    if (storeCompacting->parsed()) return storeCompact(store);
    if (storeCounting->parsed()) return storeStat(store);
    const Config config = readSettings(path);
    if (asking->parsed()) return showStatus(config, status);
    if (listing->parsed()) return showMembers(config, members);
    return serve(config, [path] { return readSettings(path); });
  } catch (const std::exception& e) {
    std::fprintf(stderr, "sablespur: %s\n", e.what());
    return 1;
  }
}

}  // namespace sablespur
