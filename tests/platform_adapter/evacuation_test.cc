// Zones that operators evacuate: how soon their workers get no more requests, where the keys go,
// and how work returns.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "tests/event/loop_runner.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

const std::string kPrefix = "op/evacuate/";
// A tenth of the time that operators allow.
constexpr Duration kPlannedTime = std::chrono::milliseconds(500);
// Half of that time: a node may have to notice first that the store is back.
constexpr Duration kTimeAfterOutage = std::chrono::milliseconds(2500);

// The zone of a node: every second one is in z1, the others in z0.
std::string ZoneOf(size_t node) { return node % 2 == 0 ? "z0" : "z1"; }

}  // namespace

TEST_GROUP(Evacuation) {
  std::unique_ptr<Fleet> fleet;

  void Create(const std::vector<std::string>& services) {
    fleet = std::make_unique<Fleet>(services);
    for (size_t node = 0; node < services.size(); ++node) {
      fleet->nodes[node].settings.zone = ZoneOf(node);
    }
    fleet->Start();
  }

  void Evacuate(const std::string& zone) { fleet->store.Put(kPrefix + zone, "{}"); }
  void Return(const std::string& zone) { fleet->store.Remove(kPrefix + zone); }

  int Status(size_t node, const std::string& target = "/read/x") {
    const auto answer = fleet->Request(node, "GET", target, "");
    return answer.has_value() ? answer->status : 0;
  }

  size_t Executed(size_t node) const { return fleet->nodes[node].worker->executed().size(); }

  // Sends requests to all nodes until `done`; false when that takes too long or one fails.
  bool ServeUntil(const std::function<bool()>& done) {
    const Instant end = fleet->loop.Now() + std::chrono::seconds(8);
    while (!done() && fleet->loop.Now() < end) {
      for (size_t node = 0; node < fleet->nodes.size(); ++node) {
        if (Status(node) != 200) return false;
      }
    }
    return done();
  }
};

// Guards against requests that reach workers of a zone which operators have evacuated.
TEST(Evacuation, AZoneGetsNoMoreRequestsSoonAfterItIsEvacuatedAndSomeWhenItIsReturned) {
  Create({"plain", "plain"});
  CHECK(ServeUntil([&] { return Executed(0) > 3; }));
  Evacuate("z0");
  RunFor(fleet->loop, kPlannedTime);
  const size_t before = Executed(0);
  for (int request = 0; request < 20; ++request) {
    LONGS_EQUAL(200, Status(0));
    LONGS_EQUAL(200, Status(1));
  }
  UNSIGNED_LONGS_EQUAL(before, Executed(0));
  STRCMP_CONTAINS("event=zone_evacuated", fleet->Log().c_str());
  Return("z0");
  RunFor(fleet->loop, kPlannedTime);
  CHECK(ServeUntil([&] { return Executed(0) > before + 3; }));
  STRCMP_CONTAINS("event=zone_returned", fleet->Log().c_str());
}

// Guards against callers that wait for a service of which no worker may be used.
TEST(Evacuation, AServiceWithoutAWorkerElsewhereIsRefusedAtOnceWithATimeToReturn) {
  Create({"plain", "other"});
  Evacuate("z0");
  RunFor(fleet->loop, kPlannedTime);
  const Instant sent = fleet->loop.Now();
  const auto answer = fleet->Request(1, "GET", "/read/x", "");
  CHECK(fleet->loop.Now() - sent < std::chrono::milliseconds(100));
  CHECK(answer.has_value());
  LONGS_EQUAL(503, answer->status);
  CHECK(answer->headers.Has("Retry-After"));
  UNSIGNED_LONGS_EQUAL(0, Executed(0));
}

// Guards against keys that are refused, or held in an evacuated zone, because nobody moves them.
TEST(Evacuation, KeysMoveOutOfTheZoneAndNoneMovesIn) {
  Create({"keyed", "keyed", "keyed", "keyed"});
  Evacuate("z0");
  const auto held_outside = [&] {
    for (uint32_t key = 0; key < 65536; key += 512) {
      const auto holder = fleet->HolderOf(key);
      if (!holder.has_value() || ZoneOf(*holder) == "z0") return false;
    }
    return true;
  };
  CHECK(RunUntil(fleet->loop, held_outside, std::chrono::seconds(4)));
  const size_t before = Executed(0) + Executed(2);
  for (uint32_t key = 0; key < 65536; key += 4096) {
    const auto answer = fleet->Keyed(0, key);
    CHECK(answer.has_value());
    LONGS_EQUAL(200, answer->status);
  }
  UNSIGNED_LONGS_EQUAL(before, Executed(0) + Executed(2));
  RunFor(fleet->loop, std::chrono::seconds(2));
  CHECK(held_outside());
}

// Guards against a process that starts during an evacuation and does not know of it.
TEST(Evacuation, ANodeThatStartsMeanwhileSendsNothingToItsWorker) {
  Create({"plain", "plain"});
  fleet->Kill(0);
  Evacuate("z0");
  RunFor(fleet->loop, kPlannedTime);
  const size_t before = Executed(0);
  fleet->Restart(0);
  CHECK(RunUntil(fleet->loop, [&] { return fleet->nodes[0].sidecar->ready(); }));
  for (int request = 0; request < 10; ++request) LONGS_EQUAL(200, Status(0));
  UNSIGNED_LONGS_EQUAL(before, Executed(0));
}

// Guards against a change that is missed when several follow each other within a moment.
TEST(Evacuation, TheLastOfSeveralChangesIsInForce) {
  Create({"plain", "plain", "plain"});
  for (int round = 0; round < 5; ++round) {
    Evacuate("z0");
    RunFor(fleet->loop, std::chrono::milliseconds(30));
    Return("z0");
    Evacuate("z1");
    RunFor(fleet->loop, std::chrono::milliseconds(30));
    Return("z1");
  }
  Evacuate("z1");
  RunFor(fleet->loop, kPlannedTime);
  const size_t before = Executed(1);
  CHECK(ServeUntil([&] { return Executed(0) > 0 && Executed(2) > 0; }));
  UNSIGNED_LONGS_EQUAL(before, Executed(1));
}

// Guards against an evacuation that is forgotten while the store does not answer, and against one
// that takes effect late because it was written meanwhile.
TEST(Evacuation, ItHoldsWhileTheStoreIsAwayAndBeginsSoonAfterTheStoreIsBack) {
  Create({"plain", "plain"});
  Evacuate("z0");
  RunFor(fleet->loop, kPlannedTime);
  fleet->store.set_fault(FakeStore::Fault::kReset);
  RunFor(fleet->loop, std::chrono::seconds(2));
  Return("z0");
  Evacuate("z1");
  const size_t before = Executed(0);
  for (int request = 0; request < 10; ++request) LONGS_EQUAL(200, Status(0));
  UNSIGNED_LONGS_EQUAL(before, Executed(0));
  fleet->store.set_fault(FakeStore::Fault::kNone);
  RunFor(fleet->loop, kTimeAfterOutage);
  const size_t of_second = Executed(1);
  for (int request = 0; request < 10; ++request) LONGS_EQUAL(200, Status(1));
  UNSIGNED_LONGS_EQUAL(of_second, Executed(1));
}
