// The limiter and the allocator together: several instances and a leader that changes, over a
// network that delays, loses and cuts off, on clocks of different rates.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>

#include "runshelf/admission/limit_allocator.h"
#include "runshelf/admission/rate_limiter.h"
#include "runshelf/common/random.h"

using runshelf::Duration;
using runshelf::Instant;
using runshelf::SeededRandom;
using namespace runshelf::admission;  // NOLINT(google-build-using-namespace): the part under test.

namespace {

constexpr double kLimit = 100;  // Requests per second.
constexpr Duration kStep = std::chrono::milliseconds(5);

// What a world does besides running the production code as it is.
struct Faults {
  bool network = true;           // Loss, delay, cut-offs and pauses.
  bool fleet_changes = true;     // Leaders and instances are replaced.
  bool rare_changes = false;     // Rarely enough that all floors and shares are handed out.
  bool naive_allocator = false;  // Gives each the part of its demand, whatever is outstanding.
  bool naive_leader = false;     // A new leader gives at once.
};

struct Outcome {
  double largest_rate_sum = 0;   // Of all instances, over the limit.
  double largest_excess = -1e9;  // Admitted over limit * W, of all windows.
  double admitted_per_second = 0;
};

class World {
 public:
  World(uint64_t seed, size_t instances, const Faults& faults) : random_(seed), faults_(faults) {
    config_.floor_valid_for = std::chrono::seconds(20);
    for (size_t index = 0; index < instances; ++index) AddInstance();
    allocator_ = MakeAllocator(/*has_predecessor=*/false);
  }

  // Every instance is offered `demand` requests per second; instance 0 `skew` times as many.
  Outcome Run(Duration length, double demand, double skew) {
    Outcome outcome;
    double excess = 0;
    int admitted_in_all = 0;
    for (Duration elapsed{0}; elapsed < length; elapsed += kStep) {
      now_ += kStep;
      if (faults_.network) DisturbNetwork();
      if (faults_.fleet_changes) DisturbFleet();
      Deliver();
      int admitted = 0;
      double rate_sum = 0;
      for (size_t index = 0; index < instances_.size(); ++index) {
        Instance& instance = instances_[index];
        if (!instance.alive && now_ >= instance.dead_after) continue;
        admitted += Serve(instance, index == 0 ? demand * skew : demand);
        rate_sum += instance.limiter->Rate(LocalTime(instance), "billing", "desk");
        if (instance.alive) MaybeReport(index);
      }
      admitted_in_all += admitted;
      // The largest sum over windows that end now of (admitted - limit * W).
      excess = std::max(0.0, excess) + admitted - kLimit * 0.005;
      outcome.largest_excess = std::max(outcome.largest_excess, excess);
      outcome.largest_rate_sum = std::max(outcome.largest_rate_sum, rate_sum);
    }
    outcome.admitted_per_second = admitted_in_all / (static_cast<double>(length.count()) / 1e6);
    return outcome;
  }

  // The slack of the limit: the burst of each limiter, of those that ever lived at once.
  double Slack() const { return static_cast<double>(instances_.size()) + kLimit * 0.1; }

 private:
  struct Instance {
    std::unique_ptr<RateLimiter> limiter;
    runshelf::InstanceId id;
    double clock_rate = 1;
    bool alive = true;     // Among the known instances; one that is not may still serve a while.
    Instant dead_after{};  // When it stops serving, once not alive.
    Instant cut_off_until{};
    Instant next_report{};
    double owed = 0;  // Requests of callers not offered yet.
  };
  struct Message {
    Instant arrives_at;
    size_t instance = 0;
    std::optional<ShareReport> report;
    std::optional<ShareGrant> grant;
  };

  void AddInstance() {
    Instance instance;
    const std::string name = "node-" + std::to_string(instances_.size());
    instance.id = {name, instances_.size() + 1};
    instance.limiter = std::make_unique<RateLimiter>(instance.id, RateLimiterConfig{});
    instance.clock_rate = 0.99 + 0.001 * static_cast<double>(random_.Below(21));
    instances_.push_back(std::move(instance));
  }

  std::unique_ptr<LimitAllocator> MakeAllocator(bool has_predecessor) {
    return std::make_unique<LimitAllocator>(config_, ++term_, now_, has_predecessor);
  }

  Instant LocalTime(const Instance& instance) const {
    const auto microseconds = static_cast<double>(runshelf::ToMicroseconds(now_));
    return runshelf::InstantFromMicroseconds(
        static_cast<int64_t>(microseconds * instance.clock_rate));
  }

  void DisturbNetwork() {
    Instance& instance = instances_[random_.Below(instances_.size())];
    if (random_.Below(200) == 0) {
      instance.cut_off_until = now_ + random_.Between(Duration(0), std::chrono::seconds(8));
    }
  }

  void DisturbFleet() {
    const uint64_t scale = faults_.rare_changes ? 10 : 1;
    if (random_.Below(600 * scale) == 0) allocator_ = MakeAllocator(!faults_.naive_leader);
    if (random_.Below(1500 * scale) != 0) return;
    Instance& instance = instances_[random_.Below(instances_.size())];
    if (!instance.alive) return;
    instance.alive = false;  // Taken for lost, but it goes on serving for a while.
    instance.dead_after = now_ + random_.Between(Duration(0), std::chrono::seconds(10));
    AddInstance();
  }

  int Serve(Instance& instance, double demand) {
    int admitted = 0;
    for (instance.owed += demand * 0.005; instance.owed >= 1; instance.owed -= 1) {
      const Instant now = LocalTime(instance);
      if (instance.limiter->Admit(now, "billing", "desk", kLimit).admitted) ++admitted;
    }
    return admitted;
  }

  void MaybeReport(size_t index) {
    Instance& instance = instances_[index];
    const bool early = instance.limiter->WantsEarlyReport(LocalTime(instance));
    if (now_ < instance.next_report && !early) return;
    instance.next_report = now_ + config_.renewal_interval;
    Send({now_, index, instance.limiter->MakeReport(LocalTime(instance), term_), std::nullopt});
  }

  void Send(Message message) {
    const bool cut_off = instances_[message.instance].cut_off_until > now_;
    if (cut_off || (faults_.network && random_.Below(10) == 0)) return;
    Duration longest = std::chrono::milliseconds(2);
    // Some messages sit in a paused process for long.
    if (faults_.network && random_.Below(5) == 0) longest = std::chrono::seconds(3);
    message.arrives_at = now_ + random_.Between(Duration(0), longest);
    messages_.push_back(std::move(message));
  }

  void Deliver() {
    std::deque<Message> waiting = std::exchange(messages_, {});
    for (Message& message : waiting) {
      if (message.arrives_at > now_) {
        messages_.push_back(std::move(message));
      } else if (message.report.has_value()) {
        Answer(message.instance, *message.report);
      } else {
        Instance& instance = instances_[message.instance];
        instance.limiter->ApplyGrant(LocalTime(instance), *message.grant);
      }
    }
  }

  void Answer(size_t index, const ShareReport& report) {
    const auto alive =
        static_cast<size_t>(std::count_if(instances_.begin(), instances_.end(),
                                          [](const Instance& instance) { return instance.alive; }));
    auto grant = allocator_->OnReport(
        now_, report, alive, [](const std::string&, const std::string&) { return kLimit; });
    if (!grant.has_value()) return;
    if (faults_.naive_allocator && !report.demands.empty()) {
      const double demand = report.demands.front().requests_per_second;
      grant->shares.front().requests_per_second = std::min(demand, kLimit * (1 - kFloorPart));
    }
    Send({now_, index, std::nullopt, std::move(grant)});
  }

  SeededRandom random_;
  Faults faults_;
  ShareConfig config_;
  Instant now_{std::chrono::seconds(1000)};
  uint64_t term_ = 0;
  std::unique_ptr<LimitAllocator> allocator_;
  std::deque<Instance> instances_;
  std::deque<Message> messages_;
};

Outcome Worst(Faults faults, uint64_t seeds) {
  Outcome worst;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    faults.rare_changes = seed % 2 == 0;
    World world(seed, 6, faults);
    const Outcome outcome =
        world.Run(std::chrono::seconds(60), /*demand=*/seed % 3 == 0 ? 10 : 60, /*skew=*/3);
    worst.largest_rate_sum = std::max(worst.largest_rate_sum, outcome.largest_rate_sum);
    worst.largest_excess = std::max(worst.largest_excess, outcome.largest_excess - world.Slack());
  }
  return worst;
}

}  // namespace

TEST_GROUP(LimitShares){};

TEST(LimitShares, TheLimitHoldsAcrossTheFleetUnderEveryFault) {
  const Outcome worst = Worst(Faults{}, 60);
  CHECK(worst.largest_rate_sum <= kLimit + 1e-6);
  CHECK(worst.largest_excess <= 0);
}

TEST(LimitShares, AnAllocatorThatForgetsWhatIsOutstandingBreaksTheLimit) {
  Faults faults;
  faults.naive_allocator = true;
  const Outcome worst = Worst(faults, 3);
  CHECK(worst.largest_rate_sum > kLimit * 1.2);
  CHECK(worst.largest_excess > 0);
}

TEST(LimitShares, ALeaderThatDoesNotWaitOutItsPredecessorBreaksTheLimit) {
  Faults faults;
  faults.naive_leader = true;
  CHECK(Worst(faults, 20).largest_rate_sum > kLimit * 1.2);
}

TEST(LimitShares, AReportForAnotherLeaderIsNotAnswered) {
  LimitAllocator allocator(ShareConfig{}, 7, Instant(std::chrono::seconds(1)));
  ShareReport report;
  report.instance = {"node", 1};
  report.sequence = 1;
  report.floor_fraction = 1;
  report.held.push_back({"billing", "desk", 80, std::chrono::seconds(1)});
  report.demands.push_back({"billing", "desk", 80});
  const auto limit_of = [](const std::string&, const std::string&) { return kLimit; };
  report.leader_term = 6;
  CHECK_FALSE(allocator.OnReport(Instant(std::chrono::seconds(1)), report, 1, limit_of));
  report.leader_term = 7;
  const auto grant = allocator.OnReport(Instant(std::chrono::seconds(1)), report, 1, limit_of);
  DOUBLES_EQUAL(80, grant->shares.at(0).requests_per_second, 1e-9);
  CHECK_FALSE(allocator.OnReport(Instant(std::chrono::seconds(2)), report, 1, limit_of));
}

TEST(LimitShares, WithoutFaultsDemandIsMetUpToTheLimit) {
  const Faults none{false, false, false, false, false};
  World balanced(1, 6, none);
  CHECK(balanced.Run(std::chrono::seconds(30), 60, 1).admitted_per_second > 0.93 * kLimit);
  // One instance asks for nearly all; the floors of the others stay unused.
  World skewed(2, 6, none);
  CHECK(skewed.Run(std::chrono::seconds(30), 1, 500).admitted_per_second > 0.75 * kLimit);
  World light(3, 6, none);
  CHECK(light.Run(std::chrono::seconds(30), 10, 1).admitted_per_second > 0.95 * 60);
}
