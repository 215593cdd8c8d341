#include "runshelf/ownership/grant_holder.h"

#include <CppUTest/TestHarness.h>

using runshelf::Duration;
using runshelf::FencingToken;
using runshelf::Instant;
using runshelf::ownership::GrantHolder;
using runshelf::ownership::HeldGrant;

namespace {

constexpr Instant kStart = Instant(std::chrono::seconds(10));
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr FencingToken kVersion{1, 1, 5};

}  // namespace

TEST_GROUP(GrantHolder) {
  GrantHolder holder;

  HeldGrant Push() {
    const auto grant = holder.NextPush();
    CHECK(grant.has_value());
    holder.OnPushed(*grant);
    return *grant;
  }

  // Renews until kStart + 1 s for slots 0 to 9, accepted by the server.
  void Hold() {
    holder.OnRenewed(kStart + kSecond, kVersion, {{0, 9}}, {});
    holder.OnAccepted(kStart, Push());
  }
};

TEST(GrantHolder, ServesOnlyOnceTheServerHasAccepted) {
  holder.OnRenewed(kStart + kSecond, kVersion, {{0, 9}}, {});
  const HeldGrant grant = Push();
  CHECK_FALSE(holder.Enter(kStart, 3).has_value());
  holder.OnAccepted(kStart, grant);
  CHECK(holder.Enter(kStart, 3).has_value());
  CHECK_FALSE(holder.Enter(kStart, 10).has_value());
}

TEST(GrantHolder, AProcessThatWakesAfterItsGrantHasRunOutServesNothing) {
  Hold();
  CHECK(holder.Enter(kStart + kSecond - Duration(1), 3).has_value());
  CHECK_FALSE(holder.Enter(kStart + kSecond, 3).has_value());
}

TEST(GrantHolder, AReleaseWaitsForRequestsInProgressAndForTheServer) {
  Hold();
  CHECK(holder.Enter(kStart, 3).has_value());
  holder.OnRenewed(kStart + kSecond, kVersion, {{0, 9}}, {{77, {{3, 4}}}});
  CHECK_FALSE(holder.Enter(kStart, 3).has_value());
  CHECK_FALSE(holder.Enter(kStart, 4).has_value());
  CHECK(holder.Enter(kStart, 5).has_value());
  CHECK(holder.FulfilledReleases(kStart).empty());

  // Slot 3 stays in the server's grant while a request of it is in progress.
  HeldGrant grant = Push();
  CHECK(runshelf::Contains(grant.slots, 3));
  CHECK_FALSE(runshelf::Contains(grant.slots, 4));
  holder.OnAccepted(kStart, grant);
  CHECK(holder.FulfilledReleases(kStart).empty());

  holder.Leave(3);
  grant = Push();
  CHECK_FALSE(runshelf::Contains(grant.slots, 3));
  CHECK(holder.FulfilledReleases(kStart).empty());
  holder.OnAccepted(kStart, grant);
  UNSIGNED_LONGS_EQUAL(1, holder.FulfilledReleases(kStart).size());
  UNSIGNED_LONGS_EQUAL(77, holder.FulfilledReleases(kStart)[0]);
}

TEST(GrantHolder, AReleaseWaitsForAGrantWhoseAcceptanceIsUnknown) {
  Hold();
  holder.OnRenewed(kStart + kSecond, kVersion, {{0, 9}}, {{77, {{0, 9}}}});
  Push();  // Never answered: the server may still have the slots.
  CHECK(holder.FulfilledReleases(kStart).empty());
  CHECK_FALSE(holder.FulfilledReleases(kStart + kSecond).empty());
}

TEST(GrantHolder, ACancelledReleaseIsServedAgain) {
  Hold();
  holder.OnRenewed(kStart + kSecond, kVersion, {{0, 9}}, {{77, {{3, 4}}}});
  holder.OnAccepted(kStart, Push());
  holder.OnRenewed(kStart + 2 * kSecond, kVersion, {{0, 9}}, {});
  holder.OnAccepted(kStart, Push());
  CHECK(holder.Enter(kStart, 3).has_value());
}

TEST(GrantHolder, EveryChangeOfSlotsRaisesTheToken) {
  Hold();
  holder.OnRenewed(kStart + kSecond, kVersion, {{0, 9}}, {{77, {{3, 4}}}});
  const HeldGrant fewer = Push();
  holder.OnAccepted(kStart, fewer);
  holder.OnRenewed(kStart + kSecond, kVersion, {{0, 9}}, {});
  const HeldGrant more = Push();
  CHECK(more.token > fewer.token);
  // Also after the server was given up: a frozen server remembers the highest token.
  holder.OnServerEmpty();
  holder.OnRenewed(kStart + 2 * kSecond, kVersion, {{0, 9}}, {});
  CHECK(Push().token > more.token);
}

TEST(GrantHolder, TimeOfHoldingStartsAnewAfterAGap) {
  Hold();
  CHECK(*holder.HeldSince(kStart, 3) == kStart);
  holder.OnRenewed(kStart + 3 * kSecond, kVersion, {{0, 9}}, {});
  holder.OnAccepted(kStart + 2 * kSecond, Push());
  CHECK(*holder.HeldSince(kStart + 2 * kSecond, 3) == kStart + 2 * kSecond);
}

TEST(GrantHolder, ARevokedGrantMayStillBeBelievedByTheServer) {
  Hold();
  holder.Revoke();
  CHECK_FALSE(holder.Enter(kStart, 3).has_value());
  CHECK(holder.LastPushedExpiry() == kStart + kSecond);
}

TEST(GrantHolder, AnAnswerOfAFormerProcessOfTheServerTellsNothing) {
  Hold();
  holder.OnRenewed(kStart + 2 * kSecond, kVersion, {{0, 9}}, {});
  const HeldGrant of_former_process = Push();
  holder.OnServerEmpty();
  holder.OnAccepted(kStart, of_former_process);
  holder.OnRenewed(kStart + 3 * kSecond, kVersion, {{0, 9}}, {});
  CHECK_FALSE(holder.Enter(kStart, 3).has_value());
  holder.OnAccepted(kStart, Push());
  CHECK(holder.Enter(kStart, 3).has_value());
}
