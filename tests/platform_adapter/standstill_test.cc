// Nodes whose process stood still: by which configuration they serve when they run again.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/event/loop_runner.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;

namespace {

constexpr Duration kStandstill = std::chrono::milliseconds(2400);
// A change may take 2 s to come into force; one that was made before the standstill is overdue.
constexpr Duration kServedAgainWithin = std::chrono::milliseconds(400);
// A node that cannot learn whether its configuration is current serves by what it has.
constexpr Duration kServedWithoutStoreWithin = std::chrono::milliseconds(1500);

}  // namespace

TEST_GROUP(Standstill) {
  std::unique_ptr<Fleet> fleet;

  void Start() {
    fleet = std::make_unique<Fleet>(std::vector<std::string>{"plain", "other"});
    fleet->Start();
    RunFor(fleet->loop, std::chrono::milliseconds(1500));
  }
  // All nodes run on the thread of the test, which sleeps.
  void StandStill() { std::this_thread::sleep_for(kStandstill); }
  // Moves the route from "plain" to "other" in a change that no pending watch delivers.
  void ReplaceRouteUnnoticed() {
    fleet->store.LosePendingWatches();
    fleet->store.Put("op/config", TestConfiguration(2, "other"));
  }
  // Sends requests until one is served; fails the test after `limit`.
  void ExpectServedWithin(Duration limit, size_t node) {
    const Instant end = fleet->loop.Now() + limit;
    int status = 0;
    while (status != 200 && fleet->loop.Now() < end) {
      const auto answer = fleet->Request(node, "GET", "/read/x", "");
      status = answer.has_value() ? answer->status : 0;
      if (status != 200) RunFor(fleet->loop, std::chrono::milliseconds(20));
    }
    LONGS_EQUAL(200, status);
  }
};

// Guards against requests that a node handles by a replaced configuration, right after its process
// stood still while the change came into force elsewhere.
TEST(Standstill, ANodeThatStoodStillServesByNoReplacedConfiguration) {
  for (size_t node = 0; node < 2; ++node) {
    Start();
    ReplaceRouteUnnoticed();
    StandStill();
    const auto answer = fleet->Request(node, "GET", "/read/x", "");
    CHECK(answer.has_value());
    LONGS_EQUAL(200, answer->status);
    UNSIGNED_LONGS_EQUAL(0, fleet->nodes[0].worker->executed().size());
  }
}

// Guards against a node that refuses requests for long after a standstill although nothing changed.
TEST(Standstill, ANodeThatMissedNothingServesAtOnce) {
  Start();
  StandStill();
  const Instant begun = fleet->loop.Now();
  ExpectServedWithin(kServedAgainWithin, 0);
  CHECK(fleet->loop.Now() - begun < kServedAgainWithin);
}

// Guards against a node that waits for a store that is away: no change can be acknowledged then.
TEST(Standstill, ANodeServesByWhatItHasWhileTheStoreIsAway) {
  Start();
  fleet->store.set_fault(FakeStore::Fault::kSilent);
  StandStill();
  ExpectServedWithin(kServedWithoutStoreWithin, 0);
}
