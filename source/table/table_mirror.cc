#include "runshelf/table/table_mirror.h"

#include <utility>

namespace runshelf::table {

TableMirror::TableMirror() : current_(std::make_shared<const Table>()) {}

TableSnapshot TableMirror::Current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

bool TableMirror::ReplaceByRange(const infrastructure::RangeResult& range) {
  const std::lock_guard lock(mutex_);
  DecodedCells decoded = DecodeStoredCells(range);
  for (MalformedRecord& record : decoded.malformed) {
    const absl::StatusOr<CellKey> key = CellKeyOfStoreKey(record.store_key);
    const Cell* const known =
        key.ok() ? current_->Lookup(key->service, key->caller_class) : nullptr;
    if (known != nullptr) decoded.cells.push_back(*known);
    malformed_.push_back(std::move(record));
  }
  return Publish(Table(range.revision, std::move(decoded.cells)));
}

bool TableMirror::ApplyEvents(const std::vector<infrastructure::WatchEvent>& events) {
  const std::lock_guard lock(mutex_);
  std::vector<CellChange> changes;
  for (const infrastructure::WatchEvent& event : events) {
    const infrastructure::KeyValue& key_value = event.key_value;
    if (event.deleted) {
      const absl::StatusOr<CellKey> key = CellKeyOfStoreKey(key_value.key);
      if (key.ok()) changes.push_back({*key, std::nullopt, key_value.mod_revision, ""});
      continue;
    }
    const absl::StatusOr<Cell> cell = DecodeStoredCell(key_value);
    if (cell.ok()) {
      changes.push_back({cell->key, cell->value, cell->mod_revision, cell->edit_id});
    } else {
      malformed_.push_back(
          {key_value.key, key_value.mod_revision, std::string(cell.status().message())});
    }
  }
  return Publish(current_->WithChanges(changes));
}

absl::StatusOr<bool> TableMirror::ApplyDelta(const TableDelta& delta) {
  const std::lock_guard lock(mutex_);
  absl::StatusOr<Table> table = current_->Apply(delta);
  if (!table.ok()) return table.status();
  return Publish(*std::move(table));
}

std::vector<MalformedRecord> TableMirror::TakeMalformed() {
  const std::lock_guard lock(mutex_);
  return std::exchange(malformed_, {});
}

// Puts `table` in force if it is newer. The caller holds the lock.
bool TableMirror::Publish(Table table) {
  if (table.revision() <= current_->revision()) return false;
  current_ = std::make_shared<const Table>(std::move(table));
  return true;
}

}  // namespace runshelf::table
