// Tests how long a change of the shared state takes to be in force on all nodes when links are
// narrow.
#include "tests/platform_adapter/state_spread.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "runshelf/common/random.h"
#include "tests/event/loop_runner.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;

namespace {

constexpr MachineKind kNarrow{10, 13};
constexpr MachineKind kWide{50, 200};
constexpr MachineKind kLeader{100, 200};
// The strictest time that deployments guarantee their operators for a change to be in force.
constexpr Duration kInForceWithin = std::chrono::seconds(2);

// Generates route rows in the configuration's format. The rows for a smaller `count` are a prefix
// of those for a larger one.
std::string Routes(size_t count, int version = 1) {
  SeededRandom random(7);
  std::string text = fmt::format("{{\"version\":{},\"rows\":[", version);
  for (size_t index = 0; index < count; ++index) {
    text += fmt::format(
        "[\"host{}.example\",\"/{:016x}/\",\"service-{}\",\"idempotent\",2,800,2000,{}],",
        index % 5, random.Next(), index % 3, index);
  }
  return text + "]}";
}

}  // namespace

TEST_GROUP(StateSpread) {
  StateSpread spread;

  void AddZone(const std::string& zone, size_t count, const MachineKind& kind) {
    for (size_t index = 0; index < count; ++index) {
      spread.AddNode(fmt::format("{}-{}", zone, index), zone, kind);
    }
  }
  void CheckInForceInTime() {
    const Duration took = spread.AwaitLatest(std::chrono::seconds(8));
    std::string late;
    for (const std::string& node : spread.NodesWithoutLatest()) late += " " + node;
    const std::string text = fmt::format(
        "in force after {} ms, longest wait at a link {} ms, nodes without the latest:{}",
        ToMilliseconds(took), ToMilliseconds(spread.LongestWait()), late);
    CHECK_TEXT(took <= kInForceWithin, text.c_str());
  }
};

// Guards against concurrent transfers over one narrow link that all time out and start over.
TEST(StateSpread, ALargeChangeReachesAZoneOfNarrowLinksInTime) {
  AddZone("a", 2, kLeader);
  AddZone("b", 28, kNarrow);
  spread.Write(Routes(4220));
  spread.Start();
  spread.Write(Routes(5620, 2));
  CheckInForceInTime();
}

// Guards against a node with a narrow link that has to send a change to its whole zone. This
// happens when a second change overlaps the transfers of the first one while the zone's nodes with
// wide links are busy.
TEST(StateSpread, SuccessiveChangesReachAZoneWhoseWideReadersAreBusy) {
  AddZone("a", 2, kLeader);
  spread.AddNode("wide-0", "b", kWide);
  spread.AddNode("wide-1", "b", kWide);
  AddZone("b", 26, kNarrow);
  spread.Write(Routes(4220));
  spread.Start();
  spread.KeepBusy("wide-0", std::chrono::milliseconds(1200));
  spread.KeepBusy("wide-1", std::chrono::milliseconds(1200));
  spread.Write(Routes(5620, 2));
  spread.AwaitLatest(std::chrono::seconds(1));
  spread.Write(Routes(5621, 3));
  CheckInForceInTime();
}

// Guards against a node whose link is saturated for seconds because all its neighbours request its
// snapshot at once. Neighbours that are refused read the store.
TEST(StateSpread, ANodeGrantsOnlyAsManySnapshotsAsItsLinkCarries) {
  AddZone("a", 2, kLeader);
  AddZone("b", 1, kNarrow);
  spread.Write(Routes(4220));
  spread.Start();
  CHECK_EQUAL(3, spread.SnapshotsGranted("b-0", 28));
  CHECK(spread.SnapshotsGranted("a-0", 28) >= 15);
}
