// sablespur-lab: runs experiments with real proxies, and with stand-ins for the data servers, the
// discovery services and the clients.
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "lab/report.hpp"
#include "lab/run.hpp"
#include "lab/soak.hpp"

namespace {

using namespace sablespur::lab;
namespace fs = std::filesystem;

// Four stand-in servers and one proxy. Server s-4 is withdrawn for 10 s in every 20 s, for an hour.
constexpr const char* kDemo = R"(
[experiment]
title = demo
proxies = 1
[fleet]
groups = 1
members = 4
[load]
rate = 60
[class tour-read]
share = 93%
work_least = 5ms
work_most = 20ms
data = bounded
max_age = 200ms
repeats = safe
aim = 400ms
give_up = 1200ms
[class handset-write]
share = 7%
work_least = 10ms
work_most = 30ms
data = write
repeats = keyed
repeats_dropped_for = 2s
aim = 1s
give_up = 3s
worth = 6
[settings]
dnssd.refresh_most = 1s
[script]
from 10s every 20s until 3600s withdraw s-4
from 20s every 20s until 3600s publish s-4
)";

std::string siblingProgram(const char* self, const char* name) {
  const fs::path p = fs::path(self).parent_path() / name;
  return fs::exists(p) ? p.string() : name;
}
std::string defaultProxy(const char* self) { return siblingProgram(self, "sablespur"); }

// Runs the separate program sablespur-store-sweep: it links the store, which the lab must not link.
int storeSweep(const char* self, const std::vector<std::string>& options) {
  std::vector<std::string> words{siblingProgram(self, "sablespur-store-sweep")};
  words.insert(words.end(), options.begin(), options.end());
  std::vector<char*> argv;
  for (std::string& w : words) argv.push_back(w.data());
  argv.push_back(nullptr);
  execvp(argv[0], argv.data());
  std::fprintf(stderr, "sablespur-lab: cannot start %s: %s\n", argv[0], std::strerror(errno));
  return 1;
}

int printFaults(const std::vector<sablespur::Fault>& faults) {
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", f.text().c_str());
  return 1;
}

// Raises the descriptor limit, as this process holds the client and the server side of connections.
void raiseDescriptors() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int listExperiments(const std::string& dir) {
  std::vector<fs::path> files;
  for (const auto& entry : fs::recursive_directory_iterator(dir))
    if (entry.path().extension() == ".ini") files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  int bad = 0;
  for (const auto& f : files) {
    std::vector<sablespur::Fault> faults;
    const Experiment e = readExperiment(f.string(), faults);
    bad |= faults.empty() ? 0 : printFaults(faults);
    std::printf("%-48s %4lld s  %s\n", f.string().c_str(),
                static_cast<long long>(e.duration.count() / 1000000), e.title.c_str());
  }
  return bad;
}

int runExperiment(Experiment e, const std::string& program, std::string out, bool untilStopped) {
  if (out.empty()) out = (fs::temp_directory_path() / ("sablespur-lab-" + std::to_string(getpid()))).string();
  fs::create_directories(out);
  Run::Options o;
  o.program = program;
  o.directory = out;
  o.progress = untilStopped || isatty(2);
  o.untilStopped = untilStopped;
  Run run(e, o);
  const EventPtr interrupt(evsignal_new(
      run.loop(), SIGINT, [](evutil_socket_t, short, void* r) { static_cast<Run*>(r)->stop(); }, &run));
  event_add(interrupt.get(), nullptr);
  const Outcome outcome = run.play();
  writeReport(out, e, outcome, run.audit(), run.fleet());
  for (const auto& j : outcome.claims) {
    if (j.known)
      std::printf("%-7s %s (measured %g)\n", j.held ? "held" : "BROKEN", j.claim.text.c_str(), j.measured);
    else
      std::printf("BROKEN  %s (not measured)\n", j.claim.text.c_str());
  }
  std::size_t shown = 0;
  for (const auto& b : run.audit().broken())
    if (++shown <= 10)
      std::printf("at %.3f s, %s: %s\n", static_cast<double>(b.at.count()) / 1e6, b.rule.c_str(),
                  b.what.c_str());
  std::printf("report: %s/report.md\n", out.c_str());
  std::printf("claims: %zu held, %zu broken\n", outcome.claims.size() - outcome.brokenClaims(),
              outcome.brokenClaims());
  return outcome.brokenClaims() == 0 ? 0 : 1;
}

// Parses "3..7", or "3" for a single seed.
bool readSeeds(const std::string& text, SoakOptions& soak) {
  unsigned long long first = 0, last = 0;
  const int read = std::sscanf(text.c_str(), "%llu..%llu", &first, &last);
  if (read == 1) last = first;
  if (read < 1 || last < first) {
    std::fprintf(stderr, "--seeds '%s' is not of the form FIRST..LAST\n", text.c_str());
    return false;
  }
  soak.firstSeed = first;
  soak.lastSeed = last;
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  raiseDescriptors();
  CLI::App app{"sablespur-lab: experiments with real proxies and stand-in servers and clients",
               "sablespur-lab"};
  app.require_subcommand(1);
  std::string file, out, program = defaultProxy(argv[0]), dir = "lab/experiments";
  std::int64_t seed = -1;
  CLI::App* const running = app.add_subcommand("run", "run an experiment; exit 1 if a claim is broken");
  running->add_option("FILE", file, "experiment file (INI)")->required();
  running->add_option("--out", out, "folder for tables and charts");
  running->add_option("--seed", seed, "seed, instead of the one in the file");
  running->add_option("--proxy", program, "path of the proxy binary")->capture_default_str();
  CLI::App* const listing = app.add_subcommand("list", "list the experiments");
  listing->add_option("--dir", dir, "folder of the experiments")->capture_default_str();
  CLI::App* const demo = app.add_subcommand("demo", "run a few servers, a proxy and clients until Ctrl-C");
  demo->add_option("--proxy", program, "path of the proxy binary")->capture_default_str();
  CLI::App* const sweeping = app.add_subcommand(
      "store-sweep",
      "simulate a crash at every byte of a ledger, corrupt its sectors, and check what can be recovered");
  sweeping->allow_extras();  // its own options: --share, --seed, --threads
  SoakOptions soak;
  std::string seeds = "1..10";
  soak.directory = (fs::temp_directory_path() / "sablespur-soak").string();
  soak.program = program;
  CLI::App* const soaking =
      app.add_subcommand("soak", "seeded runs under overlapping faults; exit 1 if a rule is broken");
  const std::map<std::string, SoakKind> kinds{
      {"faults", SoakKind::Faults}, {"clocks", SoakKind::Clocks}, {"takeovers", SoakKind::Takeovers}};
  soaking->add_option("--kind", soak.kind, "faults, clocks or takeovers")
      ->transform(CLI::CheckedTransformer(kinds));
  soaking->add_option("--seeds", seeds, "FIRST..LAST")->capture_default_str();
  soaking->add_option("--jobs", soak.jobs, "number of parallel runs")
      ->capture_default_str()
      ->check(CLI::Range(1, 16));
  soaking->add_option("--out", soak.directory, "folder for settings and logs")->capture_default_str();
  soaking->add_flag("--trace", soak.trace, "the proxies log each request, attempt and health check");
  soaking->add_option("--proxy", soak.program, "path of the proxy binary")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  try {
    if (sweeping->parsed()) return storeSweep(argv[0], sweeping->remaining());
    if (listing->parsed()) return listExperiments(dir);
    if (soaking->parsed()) return readSeeds(seeds, soak) ? playSoak(soak) : 1;
    std::vector<sablespur::Fault> faults;
    Experiment e = demo->parsed() ? parseExperiment(kDemo, "demo", faults) : readExperiment(file, faults);
    if (!faults.empty()) return printFaults(faults);
    if (seed >= 0) e.seed = static_cast<std::uint64_t>(seed);
    return runExperiment(std::move(e), program, out, demo->parsed());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "sablespur-lab: %s\n", e.what());
    return 1;
  }
}
