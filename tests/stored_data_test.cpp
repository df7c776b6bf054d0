// Checks that every field is read from files that version 0.2 wrote, in tests/data/stored-0.2: a
// store directory, recovery snapshots and the file of suspended endpoints. These files must never
// be regenerated.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "admin/suspended_endpoints.hpp"
#include "durability/idempotency_store.hpp"
#include "recovery/snapshot.hpp"
#include "store_run.hpp"

namespace sablespur::test {
namespace {

namespace fs = std::filesystem;

const std::string kStored = SABLESPUR_SOURCE "/tests/data/stored-0.2/";

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  EXPECT_TRUE(file) << path;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// ---- the store ------------------------------------------------------------------------------------------
struct StoredStore : testing::Test {
  const TemporaryDirectory folder;
  const std::string directory = folder.path + "/store";  // a copy, since opening a store writes to it
  durability::Files files;
  StoredStore() { fs::copy(kStored + "store", directory); }
};

// store.jsonl is the output of version 0.2's `store dump --json` for this directory.
TEST_F(StoredStore, EveryRecordHasTheFieldsThatVersion02Printed) {
  std::vector<nlohmann::json> expected;
  std::istringstream lines(readFile(kStored + "store.jsonl"));
  for (std::string line; std::getline(lines, line);) expected.push_back(nlohmann::json::parse(line));
  ASSERT_EQ(expected.size(), 13u);
  std::vector<nlohmann::json> records;
  durability::dump(files, directory, [&](const nlohmann::json& record) { records.push_back(record); });
  EXPECT_EQ(nlohmann::json(records).dump(1), nlohmann::json(expected).dump(1));
}

TEST_F(StoredStore, CheckFindsNoDamage) {
  const durability::StoreStatistics statistics = durability::check(files, directory);
  EXPECT_EQ(statistics.keys, 6u);
  EXPECT_EQ(statistics.sessions, 3u);
  EXPECT_EQ(statistics.epochs, 2u);
  EXPECT_EQ(statistics.pendingKeys, 1u);
  EXPECT_EQ(statistics.responses, 2u);
  EXPECT_EQ(statistics.responseBytes, 13u);
  EXPECT_EQ(statistics.commits, 12u);
}

TEST_F(StoredStore, RestoresResponsesDispositionsAndPositions) {
  TestTime time;
  time.advance(std::chrono::seconds(60));
  durability::IdempotencyStoreSettings settings;
  settings.directory = directory;
  durability::IdempotencyStore store(files, settings, [&] { return time(); });
  EXPECT_EQ(store.recovered().epoch, 3u);
  EXPECT_EQ(store.recovered().keys, 6u);
  EXPECT_EQ(store.recovered().sessions, 3u);
  EXPECT_EQ(store.recovered().pendingKeys, 1u);
  EXPECT_FALSE(store.recovered().afterGap);
  const auto ask = [&](const char* key, const char* cls = "order", std::uint32_t group = 3) {
    return store.apply({durability::BeginKeyedRequest{{"later", key, cls, group, kWindow}}})[0];
  };
  const durability::OperationResult served = ask("served");
  EXPECT_EQ(served.disposition, durability::Disposition::Replay);
  EXPECT_EQ(served.response, "the row");
  EXPECT_EQ(served.positionMs, 1767225600010);
  const durability::OperationResult owed = ask("owed");
  EXPECT_EQ(owed.disposition, durability::Disposition::Replay);
  EXPECT_EQ(owed.response, std::string("\0\xff row", 6));
  EXPECT_EQ(owed.positionMs, 1767225610010);
  EXPECT_EQ(ask("failed").disposition, durability::Disposition::OutcomeUnknown);
  EXPECT_EQ(ask("open").disposition, durability::Disposition::OutcomeUnknown);
  EXPECT_EQ(ask("refused", "pay", 4).disposition, durability::Disposition::Execute);
  EXPECT_EQ(ask("left").disposition, durability::Disposition::Execute);
  const auto position = [&](std::uint64_t session) {
    return store.apply({durability::ReadSessionPosition{session}})[0].positionMs;
  };
  EXPECT_EQ(position(5), 1767225600010);
  EXPECT_EQ(position(9), 1767225600007);
  EXPECT_EQ(position(11), 1767225610010);
}

// ---- the recovery snapshot ------------------------------------------------------------------------------
void expectEndpoint(const recovery::EndpointRecord& read, const recovery::EndpointRecord& expected) {
  EXPECT_EQ(read.name, expected.name);
  EXPECT_EQ(read.address, expected.address);
  EXPECT_EQ(read.zone, expected.zone);
  EXPECT_EQ(read.group, expected.group);
  EXPECT_EQ(read.weight, expected.weight);
  EXPECT_EQ(read.startedMs, expected.startedMs);
  EXPECT_EQ(read.latencyUs, expected.latencyUs);
  EXPECT_EQ(read.responsesPerSecond, expected.responsesPerSecond);
  EXPECT_EQ(read.positionMs, expected.positionMs);
}
void expectPrimary(const recovery::PrimaryRecord& read, const recovery::PrimaryRecord& expected) {
  EXPECT_EQ(read.group, expected.group);
  EXPECT_EQ(read.endpoint, expected.endpoint);
  EXPECT_EQ(read.seenMs, expected.seenMs);
}

// The snapshot was written by the running program, next to its store.
TEST(StoredSnapshot, FromARunningProgramIsReadFieldByField) {
  const recovery::Snapshot read = recovery::decode(readFile(kStored + "recovery.snapshot"));
  EXPECT_EQ(read.epoch, 1u);
  EXPECT_EQ(read.sequence, 16u);
  EXPECT_EQ(read.wallMs, 1796207722037);
  ASSERT_EQ(read.endpoints.size(), 3u);
  expectEndpoint(read.endpoints[0],
                 {"s-1", "127.0.0.1:53667", "a", 3, 1, 0, 119, 0.231190065795435, 1796207721724});
  expectEndpoint(read.endpoints[1], {"s-2", "127.0.0.1:42359", "a", 3, 1, 0, 33.6180657153645,
                                     3.2378099396753592, 1796207721726});
  expectEndpoint(read.endpoints[2], {"s-3", "127.0.0.1:47489", "a", 3, 1, 0, 37.414875621540894,
                                     3.237748999824856, 1796207721726});
  ASSERT_EQ(read.primaries.size(), 1u);
  expectPrimary(read.primaries[0], {3, "s-1", 1796207721724});
}

// The snapshot was written by the encoder of version 0.2. One endpoint has a different value in
// each field, the other has empty and default values.
TEST(StoredSnapshot, WithEveryFieldSetIsReadFieldByField) {
  const recovery::Snapshot read = recovery::decode(readFile(kStored + "recovery-every-field.snapshot"));
  EXPECT_EQ(read.epoch, 4u);
  EXPECT_EQ(read.sequence, 17u);
  EXPECT_EQ(read.wallMs, 1767225600000);
  ASSERT_EQ(read.endpoints.size(), 2u);
  expectEndpoint(read.endpoints[0],
                 {"s-9", "127.0.0.9:5432", "ruwi", 3, 2.5, 1767225540000, 41250.5, 4.75, 1767225599900});
  expectEndpoint(read.endpoints[1], {"s-10", "127.0.0.10:5433", "", 4, 1, 0, 0, 0, 0});
  ASSERT_EQ(read.primaries.size(), 2u);
  expectPrimary(read.primaries[0], {3, "s-9", 1767225599800});
  expectPrimary(read.primaries[1], {4, "s-10", 1767225599700});
}

TEST(StoredSnapshot, ReencodesToTheSameBytes) {
  for (const char* name : {"recovery.snapshot", "recovery-every-field.snapshot"}) {
    const std::string bytes = readFile(kStored + name);
    EXPECT_EQ(recovery::encode(recovery::decode(bytes)), bytes) << name;
  }
}

// ---- suspended endpoints --------------------------------------------------------------------------------
TEST(StoredSuspendedEndpoints, AreReadAndReformattedToTheSameBytes) {
  const std::set<std::string> expected{"s-2", "s-3"};
  const std::string bytes = readFile(kStored + "suspended-endpoints");
  EXPECT_EQ(admin::parseSuspendedEndpoints(bytes), expected);
  EXPECT_EQ(admin::formatSuspendedEndpoints(expected), bytes);
  EXPECT_EQ(admin::SuspendedEndpoints(kStored + "suspended-endpoints").endpoints(), expected);
}

}  // namespace
}  // namespace sablespur::test
