// Concurrent operators under lost and late answers, outages and rate limits, against a model.
//
// Each operator reads a cell and sets its weight one higher. Accepted edits are therefore all in
// force exactly when the weight has risen by their number; edits that were reported as
// undetermined may count or not.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "runshelf/table/table_editor.h"
#include "tests/table/fake_key_value_store.h"

namespace runshelf::table {
namespace {

constexpr int kEditsPerSeed = 30;
constexpr int kMaxNesting = 3;
constexpr uint64_t kSeeds = 2000;
const std::vector<CellKey> kCells = {{"s", "a"}, {"s", "b"}, {"s", "c"}};

struct Expectation {
  int64_t accepted = 0;
  int64_t undetermined = 0;
};

// Runs operators, some of them in the midst of calls of others.
class Scenario {
 public:
  explicit Scenario(uint64_t seed) : random_(seed) {
    store_.fault = [this](Operation) { return RandomFault(); };
    store_.before_call = [this](Operation) { Interleave(); };
  }
  virtual ~Scenario() = default;

  // Returns the first violation, or an empty string.
  std::string Run() {
    for (int i = 0; i < kEditsPerSeed; ++i) MakeEdit();
    store_.fault = [](Operation) { return Fault::kNone; };
    store_.before_call = [](Operation) {};
    while (!store_.delayed.empty()) store_.ApplyDelayed();
    for (const CellKey& key : kCells) {
      std::string violation = CheckCell(key);
      if (!violation.empty()) return violation;
    }
    return CheckMore();
  }

 protected:
  // Raises the weight of the cell by one.
  virtual EditOutcome RaiseWeight(const CellKey& key) = 0;
  virtual void MakeOtherEdit() {}
  virtual std::string CheckMore() { return ""; }

  FakeKeyValueStore store_;
  SeededRandom random_;

 private:
  Fault RandomFault() {
    static constexpr std::array kFaults = {Fault::kUnavailable, Fault::kRateLimited,
                                           Fault::kAnswerLostApplied, Fault::kAnswerLostNotApplied,
                                           Fault::kAnswerLostDelayed};
    return random_.Below(3) == 0 ? kFaults[random_.Below(kFaults.size())] : Fault::kNone;
  }

  void Interleave() {
    if (random_.Below(8) == 0) store_.ApplyDelayed();
    if (nesting_ < kMaxNesting && random_.Below(10) == 0) MakeEdit();
  }

  void MakeEdit() {
    ++nesting_;
    if (random_.Below(4) == 0) {
      MakeOtherEdit();
    } else {
      const CellKey& key = kCells[random_.Below(kCells.size())];
      const EditOutcome outcome = RaiseWeight(key);
      if (outcome == EditOutcome::kAccepted) ++expected_[key].accepted;
      if (outcome == EditOutcome::kUndetermined) ++expected_[key].undetermined;
    }
    --nesting_;
  }

  std::string CheckCell(const CellKey& key) {
    const auto stored = store_.data.find(StoreKey(key));
    const int64_t weight =
        stored == store_.data.end() ? 0 : DecodeStoredCell(stored->second)->value.weight;
    const Expectation& expected = expected_[key];
    if (weight < expected.accepted) {
      return fmt::format("{}: {} accepted, {} in force", key.ToString(), expected.accepted, weight);
    }
    if (weight > expected.accepted + expected.undetermined) {
      return fmt::format("{}: a refused edit shows", key.ToString());
    }
    return "";
  }

  int nesting_ = 0;
  std::map<CellKey, Expectation> expected_;
};

class EditorScenario : public Scenario {
 public:
  using Scenario::Scenario;
  std::map<EditOutcome, int> outcomes;

 protected:
  EditOutcome RaiseWeight(const CellKey& key) override {
    TableEditor editor = MakeEditor();
    const auto table = editor.Read();
    if (!table.ok()) return EditOutcome::kNotAccepted;
    const Cell* const cell = table->Lookup(key.service, key.caller_class);
    const int64_t weight = cell == nullptr ? 0 : cell->value.weight;
    const int64_t revision = cell == nullptr ? 0 : cell->mod_revision;
    return Keep(editor.SetCell({"operator", 0}, key, {weight + 1, {}}, revision));
  }

  // Sets, deletes and imports cells that no other operator counts.
  void MakeOtherEdit() override {
    TableEditor editor = MakeEditor();
    const CellKey key{"other", random_.Below(2) == 0 ? "x" : "y"};
    if (random_.Below(2) == 0) {
      Keep(editor.DeleteCell({"operator", 0}, key));
      return;
    }
    const auto weight = static_cast<int64_t>(1 + random_.Below(1000));
    Keep(editor.Import({"operator", 0}, {{key, {weight, {}}}, {{"other", "z"}, {weight, {}}}}));
  }

  std::string CheckMore() override {
    for (const EditResult& result : results_) {
      const std::vector<int64_t> revisions = RevisionsOf(result.edit_id);
      const bool is_accepted = result.outcome == EditOutcome::kAccepted;
      if (is_accepted && revisions != std::vector<int64_t>{result.revision}) {
        return "an accepted edit did not take effect once at its revision: " + result.edit_id;
      }
      if (!is_accepted && result.outcome != EditOutcome::kUndetermined && !revisions.empty()) {
        return "a refused edit took effect: " + result.edit_id;
      }
    }
    return "";
  }

 private:
  TableEditor MakeEditor() {
    return TableEditor(store_, random_, [](Duration) {}, {.max_attempts = 4});
  }

  EditOutcome Keep(const EditResult& result) {
    ++outcomes[result.outcome];
    if (!result.edit_id.empty()) results_.push_back(result);
    return result.outcome;
  }

  // Revisions at which the store took cells of the edit, by the record in the same transaction.
  std::vector<int64_t> RevisionsOf(const std::string& edit_id) const {
    std::vector<int64_t> revisions;
    for (const FakeKeyValueStore::Transaction& transaction : store_.log) {
      const infrastructure::Write& record = transaction.writes.back();
      const bool is_of_edit = record.key == EditRecordKey(edit_id);
      if (is_of_edit && transaction.writes.size() > 1) revisions.push_back(transaction.revision);
    }
    return revisions;
  }

  std::vector<EditResult> results_;
};

// Reads the whole table, writes the whole table, and sends again when the answer was lost.
class NaiveScenario : public Scenario {
 public:
  using Scenario::Scenario;

 protected:
  EditOutcome RaiseWeight(const CellKey& key) override {
    const auto range = store_.Range(std::string(kTablePrefix));
    if (!range.ok()) return EditOutcome::kNotAccepted;
    std::map<CellKey, int64_t> weights;
    for (const Cell& cell : DecodeStoredCells(*range).cells) weights[cell.key] = cell.value.weight;
    ++weights[key];
    std::vector<infrastructure::Write> writes;
    for (const auto& [cell_key, weight] : weights) {
      const CellValue value{weight, std::nullopt};
      writes.push_back({StoreKey(cell_key), EncodeStoredCell(value, std::string(32, '0')), 0});
    }
    for (int attempt = 0; attempt < 4; ++attempt) {
      const auto answer = store_.Commit({}, writes);
      if (answer.ok()) return EditOutcome::kAccepted;
      if (!absl::IsUnknown(answer.status())) return EditOutcome::kNotAccepted;
    }
    return EditOutcome::kUndetermined;
  }
};

TEST_GROUP(ConcurrentEdits){};

TEST(ConcurrentEdits, AcceptedEditsStayInForceAndRefusedOnesNeverShow) {
  std::map<EditOutcome, int> outcomes;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    EditorScenario scenario(seed);
    const std::string violation = scenario.Run();
    if (!violation.empty()) FAIL(fmt::format("seed {}: {}", seed, violation).c_str());
    for (const auto& [outcome, count] : scenario.outcomes) outcomes[outcome] += count;
  }
  // The faults must have produced every outcome, else the run has shown nothing about it.
  for (const EditOutcome outcome : {EditOutcome::kAccepted, EditOutcome::kConflict,
                                    EditOutcome::kNotAccepted, EditOutcome::kUndetermined}) {
    CHECK(outcomes[outcome] > 100);
  }
}

TEST(ConcurrentEdits, AWriterOfTheWholeTableLosesAcceptedEdits) {
  int seeds_with_lost_edits = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::string violation = NaiveScenario(seed).Run();
    if (violation.find("in force") != std::string::npos) ++seeds_with_lost_edits;
  }
  CHECK(seeds_with_lost_edits > 0);
}

}  // namespace
}  // namespace runshelf::table
