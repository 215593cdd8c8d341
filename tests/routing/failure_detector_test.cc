#include "runshelf/routing/failure_detector.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>

#include "runshelf/routing/probe_pacer.h"

using runshelf::Duration;
using runshelf::InstanceId;
using runshelf::Instant;
using runshelf::routing::FailureDetector;
using runshelf::routing::FailureDetectorConfig;
using runshelf::routing::ProbePacer;
using runshelf::routing::ProbePacerConfig;
using runshelf::routing::RouteTarget;

namespace {

const Instant kStart(std::chrono::seconds(100));

std::vector<RouteTarget> Targets(size_t count) {
  std::vector<RouteTarget> targets(count);
  for (size_t index = 0; index < count; ++index) {
    targets[index].instance = {"node-" + std::to_string(index), index + 1};
  }
  return targets;
}

}  // namespace

TEST_GROUP(FailureDetector){};

TEST(FailureDetector, EjectsAfterThreeFailuresForAGrowingTime) {
  FailureDetector detector(FailureDetectorConfig{});
  const auto targets = Targets(4);
  Instant now = kStart;
  for (int failure = 0; failure < 3; ++failure) {
    CHECK_FALSE(detector.Ejected(now, targets)[1]);
    detector.OnFailure(now, targets[1].instance);
  }
  CHECK(detector.Ejected(now, targets)[1]);
  now += std::chrono::milliseconds(500);
  CHECK_FALSE(detector.Ejected(now, targets)[1]);
  detector.OnFailure(now, targets[1].instance);
  CHECK(detector.Ejected(now + std::chrono::milliseconds(999), targets)[1]);
  detector.OnReachable(targets[1].instance);
  CHECK_FALSE(detector.Ejected(now, targets)[1]);
}

TEST(FailureDetector, NeverEjectsMoreThanHalf) {
  CHECK(rc::check("at most half of the targets are ejected", [] {
    const auto targets = Targets(*rc::gen::inRange<size_t>(1, 9));
    FailureDetector detector(FailureDetectorConfig{});
    Instant now = kStart;
    const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      now += Duration(step * 50);
      const InstanceId& target = targets[static_cast<size_t>(step) % targets.size()].instance;
      if (step % 10 == 0) {
        detector.OnReachable(target);
      } else {
        detector.OnFailure(now, target);
      }
      const std::vector<bool> ejected = detector.Ejected(now, targets);
      RC_ASSERT(static_cast<size_t>(std::count(ejected.begin(), ejected.end(), true)) <=
                targets.size() / 2);
    }
  }));
}

TEST(FailureDetector, ProbesOfALostOwnerDoNotGrowWithTheWaitingRequests) {
  ProbePacer<int> pacer(ProbePacerConfig{});
  pacer.OnFailure(kStart, 7);
  int probes = 0;
  for (int millisecond = 0; millisecond < 1000; ++millisecond) {
    const Instant now = kStart + std::chrono::milliseconds(millisecond);
    int probes_now = 0;
    for (int request = 0; request < 100; ++request) {
      if (!pacer.AskToTry(now, 7).has_value()) ++probes_now;
    }
    if (probes_now > 0) pacer.OnFailure(now, 7);
    probes += probes_now;
  }
  CHECK(probes >= 15);
  CHECK(probes <= 25);
  pacer.OnSuccess(7);
  CHECK_FALSE(pacer.AskToTry(kStart, 7).has_value());
}
