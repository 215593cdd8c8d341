// Bounds the number of calls to the store that a fleet makes.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "source/sharding/shard_map.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

constexpr const char* kMapKey = "runshelf/shards/keyed";
constexpr const char* kTransactions = "/runshelf/kv-txn";

sharding::ShardMap ReadMap(const FakeStore& store) {
  auto map = sharding::ShardMap::Parse(*store.Find(kMapKey));
  CHECK(map.ok());
  return *map;
}

// Marks one shard of each node for a move to the next node, as the planner does.
void MoveOneShardOfEachNode(Fleet* fleet, size_t nodes) {
  sharding::ShardMap map = ReadMap(fleet->store);
  std::set<std::string> moving;
  for (sharding::Shard& shard : map.shards()) {
    if (!moving.insert(shard.owner.node).second) continue;
    const size_t owner = std::stoul(shard.owner.node.substr(1));
    shard.move_to_node = fmt::format("n{}", (owner + 1) % nodes);
  }
  CHECK_EQUAL(nodes, moving.size());
  fleet->store.Put(kMapKey, map.Serialize());
}

bool MovesAreOver(const Fleet& fleet) {
  const sharding::ShardMap map = ReadMap(fleet.store);
  return std::all_of(map.shards().begin(), map.shards().end(),
                     [](const sharding::Shard& shard) { return shard.move_to_node.empty(); });
}

}  // namespace

TEST_GROUP(StoreCalls){};

// Guards against a read for each prefix of the operators' items at the start of each node.
TEST(StoreCalls, ANodeStartsWithTwoReads) {
  constexpr size_t kNodes = 2;  // So few that the state fits a page.
  Fleet fleet(std::vector<std::string>(kNodes, "other"));
  fleet.Start();
  const uint64_t reads = fleet.store.calls("/runshelf/kv-range");
  CHECK_TEXT(reads <= 2 * kNodes, fmt::format("{} reads", reads).c_str());
}

// Guards against a write for each node that hands over a shard, and as many conflicts.
TEST(StoreCalls, NodesThatHandOverShardsAtTheSameTimeShareWrites) {
  constexpr size_t kNodes = 8;
  Fleet fleet(std::vector<std::string>(kNodes, "keyed"));
  fleet.Start();
  RunFor(fleet.loop, std::chrono::milliseconds(500));
  const uint64_t before = fleet.store.calls(kTransactions);
  MoveOneShardOfEachNode(&fleet, kNodes);
  CHECK(RunUntil(fleet.loop, [&] { return MovesAreOver(fleet); }));
  const uint64_t writes = fleet.store.calls(kTransactions) - before;
  CHECK_TEXT(writes <= 4, fmt::format("{} writes", writes).c_str());
  CHECK(RunUntil(fleet.loop, [&] { return fleet.EveryKeyHeld(); }));
}

// Guards against keys that wait for a node which cannot write the handovers.
TEST(StoreCalls, NodesHandOverTheirShardsWithoutTheOneThatWritesForAll) {
  constexpr size_t kNodes = 4;
  Fleet fleet(std::vector<std::string>(kNodes, "keyed"));
  fleet.Start();
  RunFor(fleet.loop, std::chrono::milliseconds(500));
  MoveOneShardOfEachNode(&fleet, kNodes);
  fleet.Kill(0);
  CHECK(RunUntil(
      fleet.loop,
      [&] {
        const sharding::ShardMap map = ReadMap(fleet.store);
        return std::all_of(map.shards().begin(), map.shards().end(),
                           [](const sharding::Shard& shard) {
                             return shard.move_to_node.empty() || shard.owner.node == "n0";
                           });
      },
      std::chrono::milliseconds(1500)));
}
