#include "runshelf/ownership/grant_ledger.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using runshelf::Duration;
using runshelf::InstanceId;
using runshelf::Instant;
using runshelf::ownership::GrantLedger;

namespace {

constexpr double kMargin = 0.02;
constexpr Duration kGrant = std::chrono::milliseconds(900);

// A machine's clock as a function of true time.
struct SkewedClock {
  double rate = 1;
  int64_t offset_us = 0;

  Instant At(int64_t true_us) const {
    return Instant(Duration(static_cast<int64_t>(static_cast<double>(true_us) * rate) + offset_us));
  }
};

SkewedClock RandomClock() {
  // Two clocks differ in rate by at most the margin when each is within half of it.
  return {1 + *rc::gen::inRange(-9900, 9901) / 1e6, *rc::gen::inRange(0, 1000000000)};
}

// One renewal: when it was sent, when the leader received it (true time, microseconds).
struct Renewal {
  int64_t sent_us = 0;
  int64_t received_us = 0;
};

}  // namespace

TEST_GROUP(GrantLedger){};

TEST(GrantLedger, NoGrantOutlivesItsRecordedExpiryOnAnyClock) {
  CHECK(rc::check("at ExpiryOf on the leader's clock the holder's clock is past the grant", [] {
    const SkewedClock holder = RandomClock();
    const SkewedClock leader = RandomClock();
    const InstanceId instance{"n", 1};
    GrantLedger ledger(kGrant, kMargin);
    ledger.BeginLeadership(leader.At(0));
    Renewal renewal;
    renewal.sent_us = *rc::gen::inRange(0, 10000000);
    renewal.received_us = renewal.sent_us + *rc::gen::inRange(0, 2000000);
    ledger.OnIssued(leader.At(renewal.received_us), instance);
    const Instant holder_expiry = holder.At(renewal.sent_us) + kGrant;
    // Find, in true time, the first moment at which the leader regards the grant as run out.
    int64_t true_us = renewal.received_us;
    while (leader.At(true_us) < ledger.ExpiryOf(instance)) true_us += 100;
    RC_ASSERT(holder.At(true_us) >= holder_expiry);
  }));
}

TEST(GrantLedger, WithoutTheMarginSomeClocksBreakIt) {
  // The same check on a ledger that trusts all clocks to run alike: it must be seen to fail.
  const SkewedClock fast_leader{1.0099, 0};
  const SkewedClock slow_holder{0.9901, 0};
  GrantLedger naive(kGrant, 0);
  naive.BeginLeadership(fast_leader.At(0));
  naive.OnIssued(fast_leader.At(5000000), {"n", 1});
  int64_t true_us = 5000000;
  while (fast_leader.At(true_us) < naive.ExpiryOf({"n", 1})) true_us += 100;
  CHECK(slow_holder.At(true_us) < slow_holder.At(5000000) + kGrant);
}

TEST(GrantLedger, ASuspendedInstanceIsWaitedForFromItsSuspensionOnly) {
  GrantLedger ledger(kGrant, kMargin);
  const Instant suspended(std::chrono::seconds(4));
  const Instant began(std::chrono::seconds(5));
  ledger.BeginLeadership(began);
  ledger.OnSuspended({"silent", 1}, suspended);
  CHECK(ledger.ExpiryOf({"silent", 1}) >= suspended + kGrant);
  CHECK(ledger.ExpiryOf({"silent", 1}) < began + kGrant);
  CHECK(ledger.ExpiryOf({"other", 1}) >= began + kGrant);
  // Once this leader has granted it something again, that counts.
  ledger.OnIssued(began, {"silent", 1});
  CHECK(ledger.ExpiryOf({"silent", 1}) >= began + kGrant);
}

TEST(GrantLedger, ANewLeaderHonoursGrantsThatItHasNotSeen) {
  GrantLedger ledger(kGrant, kMargin);
  const Instant began(std::chrono::seconds(5));
  ledger.BeginLeadership(began);
  CHECK(ledger.ExpiryOf({"unseen", 7}) >= began + kGrant);
}
