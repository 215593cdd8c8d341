// The grant rules against a naive version that keeps the whole history.

#include "tools/server_standin/grant_book.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "runshelf/common/random.h"

using runshelf::Duration;
using runshelf::FencingToken;
using runshelf::Instant;
using runshelf::SeededRandom;
using runshelf::SlotNumber;
using runshelf::server_standin::Grant;
using runshelf::server_standin::GrantBook;

namespace {

constexpr SlotNumber kSlots = 6;

// Works every question out from the list of all accepted grants.
class NaiveGrantBook {
 public:
  bool Install(Instant now, const Grant& grant) {
    for (const Accepted& earlier : history_) {
      if (grant.token < earlier.grant.token) return false;
    }
    history_.push_back({now, grant});
    return true;
  }

  bool MayExecute(Instant now, SlotNumber slot, const FencingToken& token) const {
    if (history_.empty() || now >= history_.back().grant.expires_at) return false;
    if (!Names(history_.back(), slot) || token > history_.back().grant.token) return false;
    size_t first = history_.size() - 1;
    while (first > 0 && Names(history_[first - 1], slot) &&
           history_[first].at < history_[first - 1].grant.expires_at) {
      --first;
    }
    return history_[first].grant.token <= token;
  }

 private:
  struct Accepted {
    Instant at;
    Grant grant;
  };

  static bool Names(const Accepted& accepted, SlotNumber slot) {
    for (const SlotNumber named : runshelf::FromRanges(accepted.grant.slots)) {
      if (named == slot) return true;
    }
    return false;
  }

  std::vector<Accepted> history_;
};

Grant RandomGrant(SeededRandom& random, Instant now) {
  std::vector<SlotNumber> slots;
  for (SlotNumber slot = 0; slot < kSlots; ++slot) {
    if (random.Below(3) > 0) slots.push_back(slot);
  }
  const Duration length(random.Below(20));
  return {{1, 1 + random.Below(2), random.Below(8)}, now + length, runshelf::ToRanges(slots)};
}

}  // namespace

TEST_GROUP(GrantBook){};

TEST(GrantBook, AgreesWithTheNaiveVersion) {
  CHECK(rc::check("Install and MayExecute agree with a naive version", [](uint64_t seed) {
    SeededRandom random(seed);
    GrantBook book;
    NaiveGrantBook naive;
    Instant now = runshelf::InstantFromMicroseconds(1000);
    for (int step = 0; step < 60; ++step) {
      now += Duration(random.Below(8));
      if (random.Below(2) == 0) {
        const Grant grant = RandomGrant(random, now);
        RC_ASSERT(book.Install(now, grant) == naive.Install(now, grant));
      }
      const FencingToken token{1, 1 + random.Below(2), random.Below(8)};
      for (SlotNumber slot = 0; slot <= kSlots; ++slot) {
        RC_ASSERT(book.MayExecute(now, slot, token) == naive.MayExecute(now, slot, token));
      }
    }
  }));
}

TEST(GrantBook, SlotGivenBackDoesNotReviveRequestsOfTheEarlierTenure) {
  GrantBook book;
  const Instant now = runshelf::InstantFromMicroseconds(1000);
  const Instant expiry = now + Duration(100);
  CHECK(book.Install(now, {{1, 1, 5}, expiry, {{0, 3}}}));
  CHECK(book.Install(now, {{1, 1, 6}, expiry, {{0, 1}}}));
  CHECK(book.Install(now, {{1, 1, 9}, expiry, {{0, 3}}}));
  CHECK_FALSE(book.MayExecute(now, 3, {1, 1, 5}));
  CHECK(book.MayExecute(now, 3, {1, 1, 9}));
  CHECK(book.MayExecute(now, 0, {1, 1, 5}));
  CHECK_FALSE(book.MayExecute(expiry, 0, {1, 1, 9}));
}
