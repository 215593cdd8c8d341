#include "runshelf/routing/load_balancer.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>

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
