#include "source/sharding/key_demand.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "source/sharding/shard_planner.h"

using namespace runshelf;
using namespace runshelf::sharding;

namespace {

constexpr uint32_t kSlots = 9;
constexpr double kServiceSeconds = 0.3;  // At a worker of speed 1, which completes 30 a second.
constexpr ShardKey kHot = 100;
constexpr double kHotRate = 250;
constexpr size_t kRangesOfAWorker = 4;
constexpr int kRoundsToMove = 2;

// A fleet whose moves take one round of a second each; no network, no clock.
struct DemandFleet {
  PlannerInput input;
  PlannerConfig config;
  ShardMap map;
  KeyDemand demand;
  std::map<ShardKey, double> rates;  // Requests per second by key.
  std::map<std::string, double> speeds;
  size_t ranges_moved = 0;

  explicit DemandFleet(const std::vector<double>& speeds_by_worker) {
    for (const double speed : speeds_by_worker) {
      const std::string node = "n" + std::to_string(input.workers.size());
      input.workers.push_back({{node, "worker-of-" + node}, kSlots, true});
      speeds[node] = speed;
    }
    config.initial_shards = kRangesOfAWorker * input.workers.size();
    map = PlanRepair({}, input, config).map;
    for (ShardKey key = 50; key < kMaxShardKey; key += 100) rates[key] = 0.1;
  }

  std::string OwnerOf(ShardKey key) const { return map.Find(key)->owner.node; }

  double RateBeside(const std::string& node, ShardKey hot) const {
    double rate = 0;
    for (const auto& [key, key_rate] : rates) {
      if (key != hot && OwnerOf(key) == node) rate += key_rate;
    }
    return rate;
  }

  void Report() {
    input.loads.clear();
    for (const PlannerWorker& worker : input.workers) {
      LoadReport& report = input.loads[worker.id.node];
      report.node = worker.id.node;
      report.slots = kSlots;
      report.service_seconds = kServiceSeconds / speeds[worker.id.node];
    }
    for (const auto& [key, rate] : rates) {
      LoadReport& report = input.loads[OwnerOf(key)];
      report.buckets.emplace_back(key, rate);
      report.requests_per_second += rate;
    }
    for (auto& [node, report] : input.loads) {
      std::stable_sort(
          report.buckets.begin(), report.buckets.end(),
          [](const auto& left, const auto& right) { return left.second > right.second; });
    }
  }

  // Whether the worker that owns the key has next to nothing else to do.
  bool IsAlone(ShardKey hot) const {
    return RateBeside(OwnerOf(hot), hot) <= 2 * config.demand.moved_rate_min;
  }

  // Reports, plans and executes the moves. Returns the events of the demand.
  std::vector<KeyDemandEvent> Round() {
    input.now += std::chrono::seconds(1);
    Report();
    auto events = demand.Update(input.now, map, input);
    input.keys_in_demand = demand.Keys();
    const Plan plan = PlanBalance(map, input, config);
    if (plan.changed) map = plan.map;
    const FencingToken token = map.NextToken();
    for (Shard& shard : map.shards()) {
      if (shard.move_to_node.empty()) continue;
      ++ranges_moved;
      ShardMap::Assign(&shard, {shard.move_to_node, "worker-of-" + shard.move_to_node}, token, "");
    }
    return events;
  }
};

const std::vector<double> kEqual(8, 1.0);

}  // namespace

TEST_GROUP(KeyDemand){};

// Guards against keys beside a key in demand that stay where nearly all requests are refused.
TEST(KeyDemand, OneKeyAtEightTimesItsOwnersCapacity) {
  DemandFleet fleet(kEqual);
  const std::string owner = fleet.OwnerOf(kHot);
  fleet.rates[kHot] = kHotRate;
  fleet.rates[kHot - 1] = fleet.rates[kHot + 1] = 3;
  const auto events = fleet.Round();
  CHECK_EQUAL(1, events.size());
  CHECK(events[0].begun && events[0].key.key == kHot && events[0].key.owner == owner);
  for (int round = 0; round < 6; ++round) {
    STRCMP_EQUAL(owner.c_str(), fleet.OwnerOf(kHot).c_str());
    CHECK(round < kRoundsToMove || fleet.IsAlone(kHot));
    CHECK(fleet.Round().empty());
  }
}

// Guards against an end of the demand at each pause, and against one that is never noticed.
TEST(KeyDemand, DemandThatPausesAndThenEnds) {
  DemandFleet fleet(kEqual);
  fleet.rates[kHot] = kHotRate;
  fleet.Round();
  fleet.rates[kHot] = 1;
  CHECK(fleet.Round().empty());
  fleet.rates[kHot] = kHotRate;
  CHECK(fleet.Round().empty());
  fleet.rates[kHot] = 1;
  CHECK(fleet.Round().empty());
  const auto events = fleet.Round();
  CHECK(events.size() == 1 && !events[0].begun);
  CHECK_EQUAL(0, fleet.demand.size());
}

// Guards against workers that are reserved for single keys where all keys are busy.
TEST(KeyDemand, ManyBusyKeysAreNoKeyInDemand) {
  DemandFleet fleet(kEqual);
  for (auto& [key, rate] : fleet.rates) rate = 1;
  fleet.Report();
  CHECK(fleet.demand.Update(fleet.input.now, fleet.map, fleet.input).empty());
  for (auto& [key, rate] : fleet.rates) rate = 30;
  fleet.Report();
  CHECK_EQUAL(2, fleet.demand.Update(fleet.input.now, fleet.map, fleet.input).size());
}

// Guards against a key in demand that stays at a slow worker while a fast one has nothing but keys
// that others could take.
TEST(KeyDemand, OneKeyAtASlowWorker) {
  DemandFleet fleet({0.5, 1, 1, 1, 1, 1, 1, 1.6});
  STRCMP_EQUAL("n0", fleet.OwnerOf(kHot).c_str());
  fleet.rates[kHot] = kHotRate;
  fleet.Round();
  STRCMP_EQUAL("n7", fleet.OwnerOf(kHot).c_str());
  for (int round = 0; round < kRoundsToMove; ++round) fleet.Round();
  CHECK(fleet.IsAlone(kHot));
}

// Guards against two keys in demand that share one worker's slots.
TEST(KeyDemand, TwoKeysAtOneOwner) {
  DemandFleet fleet(kEqual);
  fleet.rates[kHot] = kHotRate;
  fleet.rates[kHot + 1] = kHotRate / 2;
  fleet.Round();
  CHECK(fleet.OwnerOf(kHot) != fleet.OwnerOf(kHot + 1));
  for (int round = 0; round < kRoundsToMove; ++round) fleet.Round();
  CHECK(fleet.IsAlone(kHot) && fleet.IsAlone(kHot + 1));
}

// Guards against a storm of moves: a demand moves the key and what its owner and its next owner
// have beside it, once.
TEST(KeyDemand, DemandThatJumpsEveryFourSeconds) {
  DemandFleet fleet({0.5, 0.5, 1, 1, 1, 1, 1.6, 1.6});
  constexpr int kJumps = 10;
  for (int jump = 0; jump < kJumps; ++jump) {
    const auto key = static_cast<ShardKey>(kHot + jump * 6007);
    fleet.rates[key] = kHotRate;
    int moves = 0;
    for (int second = 0; second < 4; ++second) {
      const std::string before = fleet.OwnerOf(key);
      fleet.Round();
      if (fleet.OwnerOf(key) != before) ++moves;
    }
    CHECK(moves <= 1);
    fleet.rates[key] = 0;
  }
  CHECK(fleet.ranges_moved <= kJumps * (1 + 2 * kRangesOfAWorker));
}

// Guards against a successor that is treated like any worker, and against state that cannot be
// rebuilt: the former planning node ends together with the owner.
TEST(KeyDemand, TheOwnerAndThePlanningNodeEnd) {
  DemandFleet fleet(kEqual);
  fleet.rates[kHot] = kHotRate;
  fleet.Round();
  const std::string owner = fleet.OwnerOf(kHot);
  std::erase_if(fleet.input.workers, [&](const auto& worker) { return worker.id.node == owner; });
  fleet.input.departed_nodes.insert(owner);
  fleet.demand = KeyDemand();
  fleet.map = PlanRepair(fleet.map, fleet.input, fleet.config).map;
  CHECK(fleet.OwnerOf(kHot) != owner);
  for (int round = 0; round < kRoundsToMove; ++round) fleet.Round();
  CHECK_EQUAL(1, fleet.demand.size());
  CHECK(fleet.IsAlone(kHot));
}

// Guards against keys that follow each moment in which a host is slow.
TEST(KeyDemand, AHostIsSlowForAMoment) {
  ServiceTimeMeter meter;
  Instant now{};
  const auto sample = [&](double seconds, int count) {
    for (int index = 0; index < count; ++index) {
      now += std::chrono::milliseconds(250);
      meter.Sample(now, seconds);
    }
  };
  sample(0.2, 20);
  sample(0.6, 2);
  CHECK(meter.seconds() < 0.3);
  sample(0.6, 40);
  CHECK(meter.seconds() > 0.55);
}

// Guards against plans from rates that lag behind by seconds, and against workers that stay
// reserved as long after the demand has ended.
TEST(KeyDemand, TheRateOfAKeyJumpsAndFalls) {
  using std::chrono::milliseconds;
  KeyLoadMeter meter;
  const auto count = [&meter](ShardKey key, int requests) {
    for (int index = 0; index < requests; ++index) meter.OnRequest(key);
  };
  for (int second = 0; second < 10; ++second) {
    count(1, 14);
    meter.EndPeriod(milliseconds(1000));
  }
  count(1, 20);
  CHECK_FALSE(meter.HasJumped(milliseconds(1000)));
  count(kHot, 50);
  CHECK(meter.HasJumped(milliseconds(1000)));
  meter.Restart();
  count(kHot, 125);
  CHECK_FALSE(meter.HasJumped(milliseconds(250)));
  meter.EndPeriod(milliseconds(500));
  LoadReport report;
  meter.Fill(&report);
  DOUBLES_EQUAL(250, report.requests_per_second, 1);
  count(kHot, 4);
  CHECK(meter.HasJumped(milliseconds(250)));
}
