#include "runshelf/routing/retry_budget.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using runshelf::Duration;
using runshelf::Instant;
using runshelf::routing::RetryBudget;
using runshelf::routing::RetryBudgetConfig;

namespace {

// Keeps every event and counts those of the latest twenty periods.
class NaiveBudget {
 public:
  explicit NaiveBudget(const RetryBudgetConfig& config) : config_(config) {}

  void OnFirstAttempt(Instant now) { firsts_.push_back(Period(now)); }

  bool TryRetry(Instant now) {
    const double allowed = config_.fraction * Recent(firsts_, now) + config_.floor;
    if (Recent(retries_, now) + 1 > allowed) return false;
    retries_.push_back(Period(now));
    return true;
  }

 private:
  int64_t Period(Instant now) const {
    return runshelf::ToMicroseconds(now) * 20 / config_.window.count();
  }

  double Recent(const std::vector<int64_t>& periods, Instant now) const {
    const int64_t oldest = Period(now) - 19;
    return static_cast<double>(std::count_if(periods.begin(), periods.end(),
                                             [=](int64_t period) { return period >= oldest; }));
  }

  RetryBudgetConfig config_;
  std::vector<int64_t> firsts_;
  std::vector<int64_t> retries_;
};

}  // namespace

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, AgreesWithCountingEveryEvent) {
  CHECK(rc::check("retry budget equals the count of all events in the window", [] {
    RetryBudgetConfig config;
    config.window = std::chrono::seconds(1);
    config.floor = 2;
    RetryBudget budget(config);
    NaiveBudget naive(config);
    Instant now(std::chrono::seconds(50));
    const auto steps = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 60'000));
    for (const int step : steps) {
      now += Duration(step / 4);
      if (step % 4 != 0) {
        budget.OnFirstAttempt(now);
        naive.OnFirstAttempt(now);
      }
      if (step % 3 == 0) RC_ASSERT(budget.TryRetry(now) == naive.TryRetry(now));
    }
  }));
}
