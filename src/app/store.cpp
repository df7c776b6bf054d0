#include "app/store.hpp"

#include <cstdio>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "app/table.hpp"
#ifdef SABLESPUR_STORE
#include "durability/idempotency_store.hpp"
#endif

namespace sablespur {

#ifdef SABLESPUR_STORE
namespace {

using Json = nlohmann::ordered_json;

// Guards against making a store where there is none.
void exists(const std::string& directory) {
  if (!std::filesystem::exists(directory + "/CURRENT"))
    throw std::runtime_error(directory + ": there is no store");
}
const char* kindName(durability::StoreError::Kind k) {
  constexpr const char* kNames[] = {"busy", "damaged", "newer", "failed"};
  return kNames[static_cast<int>(k)];
}
// The one way in which all four end badly.
template <typename Work>
int guarded(const StoreOptions& o, Work work) {
  try {
    exists(o.directory);
    work();
    return 0;
  } catch (const durability::StoreError& e) {
    if (o.json)
      std::printf("%s\n", Json{{"store", o.directory},
                               {"good", false},
                               {"kind", kindName(e.kind)},
                               {"why", e.what()},
                               {"file", e.file},
                               {"offset", e.offset}}
                              .dump()
                              .c_str());
    else
      std::fprintf(stderr, "%s: %s: %s\n", o.directory.c_str(), kindName(e.kind), e.what());
    return 1;
  }
}
Json figures(const StoreOptions& o, const durability::StoreStatistics& c) {
  return {{"store", o.directory},
          {"good", true},
          {"keys", c.keys},
          {"unresolved", c.pendingKeys},
          {"answers", c.responses},
          {"answer_bytes", c.responseBytes},
          {"answers_owed", c.pendingIds},
          {"sessions", c.sessions},
          {"starts", c.epochs},
          {"commits", c.commits},
          {"pairs", c.pairs},
          {"bytes_on_disk", c.bytesOnDisk},
          {"torn_bytes_cut_off", c.openResult.tornBytes}};
}

}  // namespace

int storeCheck(const StoreOptions& o) {
  return guarded(o, [&] {
    durability::Files files;
    const durability::StoreStatistics c = durability::check(files, o.directory);
    if (o.json) {
      std::printf("%s\n", figures(o, c).dump().c_str());
      return;
    }
    std::printf("%s: good; %llu keys, %llu sessions, %llu commits, every record read\n", o.directory.c_str(),
                static_cast<unsigned long long>(c.keys), static_cast<unsigned long long>(c.sessions),
                static_cast<unsigned long long>(c.commits));
    if (c.openResult.tornBytes > 0)
      std::printf(
          "a commit that was under way when its writer ended was cut off: %llu bytes of %s from offset "
          "%llu\n",
          static_cast<unsigned long long>(c.openResult.tornBytes), c.openResult.tornFile.c_str(),
          static_cast<unsigned long long>(c.openResult.tornOffset));
  });
}
int storeStat(const StoreOptions& o) {
  return guarded(o, [&] {
    durability::Files files;
    const Json j = figures(o, durability::check(files, o.directory));
    if (o.json) {
      std::printf("%s\n", j.dump().c_str());
      return;
    }
    std::vector<std::vector<std::string>> rows{{"FIGURE", "VALUE"}};
    for (const auto& [name, value] : j.items())
      rows.push_back({name, value.is_string() ? value.get<std::string>() : value.dump()});
    std::fputs(table(rows).c_str(), stdout);
  });
}
int storeDump(const StoreOptions& o) {
  return guarded(o, [&] {
    durability::Files files;
    durability::dump(files, o.directory, [&](const nlohmann::json& j) {
      if (o.json) {
        std::printf("%s\n", j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
        return;
      }
      // The name first, then what is told of it.
      std::string line = j.at("record").get<std::string>();
      if (j.contains("key")) line += " " + j.at("key").get<std::string>();
      for (const auto& [name, value] : j.items())
        if (name != "record" && name != "key")
          line += " " + name + "=" + value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
      std::printf("%s\n", line.c_str());
    });
  });
}
int storeCompact(const StoreOptions& o) {
  return guarded(o, [&] {
    durability::Files files;
    std::uint64_t before = 0, after = 0;
    {
      durability::Database db(files, o.directory);
      before = db.bytesOnDisk();
    }
    durability::compact(files, o.directory);
    {
      durability::Database db(files, o.directory);
      after = db.bytesOnDisk();
    }
    if (o.json)
      std::printf(
          "%s\n",
          Json{{"store", o.directory}, {"bytes_before", before}, {"bytes_after", after}}.dump().c_str());
    else
      std::printf("%s: %llu bytes before, %llu after\n", o.directory.c_str(),
                  static_cast<unsigned long long>(before), static_cast<unsigned long long>(after));
  });
}
#else
namespace {
int none() {
  std::fputs("sablespur: this build has no store (SABLESPUR_STORE)\n", stderr);
  return 1;
}
}  // namespace
int storeCheck(const StoreOptions&) { return none(); }
int storeDump(const StoreOptions&) { return none(); }
int storeCompact(const StoreOptions&) { return none(); }
int storeStat(const StoreOptions&) { return none(); }
#endif

}  // namespace sablespur
