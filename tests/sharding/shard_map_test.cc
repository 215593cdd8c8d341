#include "source/sharding/shard_map.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf::sharding;

namespace {

ShardMap TwoShards() {
  auto map = ShardMap::Parse(R"({"last_token":4,"owners":[["n1","w1"],["n2","w2"]],)"
                             R"("shards":[[0,99,0,3,"h",""],[100,65535,1,4,"","n1"]]})");
  return *map;
}

}  // namespace

TEST_GROUP(ShardMap){};

TEST(ShardMap, AKeyHasOneShard) {
  const ShardMap map = TwoShards();
  STRCMP_EQUAL("n1", map.Find(0)->owner.node.c_str());
  STRCMP_EQUAL("n1", map.Find(99)->owner.node.c_str());
  STRCMP_EQUAL("n2", map.Find(100)->owner.node.c_str());
  STRCMP_EQUAL("n2", map.Find(65535)->owner.node.c_str());
  POINTERS_EQUAL(nullptr, ShardMap().Find(5));
}

TEST(ShardMap, SerializingKeepsEverything) {
  const ShardMap map = TwoShards();
  const auto again = ShardMap::Parse(map.Serialize());
  CHECK(again.ok());
  CHECK(map.shards() == again->shards());
  CHECK_EQUAL(map.last_token(), again->last_token());
}

TEST(ShardMap, ASplitKeepsOwnerTokenAndHandover) {
  ShardMap map = TwoShards();
  map.Split(40);
  CHECK_EQUAL(3, map.shards().size());
  CHECK_EQUAL(39, map.shards()[0].last);
  CHECK_EQUAL(40, map.shards()[1].first);
  CHECK_EQUAL(3, map.shards()[1].token);
  STRCMP_EQUAL("h", map.shards()[1].handover.c_str());
  map.Split(40);
  CHECK_EQUAL(3, map.shards().size());
  map.MergeNeighbours();
  CHECK_EQUAL(2, map.shards().size());
}

TEST(ShardMap, AShardIsKeptWhileAllItsKeysHaveItsOwnerAndToken) {
  const Shard shard = TwoShards().shards()[0];
  ShardMap split = TwoShards();
  split.Split(40);
  split.shards()[1].move_to_node = "n2";
  CHECK(split.KeepsAssignment(shard));
  ShardMap given_up = split;
  given_up.shards()[1].owner.worker.clear();
  CHECK_FALSE(given_up.KeepsAssignment(shard));
  ShardMap renewed = split;
  renewed.shards()[0].token = 5;
  CHECK_FALSE(renewed.KeepsAssignment(shard));
  // Changes to other shards do not matter.
  ShardMap others = TwoShards();
  others.shards()[1].owner.worker.clear();
  CHECK(others.KeepsAssignment(shard));
}

TEST(ShardMap, TokensRise) {
  ShardMap map = TwoShards();
  CHECK_EQUAL(5, map.NextToken());
  CHECK_EQUAL(6, map.NextToken());
}

// Guards against granting a worker keys in the new era under a token that it has already seen in
// the earlier one.
TEST(ShardMap, AMapThatIsCarriedOverHasNewTokensAndTheSameOwners) {
  const ShardMap former = TwoShards();
  ShardMap map = former;
  constexpr FencingToken kBase = 1000;
  map.CarryOver(kBase);
  CHECK(map.HasCarriedOver());
  for (size_t index = 0; index < map.shards().size(); ++index) {
    CHECK(map.shards()[index].token > kBase);
    CHECK(map.shards()[index].owner == former.shards()[index].owner);
    STRCMP_EQUAL(former.shards()[index].handover.c_str(), map.shards()[index].handover.c_str());
  }
  CHECK(ShardMap::Parse(map.Serialize())->shards() == map.shards());
  map.EndCarryOver();
  CHECK_FALSE(map.HasCarriedOver());
  CHECK(ShardMap::Parse(map.Serialize())->shards() == map.shards());
}

TEST(ShardMap, AMapThatDoesNotCoverAllKeysOnceIsRejected) {
  for (const char* broken :
       {"", "[]", "{}", "{\"last_token\":1}",
        R"({"last_token":4,"owners":[["n","w"]],"shards":[[0,65534,0,1,"",""]]})",
        R"({"last_token":4,"owners":[["n","w"]],"shards":[[1,65535,0,1,"",""]]})",
        R"({"last_token":4,"owners":[["n","w"]],"shards":[[0,9,0,1,"",""],[9,65535,0,1,"",""]]})",
        R"({"last_token":4,"owners":[["n","w"]],"shards":[[0,9,0,1,"",""],[11,65535,0,1,"",""]]})",
        R"({"last_token":4,"owners":[["n","w"]],"shards":[[0,65536,0,1,"",""]]})",
        R"({"last_token":4,"owners":[["n","w"]],"shards":[[0,65535,1,1,"",""]]})",
        R"({"last_token":4,"owners":[["n","w"]],"shards":[[0,65535,0,5,"",""]]})",
        R"({"last_token":4,"owners":[["n"]],"shards":[[0,65535,0,1,"",""]]})",
        R"({"last_token":-4,"owners":[["n","w"]],"shards":[[0,65535,0,1,"",""]]})",
        R"({"last_token":4,"owners":[["n","w"]],"shards":[[0,65535,0,1,""]]})"}) {
    CHECK_FALSE_TEXT(ShardMap::Parse(broken).ok(), broken);
  }
}
