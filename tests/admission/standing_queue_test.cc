// A standing queue at the objective: callers bring a little more than the server completes, for a
// long time, so that each admitted request is answered about when its target time ends.

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <map>
#include <queue>
#include <vector>

#include "runshelf/admission/admission_queue.h"
#include "runshelf/common/random.h"

using namespace runshelf;
using namespace runshelf::admission;

namespace {

constexpr uint32_t kSlots = 18;
constexpr Duration kTarget = std::chrono::milliseconds(1000);
constexpr double kMeanServiceMs = 300;
constexpr Duration kTick = std::chrono::milliseconds(10);

struct Outcome {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  Duration longest_wait_of_refused{0};
};

// Service times spread as those of requests that make calls of their own on hosts that others use
// too: a quarter of them takes three times as long.
Duration ServiceTime(Random& random) {
  const double factor = random.Below(4) == 0 ? 3.0 : 1.0;
  const double spread = 0.5 + static_cast<double>(random.Below(1000)) / 1000;
  return Duration(static_cast<int64_t>(kMeanServiceMs * 1000 / 1.5 * factor * spread));
}

// Plays `length` of load that is `overload` times what the server completes.
Outcome Play(double deviations, double overload, Duration length) {
  SeededRandom random{11};
  AdmissionConfig config;
  config.slots = kSlots;
  config.share_below_higher_weight = 1;
  config.share_of_highest_weight = 1;
  config.queue_max = 400;
  config.service_time_deviations = deviations;
  AdmissionQueue queue(config);
  Outcome outcome;
  Instant now = InstantFromMicroseconds(1000000);
  const Instant end = now + length;
  struct Run {
    Instant ends;
    uint64_t id;
    Duration took;
    bool operator>(const Run& other) const { return ends > other.ends; }
  };
  std::priority_queue<Run, std::vector<Run>, std::greater<>> runs;
  std::map<uint64_t, Instant> offered;
  const auto apply = [&](const AdmissionChanges& changes) {
    for (const uint64_t id : changes.started) {
      const Duration took = ServiceTime(random);
      runs.push({now + took, id, took});
    }
    for (const Refusal& refusal : changes.refused) {
      ++outcome.refused;
      outcome.longest_wait_of_refused =
          std::max(outcome.longest_wait_of_refused, now - offered.at(refusal.id));
    }
  };
  uint64_t next_id = 1;
  const double per_second = kSlots * 1000 / kMeanServiceMs * overload;
  Instant next_arrival = now;
  Instant next_tick = now;
  while (now < end) {
    now = std::min(next_arrival, next_tick);
    if (!runs.empty()) now = std::min(now, runs.top().ends);
    if (!runs.empty() && runs.top().ends == now) {
      const Run run = runs.top();
      runs.pop();
      ++(now - offered.at(run.id) <= kTarget ? outcome.in_time : outcome.late);
      apply(queue.OnCompleted(now, run.id, Completion::kServed, run.took));
    } else if (next_arrival == now) {
      const uint64_t id = next_id++;
      offered[id] = now;
      apply(queue.Offer(now, {id, "read", 1, now + kTarget}));
      const double gap_us = -std::log(1 - static_cast<double>(random.Below(1000000)) / 1000000) *
                            1000000 / per_second;
      next_arrival = now + Duration(static_cast<int64_t>(gap_us) + 1);
    } else {
      apply(queue.Tick(now));
      next_tick = now + kTick;
    }
  }
  return outcome;
}

}  // namespace

TEST_GROUP(StandingQueue){};

// Guards against a queue in which everybody waits until the answer comes just too late.
TEST(StandingQueue, MoreRequestsAreAnsweredInTimeWithAMarginForTheSpreadOfServiceTimes) {
  for (const double overload : {1.1, 1.3, 2.0}) {
    const Outcome without = Play(0, overload, std::chrono::seconds(120));
    const Outcome with = Play(1, overload, std::chrono::seconds(120));
    CHECK(with.late < without.late * 2 / 3);
    CHECK(with.in_time > without.in_time);
    // The server is kept as busy as before.
    const int completed = with.in_time + with.late;
    CHECK(completed > (without.in_time + without.late) * 97 / 100);
  }
}

TEST(StandingQueue, WithoutOverloadNothingChanges) {
  const Outcome without = Play(0, 0.7, std::chrono::seconds(60));
  const Outcome with = Play(1, 0.7, std::chrono::seconds(60));
  CHECK(with.refused <= without.refused + without.in_time / 100);
  CHECK(with.in_time >= without.in_time * 99 / 100);
}
