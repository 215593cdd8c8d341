#include "runshelf/table/table_editor.h"

#include <CppUTest/TestHarness.h>

#include <deque>

#include "tests/table/fake_key_value_store.h"

using namespace runshelf::table;  // NOLINT: the tests name nearly all of it.

namespace {

const CellKey kIssuer{"dispatch", "issuer"};
const CellKey kNewsroom{"feedread", "newsroom"};
const EditOrigin kAnna{"anna", 1000};
const EditOrigin kBen{"ben", 2000};

}  // namespace

TEST_GROUP(TableEditor) {
  FakeKeyValueStore store;
  runshelf::SeededRandom random{1};
  TableEditor editor{store, random, [](runshelf::Duration) {}};
  std::deque<Fault> commit_faults;
  std::deque<Fault> range_faults;

  // Each call of the kind takes the next fault; further calls succeed.
  void InjectFaults() {
    store.fault = [this](Operation operation) {
      std::deque<Fault>& faults = operation == Operation::kCommit ? commit_faults : range_faults;
      if (operation == Operation::kLease || faults.empty()) return Fault::kNone;
      const Fault fault = faults.front();
      faults.pop_front();
      return fault;
    };
  }

  std::optional<CellValue> Stored(const CellKey& key) {
    store.fault = [](Operation) { return Fault::kNone; };
    const auto table = editor.Read();
    const Cell* const cell = table->Lookup(key.service, key.caller_class);
    if (cell == nullptr) return std::nullopt;
    return cell->value;
  }

  void CheckOutcome(EditOutcome expected, const EditResult& result) {
    STRCMP_EQUAL(std::string(EditOutcomeName(expected)).c_str(),
                 std::string(EditOutcomeName(result.outcome)).c_str());
  }
};

TEST(TableEditor, AnAcceptedEditIsInForceAndInTheHistory) {
  const EditResult result = editor.SetCell(kAnna, kIssuer, {100, 500});
  CheckOutcome(EditOutcome::kAccepted, result);
  CHECK((Stored(kIssuer) == CellValue{100, 500}));
  const auto history = editor.History();
  UNSIGNED_LONGS_EQUAL(1, history->size());
  STRCMP_EQUAL("anna", history->front().author.c_str());
  CHECK(history->front().edit_id == result.edit_id);
  CHECK(history->front().revision == result.revision);
  CHECK(store.data.at(EditRecordKey(result.edit_id)).lease != 0);
}

TEST(TableEditor, OnlyCellsThatDifferAreWritten) {
  editor.SetCell(kAnna, kIssuer, {1, 2});
  CheckOutcome(EditOutcome::kUnchanged, editor.Import(kBen, {{kIssuer, {1, 2}}}));
  const EditResult result = editor.Import(kBen, {{kIssuer, {1, 2}}, {kNewsroom, {3, {}}}});
  CheckOutcome(EditOutcome::kAccepted, result);
  UNSIGNED_LONGS_EQUAL(1, result.changed_cells);
  UNSIGNED_LONGS_EQUAL(2, store.log.back().writes.size());
}

TEST(TableEditor, EditsOfDifferentCellsBothSucceedAndOfOneCellConflict) {
  bool raced = false;
  int64_t weight_of_ben = 10;
  store.before_call = [&](Operation operation) {
    if (operation != Operation::kCommit || raced) return;
    raced = true;
    runshelf::SeededRandom other_random(static_cast<uint64_t>(weight_of_ben));
    TableEditor other(store, other_random, [](runshelf::Duration) {});
    CheckOutcome(EditOutcome::kAccepted, other.SetCell(kBen, kIssuer, {++weight_of_ben, {}}));
  };
  CheckOutcome(EditOutcome::kAccepted, editor.SetCell(kAnna, kNewsroom, {5, {}}));
  raced = false;
  CheckOutcome(EditOutcome::kConflict, editor.DeleteCell(kAnna, kIssuer));
  raced = false;
  const EditResult result = editor.SetCell(kAnna, kIssuer, {9, {}});
  CheckOutcome(EditOutcome::kConflict, result);
  UNSIGNED_LONGS_EQUAL(1, result.conflicts.size());
  CHECK(result.conflicts.front().key == kIssuer);
  STRCMP_EQUAL("ben", result.conflicts.front().winner_author.c_str());
  CHECK((Stored(kIssuer) == CellValue{weight_of_ben, {}}));
}

TEST(TableEditor, AConflictWithADeletionNamesTheDeletion) {
  const int64_t seen = editor.SetCell(kAnna, kIssuer, {1, {}}).revision;
  const EditResult deletion = editor.DeleteCell(kBen, kIssuer);
  CheckOutcome(EditOutcome::kAccepted, deletion);
  const EditResult result = editor.SetCell(kAnna, kIssuer, {2, {}}, seen);
  CheckOutcome(EditOutcome::kConflict, result);
  CHECK(result.conflicts.front().winner_edit_id == deletion.edit_id);
  CHECK_FALSE(result.conflicts.front().current.has_value());
  CheckOutcome(EditOutcome::kRefused, editor.DeleteCell(kAnna, kIssuer));
}

TEST(TableEditor, ALostAnswerIsResolvedByReading) {
  for (const Fault fault : {Fault::kAnswerLostApplied, Fault::kAnswerLostNotApplied}) {
    const int64_t weight = fault == Fault::kAnswerLostApplied ? 1 : 2;
    commit_faults = {fault};
    range_faults = {Fault::kNone, Fault::kUnavailable, Fault::kRateLimited};
    InjectFaults();
    const EditResult result = editor.SetCell(kAnna, kIssuer, {weight, {}});
    CheckOutcome(EditOutcome::kAccepted, result);
    CHECK((Stored(kIssuer) == CellValue{weight, {}}));
    CHECK(store.data.at(StoreKey(kIssuer)).mod_revision == result.revision);
  }
}

TEST(TableEditor, ADelayedSendingTakesEffectAtMostOnce) {
  commit_faults = {Fault::kAnswerLostDelayed};
  InjectFaults();
  const EditResult result = editor.SetCell(kAnna, kIssuer, {1, {}});
  CheckOutcome(EditOutcome::kAccepted, result);
  editor.SetCell(kBen, kIssuer, {2, {}});
  store.ApplyDelayed();
  CHECK((Stored(kIssuer) == CellValue{2, {}}));
}

TEST(TableEditor, ARefusedEditNeverShowsAlthoughASendingOfItArrivesLate) {
  int commits = 0;
  store.before_call = [&](Operation operation) {
    if (operation != Operation::kCommit || ++commits != 2) return;
    store.Put(StoreKey(kIssuer), EncodeStoredCell({3, {}}, std::string(32, 'a')));
  };
  commit_faults = {Fault::kAnswerLostDelayed};
  InjectFaults();
  CheckOutcome(EditOutcome::kConflict, editor.SetCell(kAnna, kIssuer, {1, {}}));
  // The cell is as it was when the edit read it, so the late sending's cell condition holds.
  CheckOutcome(EditOutcome::kAccepted, editor.DeleteCell(kBen, kIssuer));
  store.ApplyDelayed();
  CHECK_FALSE(Stored(kIssuer).has_value());
}

TEST(TableEditor, WhatCannotBeFoundOutIsUndetermined) {
  commit_faults = {Fault::kAnswerLostApplied};
  range_faults = std::deque<Fault>(100, Fault::kUnavailable);
  range_faults.front() = Fault::kNone;
  InjectFaults();
  const EditResult result = editor.SetCell(kAnna, kIssuer, {1, {}});
  CheckOutcome(EditOutcome::kUndetermined, result);
  CHECK(IsValidEditId(result.edit_id));
}

TEST(TableEditor, WhileThePlatformIsAwayNothingIsAccepted) {
  store.fault = [](Operation) { return Fault::kUnavailable; };
  CheckOutcome(EditOutcome::kNotAccepted, editor.SetCell(kAnna, kIssuer, {1, {}}));
  store.fault = [](Operation operation) {
    return operation == Operation::kCommit ? Fault::kRateLimited : Fault::kNone;
  };
  CheckOutcome(EditOutcome::kNotAccepted, editor.SetCell(kAnna, kIssuer, {1, {}}));
  CHECK(store.log.empty());
  CHECK(store.leases.empty());
}

TEST(TableEditor, AnImportThatDoesNotFitOneTransactionIsRefusedWhole) {
  std::vector<CsvCell> rows;
  for (size_t i = 0; i <= kMaxCellsPerEdit; ++i) {
    rows.push_back({{"s" + std::to_string(i), "c"}, {1, {}}});
  }
  CheckOutcome(EditOutcome::kRefused, editor.Import(kAnna, rows));
  CHECK(store.log.empty());
  rows.pop_back();
  CheckOutcome(EditOutcome::kAccepted, editor.Import(kAnna, rows));
}

TEST(TableEditor, ImportWithItsBaseKeepsWhatOthersChanged) {
  const std::vector<CsvCell> base = {{kIssuer, {1, {}}}, {kNewsroom, {2, {}}}};
  editor.Import(kAnna, base);
  editor.SetCell(kBen, kNewsroom, {20, {}});
  CheckOutcome(EditOutcome::kAccepted,
               editor.ImportChanges(kAnna, base, {{kIssuer, {10, {}}}, {kNewsroom, {2, {}}}}));
  CHECK((Stored(kIssuer) == CellValue{10, {}}));
  CHECK((Stored(kNewsroom) == CellValue{20, {}}));
  const EditResult result = editor.ImportChanges(kAnna, base, {{kIssuer, {1, {}}}});
  CheckOutcome(EditOutcome::kConflict, result);
  CHECK(result.conflicts.front().key == kNewsroom);
  CheckOutcome(EditOutcome::kAccepted, editor.ImportChanges(kAnna, {{kNewsroom, {20, {}}}}, {}));
  CHECK_FALSE(Stored(kNewsroom).has_value());
}

TEST(TableEditor, InvalidEditsAreRefused) {
  CheckOutcome(EditOutcome::kRefused, editor.SetCell(kAnna, {"Bad Name", "c"}, {1, {}}));
  CheckOutcome(EditOutcome::kRefused, editor.SetCell(kAnna, kIssuer, {0, {}}));
  CheckOutcome(EditOutcome::kRefused, editor.SetCell(kAnna, kIssuer, {1, -1}));
  CheckOutcome(EditOutcome::kRefused,
               editor.Import(kAnna, {{kIssuer, {1, {}}}, {kIssuer, {2, {}}}}));
  CHECK(store.log.empty());
}

TEST(TableEditor, ACellThatSomebodyElseGarbledCanBeOverwritten) {
  store.Put(StoreKey(kIssuer), "not JSON");
  CheckOutcome(EditOutcome::kAccepted, editor.SetCell(kAnna, kIssuer, {1, {}}));
  store.Put(StoreKey(kIssuer), "not JSON");
  CheckOutcome(EditOutcome::kAccepted, editor.DeleteCell(kAnna, kIssuer));
}
