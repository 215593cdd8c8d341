#include "runshelf/routing/load_balancer.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>

using runshelf::Duration;
using runshelf::InstanceId;
using runshelf::Instant;
using runshelf::SeededRandom;
using runshelf::routing::LoadBalancer;
using runshelf::routing::LoadBalancerConfig;
using runshelf::routing::RouteTarget;
using runshelf::routing::TargetLoad;

namespace {

const Instant kNow(std::chrono::seconds(100));

std::vector<RouteTarget> Targets(const std::vector<std::string>& zones) {
  std::vector<RouteTarget> targets;
  for (size_t index = 0; index < zones.size(); ++index) {
    RouteTarget target;
    target.instance = {"node-" + std::to_string(index), index + 1};
    target.zone = zones[index];
    targets.push_back(target);
  }
  return targets;
}

// Places `count` requests that never end; returns the largest number at one target.
uint32_t LargestAfter(int count, bool naive) {
  const auto targets = Targets(std::vector<std::string>(16, "a"));
  LoadBalancer balancer(LoadBalancerConfig{});
  SeededRandom random(7);
  const std::vector<bool> skipped(targets.size(), false);
  uint32_t largest = 0;
  for (int request = 0; request < count; ++request) {
    const size_t chosen = naive ? random.Below(targets.size())
                                : *balancer.Choose(kNow, targets, skipped, "a", random);
    balancer.OnAttemptStart(targets[chosen].instance);
    largest = std::max(largest, balancer.Outstanding(targets[chosen].instance));
  }
  return largest;
}

// Senders that share 25 workers, of which `refusing` refuse 45% of what they get until `well_at`.
// Every request is placed, reported on and ended at once, so that load plays no part.
class SharedWorkers {
 public:
  SharedWorkers(size_t refusing, Instant well_at) : refusing_(refusing), well_at_(well_at) {}

  // Moves all but the first workers out of the zone of the senders.
  void KeepInZone(size_t first) {
    for (size_t index = first; index < targets_.size(); ++index) targets_[index].zone = "b";
  }

  // The share of the requests of `duration` that the first `counted` workers get.
  double ShareOfFirst(size_t counted, Duration duration) {
    size_t requests = 0;
    size_t at_counted = 0;
    for (const Instant end = now_ + duration; now_ < end; now_ += kInterval) {
      const size_t chosen = Place(senders_[++requests % senders_.size()]);
      if (chosen < counted) ++at_counted;
    }
    return static_cast<double>(at_counted) / static_cast<double>(requests);
  }

 private:
  static constexpr Duration kInterval = std::chrono::milliseconds(1);
  static constexpr uint32_t kRefusedPercent = 45;

  size_t Place(LoadBalancer& sender) {
    const size_t chosen = *sender.Choose(now_, targets_, skipped_, "a", random_);
    TargetLoad load{0, 0, 20, false};
    load.refused_percent = chosen < refusing_ && now_ < well_at_ ? kRefusedPercent : 0;
    sender.OnAttemptStart(targets_[chosen].instance);
    sender.OnLoad(now_, targets_[chosen].instance, load);
    sender.OnAttemptEnd(targets_[chosen].instance);
    return chosen;
  }

  size_t refusing_;
  Instant well_at_;
  Instant now_ = kNow;
  SeededRandom random_{11};
  std::vector<RouteTarget> targets_ = Targets(std::vector<std::string>(25, "a"));
  std::vector<bool> skipped_ = std::vector<bool>(25, false);
  std::vector<LoadBalancer> senders_ = std::vector<LoadBalancer>(20, LoadBalancer({}));
};

}  // namespace

TEST_GROUP(LoadBalancer){};

TEST(LoadBalancer, TwoChoicesStayNearTheMeanWhereOneRandomChoiceDoesNot) {
  CHECK(LargestAfter(1600, /*naive=*/false) <= 104);
  CHECK(LargestAfter(1600, /*naive=*/true) > 110);
}

TEST(LoadBalancer, NeverChoosesSkippedOrLeavingTargets) {
  CHECK(rc::check("chosen targets are neither skipped nor leaving", [] {
    auto targets = Targets({"a", "a", "b", "b", "c"});
    const auto skipped = *rc::gen::container<std::vector<bool>>(5, rc::gen::arbitrary<bool>());
    bool any = false;
    for (size_t index = 0; index < targets.size(); ++index) {
      targets[index].leaving = *rc::gen::arbitrary<bool>();
      any = any || (!targets[index].leaving && !skipped[index]);
    }
    LoadBalancer balancer(LoadBalancerConfig{});
    SeededRandom random(*rc::gen::arbitrary<uint64_t>());
    const auto chosen = balancer.Choose(kNow, targets, skipped, "b", random);
    RC_ASSERT(chosen.has_value() == any);
    if (any) RC_ASSERT(!targets[*chosen].leaving && !skipped[*chosen]);
  }));
}

TEST(LoadBalancer, LeavesItsZoneOnlyWhenThatIsClearlyBusier) {
  const auto targets = Targets({"a", "b"});
  LoadBalancer balancer(LoadBalancerConfig{});
  SeededRandom random(1);
  const std::vector<bool> skipped(2, false);
  for (int request = 0; request < 4; ++request) {
    UNSIGNED_LONGS_EQUAL(0, *balancer.Choose(kNow, targets, skipped, "a", random));
    balancer.OnAttemptStart(targets[0].instance);
  }
  balancer.OnAttemptStart(targets[0].instance);
  UNSIGNED_LONGS_EQUAL(1, *balancer.Choose(kNow, targets, skipped, "a", random));
  balancer.OnAttemptEnd(targets[0].instance);
  UNSIGNED_LONGS_EQUAL(0, *balancer.Choose(kNow, targets, skipped, "a", random));
}

TEST(LoadBalancer, ReportedLoadOfOthersCountsUntilItIsOld) {
  LoadBalancer balancer(LoadBalancerConfig{});
  const InstanceId target{"node", 1};
  balancer.OnAttemptStart(target);
  balancer.OnLoad(kNow, target, {11, 0, 20, false});
  DOUBLES_EQUAL(12, balancer.Score(kNow, target), 1e-9);
  DOUBLES_EQUAL(7, balancer.Score(kNow + std::chrono::milliseconds(500), target), 1e-9);
  DOUBLES_EQUAL(2, balancer.Score(kNow + std::chrono::seconds(2), target), 1e-9);
}

TEST(LoadBalancer, NewAndColdTargetsStartSlowly) {
  LoadBalancer balancer(LoadBalancerConfig{});
  const InstanceId old_target{"old", 1};
  const InstanceId new_target{"young", 1};
  balancer.SetTargets(kNow, {old_target});
  balancer.SetTargets(kNow, {old_target, new_target});
  DOUBLES_EQUAL(1, balancer.Score(kNow, old_target), 1e-9);
  DOUBLES_EQUAL(10, balancer.Score(kNow, new_target), 1e-9);
  const Instant later = kNow + std::chrono::seconds(10);
  DOUBLES_EQUAL(1, balancer.Score(later, new_target), 1e-9);
  balancer.OnLoad(later, old_target, {0, 0, 20, true});
  DOUBLES_EQUAL(10, balancer.Score(later, old_target), 1e-9);
}

TEST(LoadBalancer, LoadHeaderIsParsedBackAndNothingElseIs) {
  const TargetLoad load{3, 14, 20, true};
  STRCMP_EQUAL("3,14,20,cold", load.ToString().c_str());
  CHECK(TargetLoad::Parse(load.ToString()) == load);
  for (const char* text : {"", "1,2,3", "1,2,3,", "1,2,x,warm", "-1,2,3,warm", "1,2,3,warm "}) {
    CHECK_FALSE(TargetLoad::Parse(text).has_value());
  }
}

// Guards against workers that refuse a share of their requests and get as many as the others.
TEST(LoadBalancer, AFifthOfTheWorkersThatRefusesNearlyHalfGetsATrickleUntilItIsWell) {
  const Instant well_at = kNow + std::chrono::seconds(10);
  SharedWorkers workers(5, well_at);
  workers.ShareOfFirst(5, std::chrono::seconds(2));
  const double avoided = workers.ShareOfFirst(5, std::chrono::seconds(8));
  CHECK(avoided > 0.005);
  CHECK(avoided < 0.06);
  workers.ShareOfFirst(5, std::chrono::seconds(10));
  DOUBLES_EQUAL(0.2, workers.ShareOfFirst(5, std::chrono::seconds(5)), 0.03);
}

// Guards against load that gathers at single workers, or leaves its zone, when all of the service
// refuse a share.
TEST(LoadBalancer, LoadStaysSpreadInItsZoneWhenAllWorkersRefuseAShare) {
  SharedWorkers workers(25, Instant::max());
  workers.KeepInZone(10);
  workers.ShareOfFirst(5, std::chrono::seconds(1));
  DOUBLES_EQUAL(0.5, workers.ShareOfFirst(5, std::chrono::seconds(15)), 0.03);
}

// Guards against senders that leave the room of such a worker unused while all others are full.
TEST(LoadBalancer, AWorkerThatRefusesAShareIsUsedWhenTheOthersAreFull) {
  const auto targets = Targets({"a", "a"});
  LoadBalancer balancer(LoadBalancerConfig{});
  SeededRandom random(1);
  TargetLoad load{0, 0, 20, false};
  load.refused_percent = 45;
  balancer.OnLoad(kNow, targets[0].instance, load);
  balancer.OnLoad(kNow, targets[1].instance, {10, 0, 20, false});
  UNSIGNED_LONGS_EQUAL(1, *balancer.Choose(kNow, targets, {false, false}, "a", random));
  balancer.OnLoad(kNow, targets[1].instance, {20, 9, 20, false});
  UNSIGNED_LONGS_EQUAL(0, *balancer.Choose(kNow, targets, {false, false}, "a", random));
}
