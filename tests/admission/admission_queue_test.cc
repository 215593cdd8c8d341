#include "runshelf/admission/admission_queue.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "runshelf/common/random.h"

using runshelf::Duration;
using runshelf::Instant;
using runshelf::SeededRandom;
using namespace runshelf::admission;  // NOLINT(google-build-using-namespace): the part under test.

namespace {

const Instant kStart(std::chrono::seconds(100));

constexpr Duration Milliseconds(int64_t count) { return Duration(count * 1000); }

AdmissionRequest Request(uint64_t id, uint32_t weight, Duration deadline_in,
                         const std::string& caller_class = "") {
  const std::string by_weight = "class-" + std::to_string(weight);
  return {id, caller_class.empty() ? by_weight : caller_class, weight, kStart + deadline_in};
}

// Keeps a list that it sorts again at every step. Fixed slots, one class per weight, no class caps.
class NaiveQueue {
 public:
  NaiveQueue(size_t slots, size_t queue_max) : slots_(slots), queue_max_(queue_max) {}

  AdmissionChanges Offer(Instant now, const AdmissionRequest& request) {
    list_.push_back(request);
    std::sort(list_.begin(), list_.end(), [](const auto& left, const auto& right) {
      if (left.weight != right.weight) return left.weight > right.weight;
      if (left.deadline != right.deadline) return left.deadline < right.deadline;
      return left.id < right.id;
    });
    AdmissionChanges changes;
    Start(now, changes);
    Refuse(now, changes);
    if (list_.size() > queue_max_) {
      const bool displaces = list_.back().weight < request.weight;
      const uint64_t refused = displaces ? list_.back().id : request.id;
      changes.refused.push_back(
          {refused, displaces ? RefusalReason::kDisplaced : RefusalReason::kQueueFull, {}});
      std::erase_if(list_, [&](const auto& waiting) { return waiting.id == refused; });
    }
    return changes;
  }

  AdmissionChanges Complete(Instant now, uint64_t id, Duration service_time) {
    const auto measured = static_cast<double>(service_time.count());
    for (double* mean : {&mean_, &means_[running_.at(id)]}) {
      *mean = *mean == 0 ? measured : *mean + (measured - *mean) * 0.1;
    }
    running_.erase(id);
    return Tick(now);
  }

  AdmissionChanges Tick(Instant now) {
    AdmissionChanges changes;
    Refuse(now, changes);
    Start(now, changes);
    return changes;
  }

 private:
  void Start(Instant now, AdmissionChanges& changes) {
    while (!list_.empty() && running_.size() < slots_) {
      if (list_.front().deadline <= now) {
        changes.refused.push_back({list_.front().id, RefusalReason::kDeadline, {}});
      } else {
        running_[list_.front().id] = list_.front().weight;
        changes.started.push_back(list_.front().id);
      }
      list_.erase(list_.begin());
    }
  }

  void Refuse(Instant now, AdmissionChanges& changes) {
    std::vector<AdmissionRequest> kept;
    for (const AdmissionRequest& request : list_) {
      const size_t free = slots_ - running_.size();
      double wait = 0;
      if (kept.size() >= free && mean_ > 0) {
        const double completions = CompletionsPerMicrosecond() + static_cast<double>(free) / mean_;
        wait = static_cast<double>(kept.size() + 1 - free) / completions;
      }
      const Duration needed(static_cast<int64_t>(wait + MeanOf(request.weight)));
      if (request.deadline <= now || now + needed > request.deadline) {
        changes.refused.push_back({request.id, RefusalReason::kDeadline, {}});
      } else {
        kept.push_back(request);
      }
    }
    list_ = kept;
  }

  double MeanOf(uint32_t weight) { return means_[weight] > 0 ? means_[weight] : mean_; }

  double CompletionsPerMicrosecond() {
    double completions = 0;
    for (const auto& [id, weight] : running_) completions += 1 / MeanOf(weight);
    return completions;
  }

  size_t slots_;
  size_t queue_max_;
  double mean_ = 0;
  std::map<uint32_t, double> means_;  // By weight, which is by class here.
  std::vector<AdmissionRequest> list_;
  std::map<uint64_t, uint32_t> running_;  // Id to weight.
};

AdmissionChanges WithoutRetryAfter(AdmissionChanges changes) {
  for (Refusal& refusal : changes.refused) refusal.retry_after = Duration::zero();
  return changes;
}

AdmissionConfig PlainConfig(uint32_t slots, size_t queue_max) {
  AdmissionConfig config;
  config.slots = slots;
  config.queue_max = queue_max;
  config.share_below_higher_weight = 1;
  config.share_of_highest_weight = 1;
  return config;
}

}  // namespace

TEST_GROUP(AdmissionQueue){};

TEST(AdmissionQueue, AgreesWithASortedList) {
  CHECK(rc::check("queue equals a list sorted at every step", [] {
    const auto slots = *rc::gen::inRange<uint32_t>(1, 5);
    const auto queue_max = *rc::gen::inRange<size_t>(1, 9);
    SeededRandom random(*rc::gen::arbitrary<uint64_t>());
    AdmissionQueue queue(PlainConfig(slots, queue_max));
    NaiveQueue naive(slots, queue_max);
    std::vector<uint64_t> running;
    Instant now = kStart;
    for (uint64_t id = 1; id <= 300; ++id) {
      now += random.Between(Duration(0), Milliseconds(6));
      AdmissionChanges changes;
      AdmissionChanges expected;
      const uint64_t choice = random.Below(5);
      if (choice < 2 && !running.empty()) {
        const uint64_t done = running[random.Below(running.size())];
        std::erase(running, done);
        const Duration service_time = random.Between(Milliseconds(1), Milliseconds(40));
        changes = queue.OnCompleted(now, done, Completion::kServed, service_time);
        expected = naive.Complete(now, done, service_time);
      } else if (choice == 2) {
        changes = queue.Tick(now);
        expected = naive.Tick(now);
      } else {
        const auto weight = static_cast<uint32_t>(1 + random.Below(4));
        const Duration deadline = now - kStart + random.Between(Duration(0), Milliseconds(120));
        changes = queue.Offer(now, Request(id, weight, deadline));
        expected = naive.Offer(now, Request(id, weight, deadline));
      }
      running.insert(running.end(), changes.started.begin(), changes.started.end());
      RC_ASSERT(running.size() <= slots);
      RC_ASSERT(queue.queued() <= queue_max);
      RC_ASSERT(WithoutRetryAfter(changes) == expected);
    }
  }));
}

TEST(AdmissionQueue, HigherWeightGoesFirstWhereArrivalOrderWouldNot) {
  AdmissionQueue queue(PlainConfig(1, 10));
  queue.Offer(kStart, Request(1, 1, Milliseconds(500)));
  queue.Offer(kStart, Request(2, 1, Milliseconds(400)));
  queue.Offer(kStart, Request(3, 5, Milliseconds(900)));
  const auto next = [&](uint64_t done) {
    return queue.OnCompleted(kStart, done, Completion::kServed, Milliseconds(1)).started.at(0);
  };
  LONGS_EQUAL(3, next(1));
  LONGS_EQUAL(2, next(3));
}

TEST(AdmissionQueue, ASlowClassLeavesSlotsToOthers) {
  AdmissionConfig config;
  AdmissionQueue queue(config);
  queue.Offer(kStart, Request(1, 10, Milliseconds(5000)));
  queue.OnCompleted(kStart, 1, Completion::kServed, Milliseconds(1));
  for (uint64_t id = 100; id < 140; ++id) queue.Offer(kStart, Request(id, 1, Milliseconds(9000)));
  LONGS_EQUAL(15, queue.running());
  const auto changes = queue.Offer(kStart, Request(2, 10, Milliseconds(5000)));
  LONGS_EQUAL(1, changes.started.size());
  // Alone for long enough, the class gets all slots.
  queue.Tick(kStart + Milliseconds(5000));
  LONGS_EQUAL(16, queue.running());
  queue.OnCompleted(kStart, 2, Completion::kServed, Milliseconds(1));
  queue.Tick(kStart + std::chrono::seconds(8));
  LONGS_EQUAL(15, queue.running());
}

TEST(AdmissionQueue, TheHighestClassAloneLeavesATenth) {
  AdmissionQueue queue(AdmissionConfig{});
  queue.Offer(kStart, Request(1, 1, Milliseconds(5000)));
  for (uint64_t id = 100; id < 140; ++id) queue.Offer(kStart, Request(id, 9, Milliseconds(9000)));
  LONGS_EQUAL(1 + 18, queue.running());
  LONGS_EQUAL(1, queue.Offer(kStart, Request(2, 1, Milliseconds(5000))).started.size());
}

TEST(AdmissionQueue, AClassThatIsAloneGetsAllSlots) {
  AdmissionQueue queue(AdmissionConfig{});
  for (uint64_t id = 100; id < 140; ++id) queue.Offer(kStart, Request(id, 9, Milliseconds(9000)));
  LONGS_EQUAL(20, queue.running());
}

TEST(AdmissionQueue, ShedSignalsShrinkAndAnswersGrowTheLimit) {
  AdmissionQueue queue(PlainConfig(20, 100));
  for (uint64_t id = 1; id <= 60; ++id) queue.Offer(kStart, Request(id, 1, Milliseconds(60'000)));
  queue.OnCompleted(kStart, 1, Completion::kShed, {});
  LONGS_EQUAL(14, queue.ConcurrencyLimit(kStart));
  queue.OnCompleted(kStart, 2, Completion::kShed, {});
  LONGS_EQUAL(14, queue.ConcurrencyLimit(kStart));
  LONGS_EQUAL(18, queue.running());
  queue.OnCompleted(kStart + Milliseconds(100), 3, Completion::kShed, {});
  LONGS_EQUAL(9, queue.ConcurrencyLimit(kStart));
  // Identifiers start in ascending order, so each is running when its turn comes.
  for (uint64_t id = 4; id < 400; ++id) {
    queue.Offer(kStart, Request(57 + id, 1, Milliseconds(60'000)));
    queue.OnCompleted(kStart, id, Completion::kServed, Milliseconds(1));
  }
  LONGS_EQUAL(20, queue.ConcurrencyLimit(kStart));
}

TEST(AdmissionQueue, AColdServerIsRampedUp) {
  AdmissionQueue queue(AdmissionConfig{});
  queue.SetCold(kStart);
  for (uint64_t id = 1; id <= 60; ++id) queue.Offer(kStart, Request(id, 1, Milliseconds(60'000)));
  LONGS_EQUAL(4, queue.running());
  queue.SetCold(kStart + Milliseconds(5000));
  LONGS_EQUAL(8, queue.Tick(kStart + Milliseconds(5000)).started.size());
  LONGS_EQUAL(8, queue.Tick(kStart + Milliseconds(10'000)).started.size());
}

TEST(AdmissionQueue, SlowMeasurementsNeverLockTheServerOut) {
  AdmissionQueue queue(PlainConfig(1, 10));
  queue.Offer(kStart, Request(1, 1, Milliseconds(9000)));
  queue.OnCompleted(kStart, 1, Completion::kServed, Milliseconds(8000));
  LONGS_EQUAL(1, queue.Offer(kStart, Request(2, 1, Milliseconds(500))).started.size());
  const AdmissionChanges changes = queue.Offer(kStart, Request(3, 1, Milliseconds(500)));
  CHECK(changes.refused.at(0).reason == RefusalReason::kDeadline);
  CHECK(changes.refused.at(0).retry_after >= Milliseconds(50));
}

// One key in demand: 290 requests a second for a server with 15 slots that completes 24 of them.
// Who is told to come back at once is refused again; who comes after the others were served is not.
TEST(AdmissionQueue, CallersOfAServerInDemandAreToldToComeBackLater) {
  AdmissionQueue queue(PlainConfig(15, 400));
  uint64_t next_id = 1;
  for (; next_id <= 15; ++next_id) queue.Offer(kStart, Request(next_id, 1, Milliseconds(5000)));
  for (uint64_t id = 1; id <= 15; ++id) {
    queue.OnCompleted(kStart, id, Completion::kServed, Milliseconds(610));
    queue.Offer(kStart, Request(next_id++, 1, Milliseconds(5000)));
  }
  const auto offer = [&](Instant at) {
    return queue.Offer(at, Request(next_id++, 1, (at - kStart) + Milliseconds(900)));
  };
  Duration last{};
  size_t refused = 0;
  for (int count = 0; count < 290; ++count) {
    const Instant at = kStart + Milliseconds(count * 1000 / 290);
    for (const Refusal& refusal : offer(at).refused) {
      ++refused;
      last = refusal.retry_after;
    }
  }
  CHECK(refused > 200);
  CHECK(last > Milliseconds(4000));
  // Ten seconds later nobody is expected back.
  Duration alone{};
  for (int count = 0; count < 20 && alone == Duration::zero(); ++count) {
    const auto changes = offer(kStart + Milliseconds(11'000));
    if (!changes.refused.empty()) alone = changes.refused.front().retry_after;
  }
  CHECK(alone > Duration::zero());
  CHECK(alone < Milliseconds(1500));
}

TEST(AdmissionQueue, DrainingFinishesWhatWaitsAndRefusesTheRest) {
  AdmissionQueue queue(PlainConfig(1, 10));
  queue.Offer(kStart, Request(1, 1, Milliseconds(500)));
  queue.Offer(kStart, Request(2, 1, Milliseconds(500)));
  queue.Drain();
  CHECK(queue.Offer(kStart, Request(3, 9, Milliseconds(500))).refused.at(0).reason ==
        RefusalReason::kDraining);
  LONGS_EQUAL(2, queue.OnCompleted(kStart, 1, Completion::kFailed, {}).started.at(0));
  queue.OnCompleted(kStart, 2, Completion::kFailed, {});
  CHECK(queue.idle());
}

TEST(AdmissionQueue, ACancelledRequestNeverStarts) {
  AdmissionQueue queue(PlainConfig(1, 10));
  queue.Offer(kStart, Request(1, 1, Milliseconds(500)));
  queue.Offer(kStart, Request(2, 1, Milliseconds(500)));
  CHECK(queue.Cancel(2));
  CHECK_FALSE(queue.Cancel(1));
  LONGS_EQUAL(0, queue.OnCompleted(kStart, 1, Completion::kServed, Milliseconds(1)).started.size());
}
