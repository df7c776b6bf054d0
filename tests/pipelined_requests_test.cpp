// Requests that wait in a client's input buffer, and the ids that they hold.
#include "frontend/postgres/pipelined_requests.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "engine/event.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur {
namespace {

using namespace std::chrono_literals;
using Framing = PipelinedRequests::Framing;

std::string statement(const std::string& id) { return "SELECT 1 /* id=" + id + ",c=read,cluster=3 */"; }

struct PipelinedRequestsTest : testing::Test {
  OpenRequestIds ids;
  const int owner = 0;
  PipelinedRequests requests{ids, &owner};
  Buffer input = newBuffer();

  void receive(const std::string& bytes, Framing framing = Framing::Version3) {
    append(input.get(), bytes);
    requests.scan(0s, input.get(), framing);
  }
  void consume(std::size_t bytes) {
    evbuffer_drain(input.get(), bytes);
    requests.onConsumed(bytes);
  }
};

// Guards against an id that becomes known late, or not at all, where a message is cut.
TEST_F(PipelinedRequestsTest, AnIdIsReservedWithTheLastByteOfItsRequest) {
  struct Form {
    Framing framing;
    std::string first;
    std::string second;
  };
  const std::string version2 = "Q" + statement("a") + std::string(1, '\0');
  const std::vector<Form> forms = {
      {Framing::Version3, postgres::query("SET x = 1"), postgres::query(statement("a"))},
      {Framing::Version2, "QSET x = 1" + std::string(1, '\0'), version2},
      {Framing::StartupVersion3, postgres::startup("api", "ledger"), postgres::query(statement("a"))}};
  for (const Form& form : forms) {
    PipelinedRequests own(ids, &form);
    const Buffer buffer = newBuffer();
    for (const char byte : form.first + form.second) {
      EXPECT_EQ(own.size(), 0u);
      append(buffer.get(), std::string(1, byte));
      own.scan(0s, buffer.get(), form.framing);
    }
    EXPECT_EQ(own.size(), 1u);
    evbuffer_drain(buffer.get(), form.first.size());
    own.onConsumed(form.first.size());
    EXPECT_TRUE(own.take()->isReserved);
    ids.release(hashRequestId("a"));
  }
}

// Guards against ids that stay reserved for requests which are never processed.
TEST_F(PipelinedRequestsTest, IdsOfRemovedRequestsAreFree) {
  const std::string first = postgres::query(statement("a"));
  receive(first + postgres::query(statement("b")) + postgres::query(statement("c")));
  EXPECT_EQ(ids.size(), 3u);
  consume(first.size());
  EXPECT_EQ(ids.size(), 2u) << "removed without having been taken";
  requests.clear();
  EXPECT_EQ(ids.size(), 0u);
}

// Guards against memory that grows with each small request of one client.
TEST_F(PipelinedRequestsTest, HoldsABoundedNumberOfIdsAndContinuesBehindThem) {
  const std::size_t count = PipelinedRequests::kMaxRequests + 1;
  std::string all;
  for (std::size_t k = 0; k < count; ++k) all += postgres::query(statement(std::to_string(100000 + k)));
  receive(all);
  EXPECT_EQ(requests.size(), PipelinedRequests::kMaxRequests);
  EXPECT_TRUE(requests.take());
  consume(all.size() / count);
  receive("");
  EXPECT_EQ(requests.size(), PipelinedRequests::kMaxRequests);
}

// Guards against memory that grows with clients that send a request under a new id and leave.
TEST(OpenRequestIdsTest, AnIdWhoseClientLeftIsHeldUntilItsDeadlineAndTheirNumberIsBounded) {
  using Reservation = OpenRequestIds::Reservation;
  OpenRequestIds ids;
  const int gone = 0;
  const int other = 0;
  EXPECT_EQ(ids.reserve(0s, 1, &gone), Reservation::Granted);
  ids.retain(1s, 1, 3s);
  EXPECT_EQ(ids.reserve(2s, 1, &gone), Reservation::TakenByAnother);
  EXPECT_EQ(ids.reserve(3s, 1, &other), Reservation::Granted);
  for (RequestIdHash id = 10; id < 10 + 2 * OpenRequestIds::kMaxRetained; ++id) {
    ids.reserve(4s, id, &gone);
    ids.retain(4s, id, 3600s);
  }
  EXPECT_EQ(ids.retainedCount(), OpenRequestIds::kMaxRetained);
  EXPECT_EQ(ids.size(), OpenRequestIds::kMaxRetained + 1);
  ids.reserve(4s + OpenRequestIds::kMaxRetention, 2, &other);
  EXPECT_EQ(ids.size(), 2u);
}

}  // namespace
}  // namespace sablespur
