#include "tests/soak/limit_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Duration kContactWindow = std::chrono::seconds(3);
// A limit of 10 a second allows 65 requests within 4 s.
constexpr double kRate = 10;
constexpr int kAllowed = 65;

}  // namespace

TEST_GROUP(LimitJudge) {
  LimitJudge judge{kContactWindow};

  void setup() override {
    judge.OnLimitChanged("w1", kRate, kStart);
    judge.OnPassedOn("w1", 1, kStart);
  }
  // Requests at one moment, `after_ms` from the first statement of the limit.
  void Begin(int count, int after_ms, size_t machine = 1, Instant disturbed_at = {}) {
    const Instant at = kStart + std::chrono::milliseconds(after_ms);
    for (int request = 0; request < count; ++request) {
      judge.OnBegan("w1", machine, at, disturbed_at);
    }
  }
};

TEST(LimitJudge, APeriodMayBringHalfAsMuchAgainAndSomeRequests) {
  Begin(kAllowed, 5000);
  CHECK(judge.violations().empty());
  Begin(1, 8900);
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(LimitJudge, RequestsBeforeTheContactWindowEndsAreCountedButNotJudged) {
  Begin(kAllowed + 10, 2900);
  CHECK(judge.violations().empty());
  Begin(1, 3100);
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(LimitJudge, MachinesThatWereNotToldOrWereDisturbedSinceDoNotCount) {
  Begin(200, 5000, /*machine=*/2);
  Begin(200, 5000, /*machine=*/1, kStart + std::chrono::seconds(1));
  CHECK(judge.violations().empty());
}

TEST(LimitJudge, ALimitThatIsNoLongerStatedBindsNobody) {
  judge.OnLimitChanged("w1", 0, kStart + std::chrono::seconds(4));
  Begin(200, 5000);
  CHECK(judge.violations().empty());
}
