#include "runshelf/table/table_editor.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "source/table/backoff.h"
#include "source/table/edit_transaction.h"

namespace runshelf::table {
namespace {

std::string NewEditId(Random& random) {
  return fmt::format("{:016x}{:016x}", random.Next(), random.Next());
}

std::map<CellKey, CellValue> ByKey(const std::vector<CsvCell>& rows) {
  std::map<CellKey, CellValue> by_key;
  for (const CsvCell& row : rows) by_key[row.key] = row.value;
  return by_key;
}

std::optional<CellValue> Find(const std::map<CellKey, CellValue>& values, const CellKey& key) {
  const auto found = values.find(key);
  if (found == values.end()) return std::nullopt;
  return found->second;
}

EditResult Refused(std::string_view detail) {
  EditResult result;
  result.outcome = EditOutcome::kRefused;
  result.detail = std::string(detail);
  return result;
}

EditResult NotAccepted(const absl::Status& status) {
  EditResult result;
  result.outcome = EditOutcome::kNotAccepted;
  result.detail = fmt::format("the platform did not accept the edit, nothing was changed: {}",
                              std::string(status.message()));
  return result;
}

absl::Status ValidateEdits(const std::vector<CellEdit>& edits) {
  std::map<CellKey, bool> seen;
  for (const CellEdit& edit : edits) {
    absl::Status status = Validate(edit.key);
    if (status.ok() && edit.value.has_value()) status = Validate(*edit.value);
    if (!status.ok()) return status;
    if (!seen.emplace(edit.key, true).second) {
      return absl::InvalidArgumentError(fmt::format("{} appears twice", edit.key.ToString()));
    }
  }
  return absl::OkStatus();
}

}  // namespace

// The table as read, with the revisions of all of its keys, valid or not.
struct TableEditor::Reading {
  Table table;
  std::map<std::string, int64_t> revisions;

  // Zero when the store has no such cell.
  int64_t RevisionOf(const CellKey& key) const {
    const auto found = revisions.find(StoreKey(key));
    return found == revisions.end() ? 0 : found->second;
  }

  std::optional<CellValue> ValueOf(const CellKey& key) const {
    const Cell* const cell = table.Lookup(key.service, key.caller_class);
    if (cell == nullptr) return std::nullopt;
    return cell->value;
  }
};

std::string_view EditOutcomeName(EditOutcome outcome) {
  switch (outcome) {
    case EditOutcome::kAccepted:
      return "accepted";
    case EditOutcome::kUnchanged:
      return "unchanged";
    case EditOutcome::kConflict:
      return "conflict";
    case EditOutcome::kRefused:
      return "refused";
    case EditOutcome::kNotAccepted:
      return "not-accepted";
    case EditOutcome::kUndetermined:
      return "undetermined";
  }
  return "undetermined";
}

TableEditor::TableEditor(infrastructure::KeyValueStore& store, Random& random, WaitFunction wait,
                         TableEditorOptions options)
    : store_(store), random_(random), wait_(std::move(wait)), options_(options) {}

EditResult TableEditor::SetCell(const EditOrigin& origin, const CellKey& key,
                                const CellValue& value, std::optional<int64_t> expected_revision) {
  return Apply(origin, {{key, value, expected_revision}});
}

EditResult TableEditor::DeleteCell(const EditOrigin& origin, const CellKey& key,
                                   std::optional<int64_t> expected_revision) {
  const absl::Status status = Validate(key);
  if (!status.ok()) return Refused(std::string(status.message()));
  const absl::StatusOr<Reading> reading = ReadTable();
  if (!reading.ok()) return NotAccepted(reading.status());
  if (reading->RevisionOf(key) == 0 && expected_revision.value_or(0) == 0) {
    return Refused(fmt::format("there is no cell {}", key.ToString()));
  }
  return ApplyTo(*reading, origin, {{key, std::nullopt, expected_revision}});
}

EditResult TableEditor::Apply(const EditOrigin& origin, const std::vector<CellEdit>& edits) {
  const absl::Status status = ValidateEdits(edits);
  if (!status.ok()) return Refused(std::string(status.message()));
  const absl::StatusOr<Reading> reading = ReadTable();
  if (!reading.ok()) return NotAccepted(reading.status());
  return ApplyTo(*reading, origin, edits);
}

EditResult TableEditor::Import(const EditOrigin& origin, const std::vector<CsvCell>& rows) {
  std::vector<CellEdit> edits;
  edits.reserve(rows.size());
  for (const CsvCell& row : rows) edits.push_back({row.key, row.value, std::nullopt});
  return Apply(origin, edits);
}

EditResult TableEditor::ImportChanges(const EditOrigin& origin, const std::vector<CsvCell>& base,
                                      const std::vector<CsvCell>& rows) {
  const absl::StatusOr<Reading> reading = ReadTable();
  if (!reading.ok()) return NotAccepted(reading.status());
  const std::map<CellKey, CellValue> before = ByKey(base);
  const std::map<CellKey, CellValue> after = ByKey(rows);
  std::map<CellKey, CellValue> all_keys = before;
  all_keys.insert(after.begin(), after.end());

  std::vector<CellEdit> edits;
  std::vector<CellEdit> conflicting;
  for (const auto& [key, unused_value] : all_keys) {
    const std::optional<CellValue> seen = Find(before, key);
    const std::optional<CellValue> wanted = Find(after, key);
    const std::optional<CellValue> current = reading->ValueOf(key);
    if (wanted == seen || wanted == current) continue;
    std::vector<CellEdit>& target = current == seen ? edits : conflicting;
    target.push_back({key, wanted, std::nullopt});
  }
  if (!conflicting.empty()) return Conflict(conflicting, *reading);
  const absl::Status status = ValidateEdits(edits);
  if (!status.ok()) return Refused(std::string(status.message()));
  return ApplyTo(*reading, origin, edits);
}

absl::StatusOr<Table> TableEditor::Read() {
  absl::StatusOr<Reading> reading = ReadTable();
  if (!reading.ok()) return reading.status();
  return std::move(reading->table);
}

absl::StatusOr<std::vector<EditRecord>> TableEditor::History() {
  const absl::StatusOr<infrastructure::RangeResult> range = ReadRange(kEditsPrefix);
  if (!range.ok()) return range.status();
  std::vector<EditRecord> records;
  for (const infrastructure::KeyValue& key_value : range->key_values) {
    absl::StatusOr<EditRecord> record = DecodeEditRecord(key_value);
    if (record.ok() && !record->refused) records.push_back(*std::move(record));
  }
  std::sort(records.begin(), records.end(), [](const EditRecord& left, const EditRecord& right) {
    return left.revision < right.revision;
  });
  return records;
}

absl::StatusOr<infrastructure::RangeResult> TableEditor::ReadRange(std::string_view prefix) {
  Backoff backoff(options_.first_backoff, options_.longest_backoff, random_);
  absl::Status status;
  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    if (attempt > 0) wait_(backoff.Next());
    absl::StatusOr<infrastructure::RangeResult> range = store_.Range(std::string(prefix));
    if (range.ok()) return range;
    status = range.status();
    const bool is_transient = absl::IsUnknown(status) || absl::IsResourceExhausted(status);
    if (!is_transient) return status;
  }
  return status;
}

absl::StatusOr<TableEditor::Reading> TableEditor::ReadTable() {
  const absl::StatusOr<infrastructure::RangeResult> range = ReadRange(kTablePrefix);
  if (!range.ok()) return range.status();
  Reading reading;
  for (const infrastructure::KeyValue& key_value : range->key_values) {
    reading.revisions[key_value.key] = key_value.mod_revision;
  }
  reading.table = Table(range->revision, DecodeStoredCells(*range).cells);
  return reading;
}

EditResult TableEditor::ApplyTo(const Reading& reading, const EditOrigin& origin,
                                const std::vector<CellEdit>& edits) {
  std::vector<CellEdit> stale;
  std::vector<CellEdit> differing;
  for (const CellEdit& edit : edits) {
    const int64_t revision = reading.RevisionOf(edit.key);
    if (edit.expected_revision.value_or(revision) != revision) stale.push_back(edit);
    const bool is_malformed = revision != 0 && !reading.ValueOf(edit.key).has_value();
    if (reading.ValueOf(edit.key) != edit.value || is_malformed) differing.push_back(edit);
  }
  if (!stale.empty()) return Conflict(stale, reading);
  if (differing.empty()) {
    EditResult result;
    result.outcome = EditOutcome::kUnchanged;
    result.revision = reading.table.revision();
    result.detail = "the table holds these values already";
    return result;
  }
  if (differing.size() > options_.max_cells_per_edit) {
    return Refused(
        fmt::format("{} cells differ from the table; one edit changes at most {}, so that it is "
                    "accepted or refused as a whole: import the rows in several files",
                    differing.size(), options_.max_cells_per_edit));
  }
  return Commit(reading, origin, differing);
}

EditResult TableEditor::Commit(const Reading& reading, const EditOrigin& origin,
                               const std::vector<CellEdit>& edits) {
  EditRecord record;
  record.edit_id = NewEditId(random_);
  record.author = origin.author;
  record.unix_seconds = origin.unix_seconds;
  std::vector<infrastructure::Condition> conditions;
  std::vector<infrastructure::Write> writes;
  for (const CellEdit& edit : edits) {
    const std::string key = StoreKey(edit.key);
    conditions.push_back({key, reading.RevisionOf(edit.key)});
    std::optional<std::string> value;
    if (edit.value.has_value()) value = EncodeStoredCell(*edit.value, record.edit_id);
    writes.push_back({key, std::move(value), 0});
    record.changes.push_back({edit.key, edit.value});
  }
  const std::string edit_id = record.edit_id;
  EditTransaction transaction(store_, random_, wait_, options_, std::move(record),
                              std::move(conditions), std::move(writes));
  const TransactionResult transaction_result = transaction.Run();

  EditResult result;
  switch (transaction_result.outcome) {
    case TransactionOutcome::kApplied:
      result.outcome = EditOutcome::kAccepted;
      result.revision = transaction_result.revision;
      result.changed_cells = edits.size();
      break;
    case TransactionOutcome::kConditionsFailed:
      result = Conflict(edits, reading);
      break;
    case TransactionOutcome::kNotAccepted:
      result = NotAccepted(transaction_result.status);
      break;
    case TransactionOutcome::kUndetermined:
      result.outcome = EditOutcome::kUndetermined;
      result.detail = fmt::format(
          "the edit may be in force, and the platform could not tell ({}); the history shows edit "
          "{} if it is",
          std::string(transaction_result.status.message()), edit_id);
      break;
  }
  result.edit_id = edit_id;
  return result;
}

// Describes the conflict of `edits` with what the table is now. `reading` is what they were based
// on. Cells that still have the revision read there are left out, unless that leaves none.
EditResult TableEditor::Conflict(const std::vector<CellEdit>& edits, const Reading& reading) {
  EditResult result;
  result.outcome = EditOutcome::kConflict;
  result.detail = "another edit came first, nothing was changed";
  const absl::StatusOr<Reading> now = ReadTable();
  if (!now.ok()) return result;
  const absl::StatusOr<std::vector<EditRecord>> history = History();
  const std::vector<EditRecord> known = history.ok() ? *history : std::vector<EditRecord>();
  for (const CellEdit& edit : edits) {
    const int64_t based_on = edit.expected_revision.value_or(reading.RevisionOf(edit.key));
    if (now->RevisionOf(edit.key) == based_on) continue;
    result.conflicts.push_back(DescribeConflict(edit.key, *now, known));
  }
  if (!result.conflicts.empty()) return result;
  for (const CellEdit& edit : edits) {
    result.conflicts.push_back(DescribeConflict(edit.key, *now, known));
  }
  return result;
}

CellConflict TableEditor::DescribeConflict(const CellKey& key, const Reading& now,
                                           const std::vector<EditRecord>& history) {
  CellConflict conflict;
  conflict.key = key;
  conflict.current = now.ValueOf(key);
  conflict.revision = now.RevisionOf(key);
  const Cell* const cell = now.table.Lookup(key.service, key.caller_class);
  if (cell != nullptr) conflict.winner_edit_id = cell->edit_id;
  // The newest record that touches the cell wrote it last.
  for (const EditRecord& record : history) {
    const bool touches =
        std::any_of(record.changes.begin(), record.changes.end(),
                    [&](const RecordedChange& change) { return change.key == key; });
    if (!touches) continue;
    if (cell != nullptr && record.edit_id != cell->edit_id) continue;
    conflict.winner_edit_id = record.edit_id;
    conflict.winner_author = record.author;
    conflict.revision = record.revision;
  }
  return conflict;
}

}  // namespace runshelf::table
