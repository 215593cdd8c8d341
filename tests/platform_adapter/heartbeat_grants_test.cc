#include "source/sidecar/heartbeat_grants.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "platform/wire_format.h"
#include "runshelf/common/random.h"
#include "source/sharding/shard_planner.h"
#include "source/sidecar/key_report.h"

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

constexpr Duration kHold = std::chrono::seconds(5);

bool NeverMoves(const sharding::Shard&) { return false; }
bool AlwaysMoves(const sharding::Shard&) { return true; }

}  // namespace

TEST_GROUP(HeartbeatGrants) {
  platform_adapter::PlatformWireFormat wire;
  HeartbeatGrants grants{wire};
  HeldShards shards;
  Instant now = InstantFromMicroseconds(1000000);
  int64_t sequence = 0;

  HeldShard* Add(sharding::ShardKey first, sharding::ShardKey last, sharding::FencingToken token,
                 const std::string& handover = "") {
    HeldShard held;
    held.worker_id = "w";
    held.shard = {first, last, {"n", "w"}, token, handover, ""};
    return &(shards[{first, last, token}] = held);
  }

  WorkerHeartbeat Next(std::vector<HeldKeys> held = {}, std::vector<ReleasedKeys> released = {}) {
    WorkerHeartbeat heartbeat;
    heartbeat.worker_id = "w";
    heartbeat.sequence = ++sequence;
    heartbeat.keys = {std::move(held), std::move(released)};
    return heartbeat;
  }

  HeartbeatGrants::ShardPredicate settled = [](const sharding::Shard&) { return true; };

  KeyLease Lease(const WorkerHeartbeat& heartbeat,
                 const std::function<bool(const sharding::Shard&)>& must_move = NeverMoves) {
    return grants.MakeLease(heartbeat, now, kHold, must_move, settled, &shards);
  }
};

TEST(HeartbeatGrants, AShardThatAnOpenChangeTakesIsNotListed) {
  HeldShard* taken = Add(0, 99, 3);
  HeldShard* kept = Add(200, 299, 3);
  settled = [](const sharding::Shard& shard) { return shard.first != 0; };
  CHECK_EQUAL(1, Lease(Next()).keys.size());
  CHECK(taken->usable_until == Instant{});
  CHECK(kept->usable_until > now);
  // The shard is not released by this, since the change may fail.
  settled = [](const sharding::Shard&) { return true; };
  CHECK_EQUAL(2, Lease(Next()).keys.size());
}

TEST(HeartbeatGrants, AShardIsUsableLessLongThanItMayBeHeld) {
  HeldShard* held = Add(0, 99, 3);
  Lease(Next());
  // The worker counts from when it sent the heartbeat, and its clock may be 2% slow.
  CHECK(held->usable_until == now + kHold - kHold / 50 - kAnswerWindow);
  CHECK(held->held_until == now + kHold + kHold / 50);
}

TEST(HeartbeatGrants, TheHandoverIsSentUntilTheWorkerHasTheKeys) {
  Add(0, 99, 3, "h1");
  STRCMP_EQUAL("h1", Lease(Next()).keys.front().handover.c_str());
  STRCMP_EQUAL("h1", Lease(Next({{0, 50, 3}})).keys.front().handover.c_str());
  STRCMP_EQUAL("", Lease(Next({{0, 99, 3}})).keys.front().handover.c_str());
}

TEST(HeartbeatGrants, NeighboursThatTheWorkerHasBecomeOneRow) {
  Add(0, 99, 3, "h1");
  Add(100, 199, 3, "h2");
  Add(200, 299, 4);
  CHECK_EQUAL(3, Lease(Next()).keys.size());
  const KeyLease lease = Lease(Next({{0, 199, 3}, {200, 299, 4}}));
  CHECK_EQUAL(2, lease.keys.size());
  CHECK_EQUAL(199, lease.keys.front().last);
}

TEST(HeartbeatGrants, AMovingShardIsReleasedOnlyOnceALaterHeartbeatOmitsIt) {
  HeldShard* held = Add(0, 99, 3);
  Lease(Next());
  const WorkerHeartbeat told = Next({{0, 99, 3}});
  CHECK_FALSE(grants.OnReport(told, &shards));
  CHECK(Lease(told, AlwaysMoves).keys.empty());
  CHECK(held->usable_until == Instant{});
  // A duplicate of the heartbeat, and one in which the worker still processes some of the keys.
  CHECK_FALSE(grants.OnReport(told, &shards));
  CHECK_FALSE(grants.OnReport(Next({{40, 50, 3}}), &shards));
  CHECK_FALSE(held->released);
  CHECK(grants.OnReport(Next({}, {{0, 99, "h7"}}), &shards));
  CHECK(held->released);
  STRCMP_EQUAL("h7", held->handover.c_str());
}

TEST(HeartbeatGrants, ALostAnswerIsRepeated) {
  HeldShard* held = Add(0, 99, 3);
  Lease(Next());
  CHECK_FALSE(grants.OnReport(Next(), &shards));
  CHECK_FALSE(held->superseded);
  CHECK_EQUAL(1, Lease(Next()).keys.size());
}

TEST(HeartbeatGrants, AShardThatTheWorkerDoesNotTakeCountsAsSuperseded) {
  HeldShard* held = Add(0, 99, 3);
  Lease(Next());
  CHECK_FALSE(grants.OnReport(Next(), &shards));
  CHECK(grants.OnReport(Next(), &shards));
  CHECK(held->superseded);
}

TEST(HeartbeatGrants, AHigherTokenAtTheWorkerIsRemembered) {
  HeldShard* held = Add(0, 99, 3);
  CHECK(grants.OnReport(Next({{50, 60, 900}}), &shards));
  CHECK(held->superseded);
  CHECK_EQUAL(900, grants.highest_token_seen());
}

TEST(HeartbeatGrants, ReportsOfAnotherWorkerChangeNothing) {
  HeldShard* held = Add(0, 99, 3);
  Lease(Next(), AlwaysMoves);
  WorkerHeartbeat other = Next();
  other.worker_id = "w2";
  CHECK_FALSE(grants.OnReport(other, &shards));
  CHECK_FALSE(held->released);
  CHECK(Lease(other).keys.empty());
}

// New rows wait until they fit; rows that the worker already holds are never omitted for them.
TEST(HeartbeatGrants, AnAnswerNeverExceedsItsSizeLimit) {
  std::vector<HeldKeys> held_rows;
  for (uint32_t index = 0; index < 100; ++index) {
    Add(index * 100, index * 100 + 9, 1000 + index);
    held_rows.push_back({index * 100, index * 100 + 9, 1000 + index});
  }
  for (uint32_t index = 100; index < 400; ++index) {
    Add(index * 100, index * 100 + 9, 5000 + index, "0123456789abcdef");
  }
  const WorkerHeartbeat heartbeat = Next(held_rows);
  const KeyLease lease = Lease(heartbeat);
  CHECK(wire.EncodeAcknowledgement(lease).size() <= wire.MaxAcknowledgementBytes());
  CHECK(lease.keys.size() > 100);
  CHECK(grants.rows_omitted() > 0);
  for (const HeldKeys& row : held_rows) {
    CHECK(std::any_of(lease.keys.begin(), lease.keys.end(),
                      [&](const LeasedKeys& keys) { return keys.first == row.first; }));
  }
}

// With 43 workers, a moving hot range and a balancing round for each move of it, every response
// stays within the size limit and no row is omitted.
TEST(HeartbeatGrants, ABusyPlannerStaysWithinOneAnswerForEachWorker) {
  SeededRandom random(11);
  sharding::PlannerInput input;
  for (int index = 0; index < 43; ++index) {
    const std::string node = "quote-front-" + std::to_string(index);
    input.workers.push_back({{node, "worker-of-" + node}, 12, true});
  }
  const sharding::PlannerConfig config;
  sharding::ShardMap map = PlanRepair({}, input, config).map;
  size_t largest = 0;
  for (int round = 0; round < 300; ++round) {
    input.loads.clear();
    const uint32_t hot = static_cast<uint32_t>(random.Below(sharding::kBucketCount));
    for (const sharding::Shard& shard : map.shards()) {
      sharding::LoadReport& report = input.loads[shard.owner.node];
      report.service_seconds = 0.2;
      for (uint32_t bucket = sharding::BucketOf(shard.first);
           bucket <= sharding::BucketOf(shard.last); ++bucket) {
        const bool busy = bucket >= hot && bucket < hot + 40;
        const double rate = busy ? 20.0 : 0.2;
        report.buckets.emplace_back(bucket, rate);
        report.requests_per_second += rate;
      }
    }
    const sharding::Plan plan = PlanBalance(map, input, config);
    if (plan.changed) map = plan.map;
    const auto token = map.NextToken();
    for (sharding::Shard& shard : map.shards()) {
      if (shard.move_to_node.empty()) continue;
      const std::string node = shard.move_to_node;
      sharding::ShardMap::Assign(&shard, {node, "worker-of-" + node}, token, "0123456789abcdef");
    }
    for (const auto& worker : input.workers) {
      shards.clear();
      for (const sharding::Shard& shard : map.shards()) {
        if (shard.owner.node != worker.id.node) continue;
        Add(shard.first, shard.last, shard.token, shard.handover);
      }
      const size_t bytes = wire.EncodeAcknowledgement(Lease(Next())).size();
      largest = std::max(largest, bytes);
    }
  }
  CHECK(largest <= wire.MaxAcknowledgementBytes());
  CHECK_EQUAL(0, grants.rows_omitted());
}
