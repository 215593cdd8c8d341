// Uses a fleet of 194 nodes in 6 zones, the size for which feed_tree.h gives traffic figures. Each
// node changes the state when it starts.
#include "source/sidecar/feed_tree.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

constexpr size_t kNodes = 194;
constexpr size_t kZones = 6;

std::string NodeName(size_t index) { return "n" + std::to_string(index); }

NodeRecord Record(const std::string& node, const std::string& zone,
                  uint32_t processor_percent = 10) {
  NodeRecord record;
  record.node = node;
  record.inbound = {"10.0.0.1", 80};
  record.zone = zone;
  record.service = "shop";
  record.worker_state = WorkerState::kReady;
  record.processor_percent = processor_percent;
  record.link_megabits = 20;
  return record;
}

}  // namespace

TEST_GROUP(FeedTree) {
  Instant now = InstantFromMicroseconds(100000000);
  PeerDirectory peers{"n0", "z0"};
  FeedTree tree{peers, "n0", "z0"};

  void AddFleet() {
    for (size_t index = 0; index < kNodes; ++index) {
      peers.OnRecord(Record(NodeName(index), "z" + std::to_string(index % kZones)));
    }
  }
};

TEST(FeedTree, AChangeReachesEveryNodeAndCrossesEachBorderOnce) {
  AddFleet();
  std::multiset<std::string> reached{"n0"};
  size_t between_zones = 0;
  for (const FeedReceiver& neighbour : tree.ReceiversInZone(now)) {
    CHECK_FALSE(neighbour.reads_for_zone);
    reached.insert(neighbour.node);
  }
  for (const FeedReceiver& receiver : tree.ReadersOfOtherZones(now)) {
    reached.insert(receiver.node);
    CHECK(receiver.reads_for_zone);
    ++between_zones;
    FeedTree of_reader(peers, receiver.node, receiver.zone);
    for (const FeedReceiver& neighbour : of_reader.ReceiversInZone(now)) {
      STRCMP_EQUAL(receiver.zone.c_str(), neighbour.zone.c_str());
      CHECK_FALSE(neighbour.reads_for_zone);
      reached.insert(neighbour.node);
    }
  }
  // If the origin sent the change to every node itself, it would leave the zone 161 times.
  CHECK_EQUAL(kZones - 1, between_zones);
  CHECK_EQUAL(kNodes, reached.size());
  for (size_t index = 0; index < kNodes; ++index) CHECK_EQUAL(1, reached.count(NodeName(index)));
}

TEST(FeedTree, NoNodeSendsAChangeToMoreThanItsZoneAndOneOfEachOther) {
  AddFleet();
  const size_t of_origin = tree.ReadersOfOtherZones(now).size() + tree.ReceiversInZone(now).size();
  CHECK(of_origin <= kNodes / kZones + kZones);
}

TEST(FeedTree, TheStrongestMachineReadsForItsZone) {
  AddFleet();
  peers.OnRecord(Record("strong", "z1", /*processor_percent=*/50));
  STRCMP_EQUAL("strong", tree.ReaderOf(now, "z1")->node.c_str());
  NodeRecord wide = Record("wide", "z2");
  wide.link_megabits = 200;
  peers.OnRecord(wide);
  STRCMP_EQUAL("wide", tree.ReaderOf(now, "z2")->node.c_str());
}

TEST(FeedTree, NodesBestSuitedForForwardingComeFirst) {
  AddFleet();
  NodeRecord wide = Record("wide", "z0", 50);
  wide.link_megabits = 200;
  peers.OnRecord(wide);
  STRCMP_EQUAL("wide", tree.ReceiversInZone(now).front().node.c_str());
  tree.OnReaderFailed(now, "wide");
  STRCMP_EQUAL("wide", tree.ReceiversInZone(now).back().node.c_str());
  // Only known nodes of this zone, without this node itself.
  const auto among = tree.ReceiversAmong(now, {"n0", "n6", "n1", "gone", "n12"});
  CHECK_EQUAL(2, among.size());
}

TEST(FeedTree, AFailedReaderIsAvoidedForTheHoldOffTime) {
  AddFleet();
  peers.OnRecord(Record("strong", "z1", /*processor_percent=*/50));
  tree.OnReaderFailed(now, "strong");
  const std::string second = tree.ReaderOf(now, "z1")->node;
  CHECK(second != "strong");
  tree.OnReaderFailed(now, second);
  const std::string third = tree.ReaderOf(now, "z1")->node;
  CHECK(third != "strong" && third != second);
  now += std::chrono::seconds(4);
  STRCMP_EQUAL("strong", tree.ReaderOf(now, "z1")->node.c_str());
}

TEST(FeedTree, ANodeThatStopsOrLostItsItemReadsOnlyWhenThereIsNoOther) {
  NodeRecord stopping = Record("a", "z1", 50);
  stopping.stopping = true;
  peers.OnRecord(stopping);
  peers.OnRecord(Record("b", "z1", 40));
  peers.OnRemoved(now, "b");
  peers.OnRecord(Record("c", "z1"));
  STRCMP_EQUAL("c", tree.ReaderOf(now, "z1")->node.c_str());
  peers.OnRecord(stopping);
  NodeRecord last = Record("c", "z1");
  last.stopping = true;
  peers.OnRecord(last);
  CHECK(tree.ReaderOf(now, "z1").has_value());
  CHECK_FALSE(tree.ReaderOf(now, "z9").has_value());
}

TEST(FeedTree, RanksByProcessorTimeThenByHashOfName) {
  CHECK(RankOf(Record("weak", "z0", 10)).processor_percent == 10);
  CHECK(RankOf(Record("x", "z0", 50)) < RankOf(Record("y", "z0", 10)));
  CHECK_FALSE(RankOf(Record("y", "z0", 10)) < RankOf(Record("x", "z0", 50)));
  CHECK_FALSE(RankOf(Record("x", "z0")) < RankOf(Record("x", "z0")));
  // Among equal machines the first ranks are spread over zones, though nodes with adjacent names
  // share a zone.
  std::map<CandidateRank, std::string> zones_by_rank;
  for (size_t index = 0; index < 60; ++index) {
    zones_by_rank[RankOf(Record(NodeName(index), "z0"))] = "z" + std::to_string(index / 10);
  }
  CHECK_EQUAL(60, zones_by_rank.size());
  std::set<std::string> zones;
  auto position = zones_by_rank.begin();
  for (int first = 0; first < 8; ++first) zones.insert((position++)->second);
  CHECK(zones.size() >= 3);
}
