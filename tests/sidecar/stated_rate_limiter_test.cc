#include "source/sidecar/stated_rate_limiter.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "runshelf/common/random.h"
#include "tests/common/most_within.h"

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

constexpr Duration kPeriod = std::chrono::seconds(4);
// What workers tolerate within each period: half as much again as they state, and some requests.
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedRequests = 5;

}  // namespace

TEST_GROUP(StatedRateLimiter) {
  StatedRateLimiter limiter;
  Instant now{std::chrono::seconds(100)};
  std::vector<Instant> sent;

  // Sends as many requests as are admitted, one try each millisecond.
  void SendFor(Duration time) {
    const Instant end = now + time;
    for (; now < end; now += std::chrono::milliseconds(1)) {
      if (limiter.TimeToRoom(now) > Duration(0)) continue;
      limiter.OnSent(now);
      sent.push_back(now);
    }
  }
};

// Guards against a worker that gets more than it tolerates within some period, counted from when it
// first stated its limit, whatever it got before.
TEST(StatedRateLimiter, NoPeriodBringsMoreThanAWorkerTolerates) {
  SeededRandom random(59);
  for (int round = 0; round < 40; ++round) {
    limiter = {};
    sent.clear();
    const double rate = 0.1 + static_cast<double>(random.Below(600)) / 10;
    SendFor(std::chrono::milliseconds(random.Below(100)));
    sent.clear();
    limiter.OnResponse(now, now, rate);
    SendFor(std::chrono::seconds(12));
    const double tolerated =
        rate * std::chrono::duration<double>(kPeriod).count() * kToleratedFactor +
        kToleratedRequests;
    CHECK(static_cast<double>(MostWithin(kPeriod, sent)) <= tolerated);
    CHECK(static_cast<double>(sent.size()) >= rate * 10);
  }
}

// Guards against a limit that begins with a burst on top of what the worker was just sent.
TEST(StatedRateLimiter, RequestsOfTheLastSecondCountTowardsALimitThatBegins) {
  SendFor(std::chrono::seconds(1));
  limiter.OnResponse(now, now, 20);
  sent.clear();
  SendFor(std::chrono::seconds(1));
  CHECK(sent.size() <= 1);
  sent.clear();
  SendFor(std::chrono::seconds(2));
  CHECK(sent.size() >= 38);
}

// Guards against a limit that a response lifts which was sent before the worker stated it.
TEST(StatedRateLimiter, AnOlderResponseLowersALimitButDoesNotLiftIt) {
  const Instant earlier = now - std::chrono::milliseconds(300);
  CHECK(limiter.OnResponse(now, earlier, 20));
  CHECK_FALSE(limiter.OnResponse(now, earlier, std::nullopt));
  CHECK_FALSE(limiter.OnResponse(now, earlier, 30));
  DOUBLES_EQUAL(20, *limiter.rate(), 0);
  CHECK(limiter.OnResponse(now, earlier, 10));
  DOUBLES_EQUAL(10, *limiter.rate(), 0);
  CHECK(limiter.OnResponse(now, now, 30));
  CHECK(limiter.OnResponse(now, now, std::nullopt));
  CHECK_FALSE(limiter.rate().has_value());
}

// Guards against one return time for all who are refused, who would come back together.
TEST(StatedRateLimiter, RefusedCallersAreSpreadOverTheTimeThatTheLimitNeeds) {
  limiter.OnResponse(now, now, 10);
  const Duration first = limiter.RetryAfter(now);
  for (int refused = 0; refused < 9; ++refused) limiter.RetryAfter(now);
  CHECK(limiter.RetryAfter(now) >= first + std::chrono::milliseconds(950));
}
