#include "app/store_command.hpp"

#include <cstdio>

#ifdef SABLESPUR_STORE
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "app/text_table.hpp"
#include "durability/idempotency_store.hpp"
#endif

namespace sablespur {

#ifdef SABLESPUR_STORE
namespace {

using Json = nlohmann::ordered_json;

// Checked first because opening a store creates a missing one.
void requireStore(const std::string& directory) {
  if (!std::filesystem::exists(directory + "/CURRENT"))
    throw std::runtime_error(directory + ": there is no store");
}

const char* kindName(durability::StoreError::Kind kind) {
  using Kind = durability::StoreError::Kind;
  switch (kind) {
    case Kind::Busy:
      return "busy";
    case Kind::Damaged:
      return "damaged";
    case Kind::Newer:
      return "newer";
    case Kind::Failed:
      break;
  }
  return "failed";
}

void printLine(const std::string& line) { std::printf("%s\n", line.c_str()); }

void printError(const StoreOptions& options, const durability::StoreError& error) {
  if (!options.json) {
    std::fprintf(stderr, "%s: %s: %s\n", options.directory.c_str(), kindName(error.kind), error.what());
    return;
  }
  const Json report{{"store", options.directory}, {"good", false},      {"kind", kindName(error.kind)},
                    {"why", error.what()},        {"file", error.file}, {"offset", error.offset}};
  printLine(report.dump());
}

// Runs a command on an existing store and prints a StoreError. Returns the exit status.
template <typename Command>
int runOnStore(const StoreOptions& options, const Command& command) {
  try {
    requireStore(options.directory);
    command();
    return 0;
  } catch (const durability::StoreError& error) {
    printError(options, error);
    return 1;
  }
}

Json statisticsJson(const StoreOptions& options, const durability::StoreStatistics& statistics) {
  return {{"store", options.directory},
          {"good", true},
          {"keys", statistics.keys},
          {"unresolved", statistics.pendingKeys},
          {"answers", statistics.responses},
          {"answer_bytes", statistics.responseBytes},
          {"answers_owed", statistics.pendingIds},
          {"sessions", statistics.sessions},
          {"starts", statistics.epochs},
          {"commits", statistics.commits},
          {"pairs", statistics.pairs},
          {"bytes_on_disk", statistics.bytesOnDisk},
          {"torn_bytes_cut_off", statistics.openResult.tornBytes}};
}

// Converts a count to the type that "%llu" of std::printf takes.
unsigned long long printable(std::uint64_t count) { return count; }

void printCheck(const StoreOptions& options, const durability::StoreStatistics& statistics) {
  std::printf("%s: good; %llu keys, %llu sessions, %llu commits, every record read\n",
              options.directory.c_str(), printable(statistics.keys), printable(statistics.sessions),
              printable(statistics.commits));
  const durability::DatabaseOpenResult& opened = statistics.openResult;
  if (opened.tornBytes == 0) return;
  std::printf(
      "a commit that was incomplete when its writer ended was cut off: %llu bytes of %s from offset "
      "%llu\n",
      printable(opened.tornBytes), opened.tornFile.c_str(), printable(opened.tornOffset));
}

void printStatistics(const Json& statistics) {
  TextRows rows{{"FIGURE", "VALUE"}};
  for (const auto& [name, value] : statistics.items())
    rows.push_back({name, value.is_string() ? value.get<std::string>() : value.dump()});
  std::fputs(formatTable(rows).c_str(), stdout);
}

// Keys and positions are arbitrary bytes from clients: invalid UTF-8 is replaced.
std::string dumpReplacing(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns the record's name and key, then its other fields as "name=value".
std::string recordLine(const nlohmann::json& record) {
  std::string line = record.at("record").get<std::string>();
  if (record.contains("key")) line += " " + record.at("key").get<std::string>();
  for (const auto& [name, value] : record.items())
    if (name != "record" && name != "key") line += " " + name + "=" + dumpReplacing(value);
  return line;
}

std::uint64_t bytesOnDisk(durability::Files& files, const std::string& directory) {
  const durability::Database database(files, directory);
  return database.bytesOnDisk();
}

}  // namespace

int storeCheck(const StoreOptions& options) {
  return runOnStore(options, [&] {
    durability::Files files;
    const durability::StoreStatistics statistics = durability::check(files, options.directory);
    if (options.json)
      printLine(statisticsJson(options, statistics).dump());
    else
      printCheck(options, statistics);
  });
}

int storeStat(const StoreOptions& options) {
  return runOnStore(options, [&] {
    durability::Files files;
    const Json statistics = statisticsJson(options, durability::check(files, options.directory));
    if (options.json)
      printLine(statistics.dump());
    else
      printStatistics(statistics);
  });
}

int storeDump(const StoreOptions& options) {
  return runOnStore(options, [&] {
    durability::Files files;
    durability::dump(files, options.directory, [&](const nlohmann::json& record) {
      printLine(options.json ? dumpReplacing(record) : recordLine(record));
    });
  });
}

int storeCompact(const StoreOptions& options) {
  return runOnStore(options, [&] {
    durability::Files files;
    const std::uint64_t before = bytesOnDisk(files, options.directory);
    durability::compact(files, options.directory);
    const std::uint64_t after = bytesOnDisk(files, options.directory);
    if (options.json)
      printLine(Json{{"store", options.directory}, {"bytes_before", before}, {"bytes_after", after}}.dump());
    else
      std::printf("%s: %llu bytes before, %llu after\n", options.directory.c_str(), printable(before),
                  printable(after));
  });
}

#else
namespace {

int reportMissing() {
  std::fputs("sablespur: this build has no store (SABLESPUR_STORE)\n", stderr);
  return 1;
}

}  // namespace

int storeCheck(const StoreOptions&) { return reportMissing(); }
int storeDump(const StoreOptions&) { return reportMissing(); }
int storeCompact(const StoreOptions&) { return reportMissing(); }
int storeStat(const StoreOptions&) { return reportMissing(); }
#endif

}  // namespace sablespur
