#include "runshelf/admission/rate_limiter.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using runshelf::Duration;
using runshelf::Instant;
using namespace runshelf::admission;  // NOLINT(google-build-using-namespace): the part under test.

namespace {

const Instant kStart(std::chrono::seconds(100));

ShareGrant Grant(uint64_t sequence, double floor, double share) {
  ShareGrant grant;
  grant.sequence = sequence;
  grant.floor_fraction = floor;
  grant.floor_valid_for = std::chrono::hours(1);
  grant.shares.push_back({"billing", "desk", share, std::chrono::seconds(2)});
  return grant;
}

}  // namespace

TEST_GROUP(RateLimiter) {
  RateLimiter limiter{{"node", 1}, RateLimiterConfig{}};

  bool Admit(Instant now) { return limiter.Admit(now, "billing", "desk", 100).admitted; }

  int AdmittedWithin(Instant from, Duration length) {
    int admitted = 0;
    for (Instant now = from; now < from + length; now += std::chrono::milliseconds(1)) {
      if (Admit(now)) ++admitted;
    }
    return admitted;
  }
};

TEST(RateLimiter, WithoutALimitAllAreAdmittedAndWithoutAShareNone) {
  CHECK(limiter.Admit(kStart, "billing", "desk", std::nullopt).admitted);
  const RateDecision refused = limiter.Admit(kStart, "billing", "desk", 100);
  CHECK_FALSE(refused.admitted);
  CHECK(refused.retry_after > Duration::zero());
  CHECK(limiter.WantsEarlyReport(kStart));
}

TEST(RateLimiter, AdmitsItsRateAndTheFloorAloneAfterTheShareLapsed) {
  Admit(kStart);
  const ShareReport report = limiter.MakeReport(kStart, 1);
  LONGS_EQUAL(1, report.demands.size());
  limiter.ApplyGrant(kStart, Grant(report.sequence, 0.25, 45));
  // 45 of the share and 0.25 * 0.2 * 100 of the floor.
  const int with_share = AdmittedWithin(kStart, std::chrono::seconds(2));
  CHECK(with_share >= 98 && with_share <= 105);
  const int floor_only = AdmittedWithin(kStart + std::chrono::seconds(2), std::chrono::seconds(10));
  CHECK(floor_only >= 49 && floor_only <= 52);
}

TEST(RateLimiter, AnAnswerOlderThanTheNewestAppliedOneIsIgnored) {
  Admit(kStart);
  limiter.MakeReport(kStart, 1);
  limiter.MakeReport(kStart, 1);
  limiter.ApplyGrant(kStart, Grant(2, 0, 10));
  limiter.ApplyGrant(kStart, Grant(1, 1, 80));
  DOUBLES_EQUAL(10, limiter.Rate(kStart, "billing", "desk"), 1e-9);
  limiter.ApplyGrant(kStart, Grant(3, 1, 80));  // To a report that was never made.
  DOUBLES_EQUAL(10, limiter.Rate(kStart, "billing", "desk"), 1e-9);
}

TEST(RateLimiter, ValidityCountsFromTheReportNotFromTheAnswer) {
  Admit(kStart);
  limiter.MakeReport(kStart, 1);
  limiter.ApplyGrant(kStart + std::chrono::milliseconds(1900), Grant(1, 0, 10));
  DOUBLES_EQUAL(10, limiter.Rate(kStart + std::chrono::milliseconds(1999), "billing", "desk"), 0);
  DOUBLES_EQUAL(0, limiter.Rate(kStart + std::chrono::seconds(2), "billing", "desk"), 0);
}

TEST(RateLimiter, NothingAccruesFromAShareAfterItLapsed) {
  Admit(kStart);
  limiter.MakeReport(kStart, 1);
  limiter.ApplyGrant(kStart, Grant(1, 0, 0.4));
  CHECK_FALSE(Admit(kStart + std::chrono::seconds(3)));  // 0.8 of a request.
}

TEST(RateLimiter, NeverAdmitsMoreThanTheIntegralOfItsRatePlusTheBurst) {
  CHECK(rc::check("admitted <= integral of rate + burst over every window", [this] {
    RateLimiter fresh({"node", 1}, RateLimiterConfig{});
    limiter = fresh;
    Instant now = kStart;
    std::vector<double> integrals{0};  // After each step.
    std::vector<int> admitted{0};
    double largest_rate = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100));
    for (const int step : steps) {
      double integral = integrals.back();
      for (int millisecond = 0; millisecond < step * step / 20; ++millisecond) {
        const double rate = limiter.Rate(now, "billing", "desk");
        largest_rate = std::max(largest_rate, rate);
        integral += rate / 1000;
        now += std::chrono::milliseconds(1);
      }
      int taken = 0;
      while (step % 3 == 0 && Admit(now)) ++taken;
      // The cell may be new: it has a rate, and the burst of that, from its first request on.
      largest_rate = std::max(largest_rate, limiter.Rate(now, "billing", "desk"));
      integrals.push_back(integral);
      admitted.push_back(admitted.back() + taken);
      if (step % 7 == 0) {
        const ShareReport report = limiter.MakeReport(now, 1);
        limiter.ApplyGrant(now, Grant(report.sequence, step / 100.0, step % 9 * 10));
      }
      const double burst = std::max(1.0, largest_rate * 0.1);
      for (size_t from = 0; from < integrals.size(); ++from) {
        const double allowed = integrals.back() - integrals[from] + burst + 1e-6;
        // The requests of step `from` itself are outside of the window that starts after it.
        RC_ASSERT(admitted.back() - admitted[from] <= allowed);
      }
    }
  }));
}
