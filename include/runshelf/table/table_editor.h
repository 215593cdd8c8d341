// Edits of the operators' table in the platform's key-value service.
//
// An edit names the cells that it changes and is accepted or refused as a whole. One transaction,
// conditional on each cell's revision as it was read, writes the cells and the record of the edit.
// Operators who edit different cells both succeed; of two edits of one cell one is refused with a
// conflict.
//
// When the answer to a transaction is lost, the record tells what became of it. If the record is
// absent, the same transaction is sent again; it is conditional on the absence of the record, so
// the edit takes effect at most once. Before an edit of which a sending may still be under way is
// reported as refused, a record that marks it as refused is written, so that it cannot appear
// later.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"
#include "runshelf/infrastructure/key_value_store.h"
#include "runshelf/table/store_records.h"
#include "runshelf/table/table.h"
#include "runshelf/table/table_csv.h"

namespace runshelf::table {

// A transaction of the platform takes 128 writes; one of them is the record of the edit.
constexpr size_t kMaxCellsPerEdit = 127;

// How long the record of an edit is kept.
constexpr Duration kEditRecordLifetime = std::chrono::hours(24);

enum class EditOutcome {
  kAccepted,      // In force from `revision` on.
  kUnchanged,     // The table held the wanted values already, at `revision`; nothing was written.
  kConflict,      // Certainly not in force: another edit of a cell came first; see `conflicts`.
  kRefused,       // Certainly not in force: the edit is not valid.
  kNotAccepted,   // Certainly not in force: the platform is away or refuses by its rate limit.
  kUndetermined,  // May be in force; the platform did not tell. The history shows it if it is.
};

// "accepted", "unchanged", ...
std::string_view EditOutcomeName(EditOutcome outcome);

// The edit that came first.
struct CellConflict {
  CellKey key;
  std::optional<CellValue> current;  // Absent when the cell is deleted or was never there.
  int64_t revision = 0;              // Of the winning edit; zero when unknown.
  std::string winner_edit_id;        // Empty when unknown.
  std::string winner_author;         // Empty when unknown.
};

struct EditResult {
  EditOutcome outcome = EditOutcome::kRefused;
  std::string edit_id;
  int64_t revision = 0;
  size_t changed_cells = 0;
  std::vector<CellConflict> conflicts;
  std::string detail;  // One sentence for the operator; empty when accepted.
};

// Who makes an edit and when, for the history.
struct EditOrigin {
  std::string author;
  int64_t unix_seconds = 0;
};

// The wanted state of one cell.
struct CellEdit {
  CellKey key;
  std::optional<CellValue> value;  // Deletes the cell when absent.
  // The cell's revision that the operator saw; zero: no cell. A cell of another revision is a
  // conflict. When absent, the revision at the start of the edit counts.
  std::optional<int64_t> expected_revision;
};

struct TableEditorOptions {
  int max_attempts = 8;                          // Of each step: read, send, find out.
  size_t max_cells_per_edit = kMaxCellsPerEdit;  // Fewer where transactions are smaller.
  Duration first_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::seconds(1);
};

// Pauses the calling thread; tests pass a function that returns at once.
using WaitFunction = std::function<void(Duration)>;

// Not thread-safe. The arguments must outlive the editor.
class TableEditor {
 public:
  TableEditor(infrastructure::KeyValueStore& store, Random& random, WaitFunction wait,
              TableEditorOptions options = {});

  EditResult SetCell(const EditOrigin& origin, const CellKey& key, const CellValue& value,
                     std::optional<int64_t> expected_revision = std::nullopt);

  // kRefused when there is no such cell.
  EditResult DeleteCell(const EditOrigin& origin, const CellKey& key,
                        std::optional<int64_t> expected_revision = std::nullopt);

  // Makes several edits as one; at most kMaxCellsPerEdit cells may differ from the table.
  EditResult Apply(const EditOrigin& origin, const std::vector<CellEdit>& edits);

  // Writes the cells of `rows` that differ from the table; cells without a row stay.
  EditResult Import(const EditOrigin& origin, const std::vector<CsvCell>& rows);

  // Writes what the operator changed between `base`, the table as exported, and `rows`: new and
  // changed rows, and deletions. A cell that another edit changed in the meantime to something
  // else than the operator wants is a conflict; all other cells stay as they are now.
  EditResult ImportChanges(const EditOrigin& origin, const std::vector<CsvCell>& base,
                           const std::vector<CsvCell>& rows);

  // Reads the table now. Status codes of infrastructure::KeyValueStore.
  absl::StatusOr<Table> Read();

  // Returns the records of the last 24 hours, ascending by revision, refused ones left out.
  absl::StatusOr<std::vector<EditRecord>> History();

 private:
  struct Reading;

  absl::StatusOr<infrastructure::RangeResult> ReadRange(std::string_view prefix);
  absl::StatusOr<Reading> ReadTable();
  EditResult ApplyTo(const Reading& reading, const EditOrigin& origin,
                     const std::vector<CellEdit>& edits);
  EditResult Commit(const Reading& reading, const EditOrigin& origin,
                    const std::vector<CellEdit>& edits);
  EditResult Conflict(const std::vector<CellEdit>& edits, const Reading& reading);
  CellConflict DescribeConflict(const CellKey& key, const Reading& now,
                                const std::vector<EditRecord>& history);

  infrastructure::KeyValueStore& store_;
  Random& random_;
  WaitFunction wait_;
  TableEditorOptions options_;
};

}  // namespace runshelf::table
