// In a run with injected faults, proxies sent dozens of requests to servers that had been draining or removed
// for longer than the grace. The registry had told the change, and the proxy was not there to hear it: it
// gave up each call after 2.5 s, though the call was only slow, and the next one waited at the end of the
// same queue. A list that came in pieces was given up in the same way, and a list that was older than the
// known one brought a removed server back.
//
// With a registry that answers each call after 2.8 s the log of the program as it was reads
//   event=discovery_watch_closed why=silent after=5 out_ms=2500 bytes=0 lists=0
// again and again, each 2.5 to 3.1 s, with nothing between; 533 requests in 5.5 s went to the drained server.
// The tests hold the order of events and not their times; the times are those of CallSchedule's tests.
#include <chrono>

#include "scenario.hpp"

namespace sablespur::test {
namespace {

using namespace std::chrono_literals;

constexpr const char* kReadGoesToThePrimary = R"(
  c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
  s1 expect query id=1
  s1 send row v
  c1 expect row v
)";

// The first watch falls silent, the call after it is slow: it is answered after the proxy has called once
// more.
TEST(DiscoveryDelay, ACallThatIsOnlySlowIsStillTaken) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    list expect call after=5
    list expect calls 3
    list choose 2
    list expect kept
    list answers
  )");
  t.run("list send line " + t.list(2, "leaving", 6) + "\ns2 expect drained\n" + kReadGoesToThePrimary);
}

// The watch is silent, and the two calls after it are turned away.
TEST(DiscoveryDelay, TheListIsTakenThatComesAfterTwoCallsWereTurnedAway) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    list expect calls 2
    list choose 2
    list send status 503 Service Unavailable
    list expect calls 3
    list choose 3
    list send status 503 Service Unavailable
    list expect calls 4
    list choose 4
    list answers
  )");
  t.run("list send line " + t.list(2, "leaving", 6) + "\ns2 expect drained\n" + kReadGoesToThePrimary);
}

// The watch is silent, and nobody answers the two calls after it.
TEST(DiscoveryDelay, TheListIsTakenThatComesAfterTwoCallsWereLost) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    list expect calls 4
    list choose 4
    list answers
  )");
  t.run("list send line " + t.list(2, "leaving", 6) + "\ns2 expect drained\n" + kReadGoesToThePrimary);
}

// Each byte makes the list longer, and all of them together take longer than a watch may be silent.
TEST(DiscoveryDelay, AListThatGrowsSlowlyIsWaitedFor) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    list close
    list expect call after=5
    list choose 2
    list answers
  )");
  t.run("list drips " + t.list(2, "leaving", 6) + "\ns2 expect drained\nlist expect kept\n" +
        kReadGoesToThePrimary);
}

// Where lists are pushed, an agent on the proxy's machine has them, and the proxy has to ask it all the same.
// The program as it was never did: on ten of fifteen days of 20 to 40 s, 123 to 1,549 requests went to
// drained servers.
TEST(DiscoveryDelay, AnAgentThatListsArePushedToIsWatched) {
  Setting pushed;
  pushed.discovery = "automatic";
  Scenario t(pushed);
  t.run("s2 wait idle 2\nlist send line " + t.list(2, "leaving", 6) + "\ns2 expect drained\n" +
        kReadGoesToThePrimary);
}

// Where lists are pushed, what the agent has counts as told from the first moment of a process, and the list
// of the settings may be older: a server that it names may have begun to drain long ago. A new process uses
// it for less than the grace, and then waits for the agent's answer. (Where lists are asked for, the settings
// say how long a list may be used; waiting there cost 0.05 of the score of a day on which many start anew.)
TEST(DiscoveryDelay, ANewProcessUsesItsKnownListNoLongerThanTheGrace) {
  Setting unanswered;
  unanswered.discovery = "automatic";
  unanswered.firstList = false;
  Scenario t(unanswered);
  t.run("s1 serves primary\ns2 serves replica\ns2 wait idle 1");
  t.serveFor(1s);
  t.run("c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */");
  t.serveFor(300ms);
  t.run("list answers\nlist send line " + t.list(2, "leaving", 6) + "\nc1 expect row primary");
}

// Where the call is turned away, nothing has been told: the known list is better than none.
TEST(DiscoveryDelay, ANewProcessServesByItsKnownListWhileTheRegistryIsDown) {
  for (const char* const discovery : {"automatic", "subscribe"}) {
    SCOPED_TRACE(discovery);
    Setting unanswered;
    unanswered.discovery = discovery;
    unanswered.firstList = false;
    Scenario t(unanswered);
    t.run("s1 serves primary\ns2 serves replica\nlist send status 503 Service Unavailable");
    t.serveFor(1s);
    t.run(R"(
      c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
      c1 expect row replica
    )");
  }
}

// The new address does not answer yet. What the former one tells meanwhile holds.
TEST(DiscoveryDelay, AFormerAddressIsHeardUntilTheNewOneAnswers) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    proxy reload moved
    list expect call after=5
    list choose 1
  )");
  t.run("list send line " + t.list(2, "leaving", 6) + "\ns2 expect drained\n" + kReadGoesToThePrimary);
  t.run("list choose 2\nlist answers\nlist send line " + t.list(2, "left", 7) +
        "\nproxy expect log name=s-2 state=gone");
}

// Moved twice before the first address has answered: the last one counts.
TEST(DiscoveryDelay, OfTwoMovesTheLastAddressIsFollowed) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    proxy reload moved
    list expect call after=5
    proxy reload moved
    list expect call after=5
    list choose 3
    list answers
  )");
  t.run("list send line " + t.list(2, "leaving", 6) + "\ns2 expect drained\n" + kReadGoesToThePrimary);
}

// The process ends, its watch is silent, and a request is still out: the next one goes by the new list.
TEST(DiscoveryDelay, ADrainIsFollowedWhileTheProcessEnds) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    c2 send query
    c2 expect empty
    s2 expect query id=1
    list expect call after=5
    list choose 2
    proxy send TERM
    c2 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect another id=2
    list answers
  )");
  t.run("list send line " + t.list(2, "leaving", 6) + R"(
    proxy expect log name=s-2 state=leaving
    s2 send row w
    c2 expect row w
    proxy expect exit 0
  )");
}

// A registry that has lost its generations counts from 1 again. What it tells from then on is not taken for
// old.
TEST(DiscoveryDelay, ARegistryThatCountsFromOneAgainIsFollowed) {
  Scenario t;
  t.run("s2 wait idle 2\nlist close\nlist expect watch after=5\nlist send line " + t.wholeList(1) + R"(
    list expect watch after=1
    list send line {"generation":1,"reset":false,"instances":[]}
    list send line )" +
        t.list(2, "leaving", 2) + "\ns2 expect drained\n" + kReadGoesToThePrimary);
}

// Bad input costs the call that it came on. The next one is taken.
TEST(DiscoveryDelay, AListThatCannotBeReadCostsItsCallAlone) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    list send line {"generation":"x","reset":false,"instances":[]}
    proxy expect log event=discovery_watch_closed why="key generation
    list expect watch after=5
  )");
  t.run("list send line " + t.list(2, "leaving", 6) + "\ns2 expect drained\n" + kReadGoesToThePrimary);
}

// A registry that has just come back, or one of several, may know less than the proxy.
TEST(DiscoveryDelay, AnOlderListDoesNotBringARemovedServerBack) {
  Scenario t;
  t.run("s1 serves primary\ns2 serves replica\ns2 wait idle 2\nlist send line " + t.list(2, "left", 6) + R"(
    s2 expect drained
    list close
    list expect watch after=6
    list send line )" +
        t.wholeList(5) + R"(
    proxy expect log event=endpoint_list_received generation=5 known_generation=6
  )");
  for (int k = 0; k < 20; ++k) {
    t.run("c1 send query SELECT 1 /* id=" + std::to_string(k) + R"(,c=read,d=7000,cluster=3 */
      c1 expect row primary
    )");
  }
}

}  // namespace
}  // namespace sablespur::test
