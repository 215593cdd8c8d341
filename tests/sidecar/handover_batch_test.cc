// Many workers release shards at the same time: their handovers are written together.
#include "source/sidecar/handover_batch.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

constexpr uint32_t kNodes = 40;
constexpr uint32_t kShardSize = 65536 / 64;
constexpr store::StoreEra kEra = 1;
constexpr auto kLongAfter = std::chrono::seconds(1);

std::string NodeName(uint32_t index) { return fmt::format("n{:02}", index); }

}  // namespace

TEST_GROUP(HandoverBatch) {
  Instant now = InstantFromMicroseconds(100000000);
  HandoverBatch batch;

  // Shard `index` of 64 belongs to node `index` and moves to the next node.
  sharding::ShardMap Map() {
    sharding::ShardMap map;
    for (uint32_t index = 0; index < 64; ++index) {
      sharding::Shard shard;
      shard.first = index * kShardSize;
      shard.last = shard.first + kShardSize - 1;
      sharding::ShardMap::Assign(&shard, {NodeName(index), "w"}, map.NextToken(), "");
      shard.move_to_node = NodeName(index + 1);
      map.shards().push_back(shard);
    }
    return map;
  }
  HandoverReport Report(uint32_t index, store::Revision run = 7) {
    HandoverReport report;
    report.node = NodeName(index);
    report.era = kEra;
    report.latest_run = {"nodes/" + report.node, run};
    report.shards.push_back({index * kShardSize,
                             (index + 1) * kShardSize - 1,
                             index + 1,
                             {NodeName(index + 1), "next"},
                             "handover"});
    return report;
  }
};

// Guards against one write, and many conflicts, for each node that hands over shards.
TEST(HandoverBatch, HandoversThatArriveTogetherAreOneChange) {
  for (uint32_t index = 0; index < 20; ++index) batch.Add(now, Report(index));
  CHECK(*batch.DueAt() > now);
  CHECK(*batch.DueAt() <= now + std::chrono::milliseconds(50));
  const sharding::ShardMap map = Map();
  const auto change = batch.MakeChange(*batch.DueAt(), map, kEra);
  CHECK_EQUAL(20, change.tickets.size());
  CHECK_EQUAL(20, change.conditions.size());
  CHECK_EQUAL(0, change.refused.size());
  const sharding::Shard& moved = change.map.shards()[3];
  STRCMP_EQUAL("n04", moved.owner.node.c_str());
  STRCMP_EQUAL("next", moved.owner.worker.c_str());
  STRCMP_EQUAL("handover", moved.handover.c_str());
  CHECK(moved.token > map.last_token());
  CHECK(change.map.shards()[20] == map.shards()[20]);
}

// Guards against a transaction with more entries than the store accepts.
TEST(HandoverBatch, MoreHandoversThanATransactionHoldsTakeSeveralChanges) {
  for (uint32_t index = 0; index < kNodes; ++index) batch.Add(now, Report(index));
  const auto first = batch.MakeChange(now, Map(), kEra);
  CHECK(first.conditions.size() <= 30);
  for (const auto ticket : first.tickets) batch.Remove(ticket);
  const auto second = batch.MakeChange(now, first.map, kEra);
  CHECK_EQUAL(kNodes, first.tickets.size() + second.tickets.size());
}

// Guards against a write for each of the handovers that arrive one after the other.
TEST(HandoverBatch, ChangesFollowEachOtherAtThePaceAtWhichNodesLearnOfThem) {
  for (const auto ticket : {batch.Add(now, Report(0))}) {
    batch.MakeChange(*batch.DueAt(), Map(), kEra);
    batch.Remove(ticket);
  }
  CHECK_FALSE(batch.DueAt().has_value());
  const Instant written_at = now + std::chrono::milliseconds(20);
  batch.Add(written_at, Report(1));
  CHECK(*batch.DueAt() >= written_at + std::chrono::milliseconds(100));
  batch.Add(written_at + kLongAfter, Report(2));
}

// Guards against a handover carried out for a shard that has been assigned anew since.
TEST(HandoverBatch, AHandoverOfAShardThatTheMapNoLongerHasIsRefused) {
  sharding::ShardMap map = Map();
  sharding::Shard& reassigned = map.shards()[1];
  sharding::ShardMap::Assign(&reassigned, reassigned.owner, map.NextToken(), "");
  HandoverReport of_former_era = Report(2);
  of_former_era.era = kEra - 1;
  HandoverReport of_other_node = Report(3);
  of_other_node.node = NodeName(9);
  batch.Add(now, Report(1));
  batch.Add(now, of_former_era);
  batch.Add(now, of_other_node);
  const auto change = batch.MakeChange(now, map, kEra);
  CHECK_EQUAL(0, change.tickets.size());
  CHECK_EQUAL(3, change.refused.size());
  CHECK_FALSE(batch.DueAt().has_value());
}

// Guards against two rows for one key in a transaction, of which only one can hold.
TEST(HandoverBatch, ReportsOfTwoRunsOfANodeAreNotWrittenTogether) {
  batch.Add(now, Report(1, 7));
  batch.Add(now, Report(1, 8));
  CHECK_EQUAL(1, batch.MakeChange(now, Map(), kEra).conditions.size());
}

// Guards against a successor that gets a token which its worker refuses.
TEST(HandoverBatch, TheNewTokenIsAboveTheTokensThatWorkersHaveSeen) {
  HandoverReport report = Report(1);
  report.highest_token_seen = 5000;
  batch.Add(now, report);
  CHECK(batch.MakeChange(now, Map(), kEra).map.shards()[1].token > 5000);
}

TEST(HandoverBatch, AReportIsReadAsItWasWritten) {
  HandoverReport report = Report(5);
  report.service = "shop";
  report.highest_token_seen = uint64_t{1} << 52U;
  report.latest_run.revision = store::MakeRevision(3, 99);
  const auto read = HandoverReport::Parse(report.Serialize());
  CHECK(read.has_value());
  CHECK(read->shards == report.shards);
  STRCMP_EQUAL("shop", read->service.c_str());
  STRCMP_EQUAL(report.latest_run.key.c_str(), read->latest_run.key.c_str());
  CHECK_EQUAL(report.latest_run.revision, read->latest_run.revision);
  CHECK_EQUAL(report.highest_token_seen, read->highest_token_seen);
  CHECK_EQUAL(kEra, read->era);
  for (const char* broken : {"", "[]", "{}", R"({"node":1})"}) {
    CHECK_FALSE(HandoverReport::Parse(broken).has_value());
  }
}
