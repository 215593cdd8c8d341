#include "source/sidecar/cold_start_limiter.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "runshelf/common/random.h"
#include "tests/common/most_within.h"

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

constexpr ColdStartLimits kLimits{19.5, 8};
constexpr Duration kSecond = std::chrono::seconds(1);
// A request arrives at most this long after it was sent.
constexpr Duration kMaxTransit = std::chrono::milliseconds(40);

}  // namespace

TEST_GROUP(ColdStartLimiter) {
  Instant now = InstantFromMicroseconds(100000000);
  ColdStartLimiter limiter;

  void setup() override { limiter.SetLimits(now, kLimits); }

  size_t AdmittedAtOnce() {
    size_t admitted = 0;
    while (admitted < 1000 && limiter.TryAdmit(now) == Duration(0)) ++admitted;
    return admitted;
  }
};

TEST(ColdStartLimiter, AWarmWorkerIsNotLimited) { UNSIGNED_LONGS_EQUAL(1000, AdmittedAtOnce()); }

TEST(ColdStartLimiter, AServiceWithoutARateIsNotLimited) {
  limiter.SetLimits(now, {});
  limiter.SetColdUntil(now, Instant::max());
  UNSIGNED_LONGS_EQUAL(1000, AdmittedAtOnce());
}

// Guards against a herd of requests to a worker that has just come back.
TEST(ColdStartLimiter, AWorkerThatTurnsColdReceivesNothingAtFirstAndLittleAtOnce) {
  limiter.SetColdUntil(now, now + std::chrono::seconds(3));
  UNSIGNED_LONGS_EQUAL(0, AdmittedAtOnce());
  CHECK(limiter.TimeToRoom(now) > Duration(0));
  now += std::chrono::seconds(2);
  UNSIGNED_LONGS_EQUAL(7, AdmittedAtOnce());
  now += std::chrono::seconds(1);
  UNSIGNED_LONGS_EQUAL(1000, AdmittedAtOnce());
}

TEST(ColdStartLimiter, TimeToRoomIsExact) {
  limiter.SetColdUntil(now, Instant::max());
  now += limiter.TimeToRoom(now);
  CHECK(limiter.TryAdmit(now) == Duration(0));
  now += limiter.TimeToRoom(now) - Duration(1);
  CHECK(limiter.TryAdmit(now) > Duration(0));
  now += Duration(1);
  CHECK(limiter.TryAdmit(now) == Duration(0));
}

// Guards against callers that all return at the moment at which there is room for one of them.
TEST(ColdStartLimiter, RefusedCallersAreToldToReturnOneAfterTheOther) {
  limiter.SetColdUntil(now, now + std::chrono::seconds(3));
  Duration last(0);
  for (int caller = 0; caller < 20; ++caller) {
    const Duration retry_after = limiter.RetryAfter(now);
    CHECK(retry_after > last);
    last = retry_after;
  }
  CHECK(last > std::chrono::milliseconds(900));
  CHECK(last < std::chrono::milliseconds(1100));
}

TEST(ColdStartLimiter, NobodyIsToldToReturnLongAfterTheWorkerIsWarm) {
  limiter.SetColdUntil(now, now + std::chrono::milliseconds(200));
  for (int caller = 0; caller < 100; ++caller) {
    CHECK(limiter.RetryAfter(now) < std::chrono::milliseconds(300));
  }
}

// The bound of the fleet is `requests_per_second + burst` in any second, by arrival at the worker.
// Random load with bursts, pauses of the process, restarts of the process, and a worker that turns
// cold again and again while requests are on their way, against a count over sliding seconds.
TEST(ColdStartLimiter, NoSecondBringsAColdWorkerMoreThanTheBound) {
  const auto bound = static_cast<size_t>(kLimits.requests_per_second + kLimits.burst);
  size_t most = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SeededRandom random{seed};
    ColdStartLimiter gate;
    gate.SetLimits(now, kLimits);
    gate.SetColdUntil(now, Instant::max());
    Instant turned_cold = now;
    std::vector<Instant> arrivals;
    const Instant end = now + std::chrono::seconds(12);
    while (now < end) {
      const uint64_t event = random.Below(200);
      if (event == 0) {
        now += random.Between(Duration(0), kSecond * 2);  // The process is paused.
      } else if (event == 1) {  // The process is restarted and knows nothing.
        gate = ColdStartLimiter();
        gate.SetLimits(now, kLimits);
        gate.SetColdUntil(now, Instant::max());
      } else if (event == 2) {  // Requests to a warm worker are not bounded.
        gate.SetColdUntil(now, now);
        for (int count = 0; count < 100; ++count) CHECK(gate.TryAdmit(now) == Duration(0));
        now += random.Between(Duration(0), kSecond / 2);
        gate.SetColdUntil(now, Instant::max());
        turned_cold = now;
        most = std::max(most, MostWithin(kSecond, arrivals));
        arrivals.clear();
      }
      const uint64_t offered = random.Below(10) == 0 ? 40 : random.Below(2);
      for (uint64_t count = 0; count < offered; ++count) {
        if (gate.TryAdmit(now) > Duration(0)) continue;
        arrivals.push_back(now + random.Between(Duration(0), kMaxTransit));
      }
      now += random.Between(Duration(0), std::chrono::milliseconds(20));
    }
    most = std::max(most, MostWithin(kSecond, arrivals));
    CHECK(turned_cold <= now);
  }
  CHECK(most <= bound);
  CHECK(most >= bound - 3);  // The bound is used.
}
