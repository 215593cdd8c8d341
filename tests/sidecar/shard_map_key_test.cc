#include "source/sidecar/shard_map_key.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;
using store::MakeRevision;

TEST_GROUP(ShardMapKeys){};

TEST(ShardMapKeys, ParsingReversesToString) {
  for (const ShardMapKey& key : {ShardMapKey{"keyed", 0}, ShardMapKey{"keyed", 17}}) {
    const auto parsed = ShardMapKey::Parse(key.ToString());
    CHECK(parsed.has_value());
    STRCMP_EQUAL(key.service.c_str(), parsed->service.c_str());
    CHECK_EQUAL(key.era, parsed->era);
  }
}

TEST(ShardMapKeys, InvalidKeysAreRejected) {
  for (const char* key : {"runshelf/nodes/n0", "runshelf/shards/", "runshelf/shards/keyed/",
                          "runshelf/shards/keyed/x", "runshelf/shards/keyed/0",
                          "runshelf/shards//3", "runshelf/shards/keyed/3/4"}) {
    CHECK_FALSE(ShardMapKey::Parse(key).has_value());
  }
}

TEST(ShardMapKeys, TheMapOfALaterEraIsNewerWhateverItsRevision) {
  const ShardMapVersion version{1, MakeRevision(1, 900)};
  CHECK(version.OlderThan({"keyed", 2}, MakeRevision(2, 3)));
  CHECK_FALSE(version.OlderThan({"keyed", 0}, MakeRevision(1, 901)));
  CHECK(version.OlderThan({"keyed", 1}, MakeRevision(1, 901)));
  CHECK_FALSE(version.OlderThan({"keyed", 1}, MakeRevision(1, 900)));
}

// Guards against taking a map from a restored store for a newer one, which repeated a move that had
// already been made.
TEST(ShardMapKeys, ARestoredCopyOfAFormerErasMapIsNotNewer) {
  const ShardMapVersion known{1, MakeRevision(1, 40)};
  CHECK_FALSE(known.OlderThan({"keyed", 1}, MakeRevision(2, 38)));
  const ShardMapVersion none;
  CHECK(none.OlderThan({"keyed", 1}, MakeRevision(2, 38)));
  CHECK_FALSE(known.FromRestoredStore());
  CHECK((ShardMapVersion{1, MakeRevision(2, 38)}.FromRestoredStore()));
}
