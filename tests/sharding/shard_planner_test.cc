#include "source/sharding/shard_planner.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace runshelf::sharding;

namespace {

// Of one write: the store takes 32 entries, two of which are for the map.
constexpr size_t kMaxConditions = 30;

PlannerWorker Worker(const std::string& node, bool accepting = true) {
  return {{node, "worker-of-" + node}, 18, accepting};
}

PlannerInput Fleet(size_t count) {
  PlannerInput input;
  for (size_t index = 0; index < count; ++index) {
    input.workers.push_back(Worker("n" + std::to_string(index)));
  }
  return input;
}

std::map<std::string, uint64_t> KeysByNode(const ShardMap& map) {
  std::map<std::string, uint64_t> keys;
  for (const Shard& shard : map.shards()) keys[shard.owner.node] += shard.size();
  return keys;
}

// Sets the load reports that the owners in the map would send, given the rate of each bucket.
void Measure(const ShardMap& map, const std::map<uint32_t, double>& rates, PlannerInput* input) {
  input->loads.clear();
  for (const PlannerWorker& worker : input->workers) {
    LoadReport report;
    report.node = worker.id.node;
    report.service_seconds = 0.1;
    report.slots = worker.slots;
    for (const auto& [bucket, rate] : rates) {
      if (map.Find(bucket * kKeysPerBucket)->owner.node != worker.id.node) continue;
      report.buckets.emplace_back(bucket, rate);
      report.requests_per_second += rate;
    }
    input->loads[worker.id.node] = report;
  }
}

// Executes the moves that a plan has marked.
ShardMap ApplyMoves(ShardMap map) {
  const FencingToken token = map.NextToken();
  for (Shard& shard : map.shards()) {
    if (shard.move_to_node.empty()) continue;
    const std::string to = shard.move_to_node;
    ShardMap::Assign(&shard, {to, "worker-of-" + to}, token, "");
  }
  return map;
}

}  // namespace

TEST_GROUP(ShardPlanner) { PlannerConfig config; };

TEST(ShardPlanner, TheFirstAssignmentIsEven) {
  const Plan plan = PlanRepair({}, Fleet(4), config);
  CHECK(plan.changed);
  for (const auto& [node, keys] : KeysByNode(plan.map)) CHECK_EQUAL(16384, keys);
  CHECK(ShardMap::Parse(plan.map.Serialize()).ok());
}

TEST(ShardPlanner, WithoutWorkersNothingIsAssigned) {
  CHECK_FALSE(PlanRepair({}, {}, config).changed);
  PlannerInput leaving;
  leaving.workers.push_back(Worker("n0", /*accepting=*/false));
  CHECK_FALSE(PlanRepair({}, leaving, config).changed);
}

TEST(ShardPlanner, AHealthyMapIsLeftAlone) {
  const Plan first = PlanRepair({}, Fleet(4), config);
  CHECK_FALSE(PlanRepair(first.map, Fleet(4), config).changed);
}

// Guards against a write that the store refuses for its size, again and again, so that the keys of
// many nodes that are lost together are never served again.
TEST(ShardPlanner, ShardsOfManyDepartedNodesAreTakenInSeveralPlans) {
  ShardMap map = PlanRepair({}, Fleet(60), config).map;
  PlannerInput input;
  for (int index = 0; index < 60; ++index) {
    input.departed_nodes.insert("n" + std::to_string(index));
    input.workers.push_back(Worker("other" + std::to_string(index)));
  }
  size_t taken = 0;
  int plans = 0;
  for (Plan plan = PlanRepair(map, input, config); plan.changed;
       plan = PlanRepair(map, input, config)) {
    CHECK(plan.nodes_assumed_departed.size() <= kMaxConditions);
    taken += plan.nodes_assumed_departed.size();
    map = plan.map;
    CHECK(++plans <= 3);
  }
  CHECK_EQUAL(60, taken);
  for (const Shard& shard : map.shards()) CHECK(shard.owner.node.starts_with("other"));
}

TEST(ShardPlanner, ShardsOfADepartedNodeAreTakenUnderHigherTokens) {
  const Plan first = PlanRepair({}, Fleet(4), config);
  PlannerInput input = Fleet(4);
  input.workers.erase(input.workers.begin());
  input.departed_nodes.insert("n0");
  const Plan plan = PlanRepair(first.map, input, config);
  CHECK(plan.changed);
  CHECK_EQUAL(1, plan.nodes_assumed_departed.count("n0"));
  for (size_t index = 0; index < plan.map.shards().size(); ++index) {
    const Shard& before = first.map.shards()[index];
    const Shard& after = plan.map.shards()[index];
    CHECK(after.owner.node != "n0");
    if (before.owner.node == "n0") {
      CHECK(after.token > first.map.last_token());
    } else {
      CHECK(before == after);
    }
  }
}

TEST(ShardPlanner, ANodeThatIsMerelyUnknownKeepsItsShards) {
  const Plan first = PlanRepair({}, Fleet(4), config);
  PlannerInput input = Fleet(4);
  input.workers.erase(input.workers.begin());
  CHECK_FALSE(PlanRepair(first.map, input, config).changed);
}

TEST(ShardPlanner, ShardsThatWereGivenUpAreTakenWithTheirHandover) {
  Plan first = PlanRepair({}, Fleet(4), config);
  Shard& shard = first.map.shards()[3];
  shard.owner.worker.clear();
  shard.handover = "h";
  const Plan plan = PlanRepair(first.map, Fleet(4), config);
  CHECK(plan.changed);
  CHECK(plan.nodes_assumed_departed.empty());
  CHECK_FALSE(plan.map.shards()[3].owner.worker.empty());
  STRCMP_EQUAL("h", plan.map.shards()[3].handover.c_str());
}

TEST(ShardPlanner, AWorkerThatIsAloneTakesBackWhatItsNodeGaveUp) {
  Plan first = PlanRepair({}, Fleet(1), config);
  for (Shard& shard : first.map.shards()) shard.owner.worker.clear();
  CHECK_FALSE(PlanRepair(first.map, {}, config).changed);
  const Plan plan = PlanRepair(first.map, Fleet(1), config);
  CHECK(plan.changed);
  for (const Shard& shard : plan.map.shards()) {
    STRCMP_EQUAL("worker-of-n0", shard.owner.worker.c_str());
    CHECK(shard.token > first.map.last_token());
  }
}

TEST(ShardPlanner, BalanceSpreadsAHotRange) {
  PlannerInput input = Fleet(4);
  ShardMap map = PlanRepair({}, input, config).map;
  // Adjacent buckets with a single owner carry most of the load.
  std::map<uint32_t, double> rates;
  for (uint32_t bucket = 0; bucket < 12; ++bucket) rates[bucket] = 12;
  for (uint32_t bucket = 100; bucket < kBucketCount; bucket += 50) rates[bucket] = 1;
  for (int round = 0; round < 10; ++round) {
    Measure(map, rates, &input);
    const Plan plan = PlanBalance(map, input, config);
    if (!plan.changed) break;
    map = ApplyMoves(plan.map);
  }
  Measure(map, rates, &input);
  double most = 0;
  double least = 1e9;
  for (const auto& [node, report] : input.loads) {
    most = std::max(most, report.requests_per_second);
    least = std::min(least, report.requests_per_second);
  }
  CHECK_TEXT((most - least) * 0.1 / 18 <= 0.2, "worker utilization differs by more than 20%");
}

TEST(ShardPlanner, BalanceLeavesAnIdleFleetAndMovesUnderWayAlone) {
  PlannerInput input = Fleet(4);
  ShardMap map = PlanRepair({}, input, config).map;
  Measure(map, {{0, 5.0}}, &input);
  CHECK_FALSE(PlanBalance(map, input, config).changed);
  Measure(map, {{0, 90.0}, {1, 90.0}}, &input);
  CHECK(PlanBalance(map, input, config).changed);
  // A move in progress from the busy worker, or moves that involve every other one, prevent
  // another.
  ShardMap moving = map;
  Shard& of_busy = *std::find_if(moving.shards().begin(), moving.shards().end(),
                                 [](const Shard& shard) { return shard.owner.node == "n0"; });
  of_busy.move_to_node = "n2";
  CHECK_FALSE(PlanBalance(moving, input, config).changed);
  moving = map;
  for (Shard& shard : moving.shards()) {
    if (shard.owner.node == "n1") shard.move_to_node = "n2";
    if (shard.owner.node == "n3") shard.move_to_node = "n1";
  }
  CHECK_FALSE(PlanBalance(moving, input, config).changed);
}

// A handover takes until the requests on the keys have ended; balancing between other workers must
// not wait for it.
TEST(ShardPlanner, WorkersWithoutAMoveUnderWayAreRelievedMeanwhile) {
  PlannerInput input = Fleet(4);
  ShardMap map = PlanRepair({}, input, config).map;
  Shard& elsewhere = *std::find_if(map.shards().begin(), map.shards().end(),
                                   [](const Shard& shard) { return shard.owner.node == "n1"; });
  elsewhere.move_to_node = "n2";
  Measure(map, {{0, 90.0}, {1, 90.0}}, &input);
  const Plan plan = PlanBalance(map, input, config);
  CHECK(plan.changed);
  for (const Shard& shard : plan.map.shards()) {
    if (shard.move_to_node.empty() || shard.owner.node == "n1") continue;
    STRCMP_EQUAL("n0", shard.owner.node.c_str());
    STRCMP_EQUAL("n3", shard.move_to_node.c_str());
  }
}

// A single key cannot be split between owners, however busy it is.
TEST(ShardPlanner, AWorkerWhoseLoadCannotBeDividedDoesNotKeepOthersFromRelief) {
  PlannerInput input = Fleet(6);
  const ShardMap map = PlanRepair({}, input, config).map;
  const auto first_key_of = [&](const std::string& node) {
    return std::find_if(map.shards().begin(), map.shards().end(),
                        [&](const Shard& shard) { return shard.owner.node == node; })
        ->first;
  };
  std::map<uint32_t, double> rates;
  rates[first_key_of("n0")] = 900;  // Five times a worker's capacity.
  for (uint32_t key = 0; key < 20; ++key) rates[first_key_of("n1") + key] = 15;
  Measure(map, rates, &input);
  const Plan plan = PlanBalance(map, input, config);
  CHECK(plan.changed);
  const bool relieved = std::any_of(
      plan.map.shards().begin(), plan.map.shards().end(),
      [](const Shard& shard) { return shard.owner.node == "n1" && !shard.move_to_node.empty(); });
  CHECK(relieved);
}

// 60 adjacent keys with 280 requests per second. With a service time of 0.6 s and 15 slots per
// worker this is the capacity of about twelve workers, but at first one of 93 owns all the keys.
TEST(ShardPlanner, ASetOfBusyNeighboursIsSpreadInTwoRounds) {
  constexpr double kServiceSeconds = 0.6;
  constexpr uint32_t kSlots = 15;
  PlannerInput input = Fleet(93);
  for (PlannerWorker& worker : input.workers) worker.slots = kSlots;
  ShardMap map = PlanRepair({}, input, config).map;
  std::map<uint32_t, double> rates;
  for (uint32_t key = 0; key < 60; ++key) rates[key] = 280.0 / 60;
  const auto measure = [&] {
    Measure(map, rates, &input);
    for (auto& [node, report] : input.loads) report.service_seconds = kServiceSeconds;
  };
  for (int round = 0; round < 2; ++round) {
    measure();
    map = ApplyMoves(PlanBalance(map, input, config).map);
  }
  measure();
  for (const auto& [node, report] : input.loads) {
    CHECK(report.requests_per_second * kServiceSeconds / kSlots <= 0.75);
  }
}

// After all machines have lost power, every node has a new worker; a single change must reassign
// the shards of all of them.
TEST(ShardPlanner, ShardsOfReplacedWorkersGoToTheirSuccessorsInOneChange) {
  PlannerInput input = Fleet(5);
  const ShardMap map = PlanRepair({}, input, config).map;
  for (PlannerWorker& worker : input.workers) worker.id.worker = "next-of-" + worker.id.node;
  input.workers[2].accepting = false;
  const Plan plan = PlanRepair(map, input, config);
  CHECK(plan.changed);
  CHECK(plan.nodes_assumed_departed.empty());
  for (size_t index = 0; index < map.shards().size(); ++index) {
    const Shard& before = map.shards()[index];
    const Shard& after = plan.map.shards()[index];
    STRCMP_EQUAL(before.owner.node.c_str(), after.owner.node.c_str());
    if (before.owner.node == "n2") {
      CHECK(before == after);
      continue;
    }
    STRCMP_EQUAL(("next-of-" + before.owner.node).c_str(), after.owner.worker.c_str());
    CHECK(after.token > map.last_token());
  }
  CHECK_FALSE(PlanRepair(plan.map, input, config).changed);
}

// After any sequence of fleet changes, each plan leaves exactly one owner per key, and a key that
// changes its owner gets a token above all earlier ones.
TEST(ShardPlanner, EveryPlanYieldsAValidMap) {
  const bool held = rc::check([this] {
    PlannerInput input = Fleet(*rc::gen::inRange<size_t>(1, 6));
    ShardMap map = PlanRepair({}, input, config).map;
    for (int step = 0; step < 8; ++step) {
      const ShardMap before = map;
      const auto victim = "n" + std::to_string(*rc::gen::inRange(0, 6));
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          input.departed_nodes.insert(victim);
          std::erase_if(input.workers,
                        [&](const auto& worker) { return worker.id.node == victim; });
          break;
        case 1:
          input.departed_nodes.erase(victim);
          std::erase_if(input.workers,
                        [&](const auto& worker) { return worker.id.node == victim; });
          input.workers.push_back(Worker(victim));
          break;
        case 2:
          for (Shard& shard : map.shards()) {
            if (shard.owner.node == victim) shard.owner.worker.clear();
          }
          break;
        default: {
          std::map<uint32_t, double> rates;
          for (int index = 0; index < 6; ++index) {
            rates[*rc::gen::inRange<uint32_t>(0, kBucketCount)] = *rc::gen::inRange(0, 80);
          }
          Measure(map, rates, &input);
          const Plan balance = PlanBalance(map, input, config);
          if (balance.changed) map = ApplyMoves(balance.map);
        }
      }
      const Plan plan = PlanRepair(map, input, config);
      if (plan.changed) map = plan.map;
      RC_ASSERT(ShardMap::Parse(map.Serialize()).ok());
      for (const Shard& shard : map.shards()) {
        const Shard* former = before.Find(shard.first);
        if (!(former->owner == shard.owner) && !shard.owner.worker.empty()) {
          RC_ASSERT(shard.token > before.last_token());
        }
      }
    }
  });
  CHECK(held);
}

TEST(ShardPlanner, AReportRoundTripsAndMalformedReportsAreRejected) {
  KeyLoadMeter meter;
  for (int count = 0; count < 100; ++count) meter.OnRequest(33);
  meter.EndPeriod(std::chrono::seconds(1));
  LoadReport report;
  report.node = "n";
  report.service = "s";
  report.slots = 18;
  meter.Fill(&report);
  CHECK_EQUAL(1, report.buckets.size());
  CHECK_EQUAL(BucketOf(33), report.buckets[0].first);
  LoadReport again;
  CHECK(LoadReport::Parse(report.Serialize(), &again));
  CHECK_EQUAL(report.buckets.size(), again.buckets.size());
  CHECK(std::abs(report.requests_per_second - again.requests_per_second) < 0.1);
  for (const char* broken : {"", "[]", "{}", R"({"node":"n","service":"s"})",
                             R"({"node":"n","service":"s","rate":1,"service_seconds":1,"slots":1,)"
                             R"("buckets":[[4096,1]]})"}) {
    CHECK_FALSE_TEXT(LoadReport::Parse(broken, &again), broken);
  }
}
