// The table judge on histories written by hand.

#include "tools/sim/table_judge.h"

#include <CppUTest/TestHarness.h>

#include "runshelf/table/store_records.h"

using runshelf::infrastructure::Write;
using runshelf::sim::TableInForce;
using runshelf::sim::TableJudge;
using runshelf::sim::TrueTime;
using runshelf::sim::ViolationKind;
using runshelf::sim::ViolationLog;
using runshelf::table::EditOutcome;
using runshelf::table::EditResult;

TEST_GROUP(TableJudge) {
  ViolationLog violations;
  TableJudge judge{violations};
  const std::string cell = runshelf::table::StoreKey({"billing", "hotel"});
  const std::string other_cell = runshelf::table::StoreKey({"billing", "shop"});

  void setup() override { judge.OnCommit(At(0), 2, {{cell, "a", 0}, {other_cell, "x", 0}}); }

  TrueTime At(int64_t milliseconds) { return TrueTime(std::chrono::milliseconds(milliseconds)); }

  void Look(int64_t at, int64_t revision, const std::string& value) {
    TableInForce table{"node/1", revision, {{cell, value}, {other_cell, "x"}}, At(0)};
    judge.OnLook(At(at), table, At(0));
  }

  void Edit(int64_t revision, EditOutcome outcome, const std::string& id) {
    judge.OnEditBegun(cell);
    EditResult result;
    result.outcome = outcome;
    result.edit_id = id;
    result.revision = revision;
    judge.OnEditTold(cell, result);
  }

  uint64_t CountAtEnd() {
    judge.JudgeEnd(At(100'000));
    return violations.count(ViolationKind::kRevertedEdit);
  }
};

TEST(TableJudge, EditInForceWithinFiveSecondsIsNoViolation) {
  judge.OnCommit(At(1000), 3, {{cell, "b id-1", 0}});
  Edit(3, EditOutcome::kAccepted, "id-1");
  Look(1500, 2, "a");
  Look(5999, 3, "b id-1");
  UNSIGNED_LONGS_EQUAL(0, CountAtEnd());
}

TEST(TableJudge, EditNotInForceAfterFiveSeconds) {
  judge.OnCommit(At(1000), 3, {{cell, "b id-1", 0}});
  Edit(3, EditOutcome::kAccepted, "id-1");
  Look(6001, 2, "a");
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd());
}

TEST(TableJudge, RevisionThatGoesBack) {
  judge.OnCommit(At(1000), 3, {{cell, "b id-1", 0}});
  Edit(3, EditOutcome::kAccepted, "id-1");
  Look(1500, 3, "b id-1");
  Look(1600, 2, "a");
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd());
}

TEST(TableJudge, ContentThatDiffersFromTheAcceptedEdits) {
  Look(100, 2, "z");
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd());
}

TEST(TableJudge, AcceptedEditThatThePlatformDoesNotHave) {
  Edit(3, EditOutcome::kAccepted, "id-1");
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd());
}

TEST(TableJudge, RefusedEditThatThePlatformHas) {
  judge.OnCommit(At(1000), 3, {{cell, "b id-1", 0}});
  Edit(3, EditOutcome::kNotAccepted, "id-1");
  UNSIGNED_LONGS_EQUAL(1, CountAtEnd());
}

TEST(TableJudge, CellOverwrittenByAnEditOfAnotherCell) {
  judge.OnCommit(At(1000), 3, {{cell, "b id-1", 0}});
  Edit(3, EditOutcome::kAccepted, "id-1");
  judge.OnCommit(At(2000), 4, {{cell, "a", 0}, {other_cell, "y", 0}});
  UNSIGNED_LONGS_EQUAL(2, CountAtEnd());
}
