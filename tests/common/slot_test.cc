#include "runshelf/common/slot.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using runshelf::FencingToken;
using runshelf::SlotNumber;
using runshelf::SlotRange;

TEST_GROUP(Slot){};

TEST(Slot, KeyHashIsStable) {
  // Compares with fixed values: a change of the hash would move every key of a running fleet.
  UNSIGNED_LONGS_EQUAL(runshelf::SlotOfKey("release-1", 1024),
                       runshelf::SlotOfKey("release-1", 1024));
  UNSIGNED_LONGS_EQUAL(0x2d06800538d394c2ULL % 1024, runshelf::SlotOfKey("", 1024));
}

TEST(Slot, RangesMatchASetOfSlots) {
  CHECK(rc::check("ToRanges, FromRanges and Contains agree with a set", [] {
    const auto slots = *rc::gen::container<std::vector<SlotNumber>>(rc::gen::inRange(0U, 64U));
    const std::set<SlotNumber> naive(slots.begin(), slots.end());
    const std::vector<SlotRange> ranges = runshelf::ToRanges(slots);
    RC_ASSERT(runshelf::FromRanges(ranges) == std::vector<SlotNumber>(naive.begin(), naive.end()));
    for (SlotNumber slot = 0; slot < 66; ++slot) {
      RC_ASSERT(runshelf::Contains(ranges, slot) == naive.contains(slot));
    }
  }));
}

TEST(Slot, FencingTokensOrderByGenerationThenTermThenSequence) {
  CHECK((FencingToken{1, 9, 9} < FencingToken{2, 0, 0}));
  CHECK((FencingToken{1, 1, 9} < FencingToken{1, 2, 0}));
  CHECK((FencingToken{1, 1, 1} < FencingToken{1, 1, 2}));
}

TEST(Slot, FencingTokenTextIsParsedBackAndNothingElseIs) {
  FencingToken token;
  CHECK(FencingToken::Parse("3.14.159", token));
  CHECK((token == FencingToken{3, 14, 159}));
  for (const char* text :
       {"", "1", "1.2", "1.2.", "1.2.3.4", "a.b.c", "-1.2.3", "1..3", " 1.2.3"}) {
    CHECK_FALSE(FencingToken::Parse(text, token));
  }
}
