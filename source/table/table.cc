#include "runshelf/table/table.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace runshelf::table {
namespace {

bool KeyLess(const Cell& left, const Cell& right) { return left.key < right.key; }

auto FindCell(std::vector<Cell>& cells, const CellKey& key) {
  return std::lower_bound(cells.begin(), cells.end(), key,
                          [](const Cell& cell, const CellKey& value) { return cell.key < value; });
}

absl::Status ValidateChange(const TableDelta& delta, const CellChange& change) {
  absl::Status status = Validate(change.key);
  if (status.ok() && change.value.has_value()) status = Validate(*change.value);
  if (!status.ok()) return status;
  const int64_t lowest = delta.complete ? 0 : delta.from_revision;
  if (change.mod_revision <= lowest || change.mod_revision > delta.to_revision) {
    return absl::InvalidArgumentError(fmt::format("revision {} of {} lies outside of the delta",
                                                  change.mod_revision, change.key.ToString()));
  }
  if (delta.complete && !change.value.has_value()) {
    return absl::InvalidArgumentError("a complete delta must not hold deleted cells");
  }
  return absl::OkStatus();
}

absl::Status ValidateDelta(const TableDelta& delta) {
  if (delta.from_revision < 0 || delta.to_revision < delta.from_revision) {
    return absl::InvalidArgumentError(
        fmt::format("revisions {} to {} do not ascend", delta.from_revision, delta.to_revision));
  }
  std::set<CellKey> seen;
  for (const CellChange& change : delta.changes) {
    absl::Status status = ValidateChange(delta, change);
    if (!status.ok()) return status;
    if (!seen.insert(change.key).second) {
      return absl::InvalidArgumentError(fmt::format("{} appears twice", change.key.ToString()));
    }
  }
  return absl::OkStatus();
}

}  // namespace

Table::Table(int64_t revision, std::vector<Cell> cells)
    : revision_(revision), floor_revision_(revision), cells_(std::move(cells)) {
  std::sort(cells_.begin(), cells_.end(), KeyLess);
}

const Cell* Table::Lookup(std::string_view service, std::string_view caller_class) const {
  const auto wanted = std::pair(service, caller_class);
  const auto found = std::lower_bound(cells_.begin(), cells_.end(), wanted,
                                      [](const Cell& cell, const auto& value) {
                                        return std::pair<std::string_view, std::string_view>(
                                                   cell.key.service, cell.key.caller_class) < value;
                                      });
  if (found == cells_.end()) return nullptr;
  if (found->key.service != service || found->key.caller_class != caller_class) return nullptr;
  return &*found;
}

bool Table::HasService(std::string_view service) const {
  const auto found = std::lower_bound(
      cells_.begin(), cells_.end(), service,
      [](const Cell& cell, std::string_view value) { return cell.key.service < value; });
  return found != cells_.end() && found->key.service == service;
}

TableDelta Table::ChangesSince(int64_t revision) const {
  if (revision >= revision_) return {revision_, revision_, false, {}};
  if (revision < floor_revision_) return ToCompleteDelta();
  TableDelta delta{revision, revision_, false, {}};
  for (const Cell& cell : cells_) {
    if (cell.mod_revision <= revision) continue;
    delta.changes.push_back({cell.key, cell.value, cell.mod_revision, cell.edit_id});
  }
  for (const auto& [key, deleted_at] : tombstones_) {
    if (deleted_at <= revision) continue;
    delta.changes.push_back({key, std::nullopt, deleted_at, ""});
  }
  return delta;
}

TableDelta Table::ToCompleteDelta() const {
  TableDelta delta{0, revision_, true, {}};
  for (const Cell& cell : cells_) {
    delta.changes.push_back({cell.key, cell.value, cell.mod_revision, cell.edit_id});
  }
  return delta;
}

absl::StatusOr<Table> Table::Apply(const TableDelta& delta) const {
  const absl::Status status = ValidateDelta(delta);
  if (!status.ok()) return status;
  if (delta.to_revision <= revision_) return *this;
  if (delta.complete) {
    std::vector<Cell> cells;
    for (const CellChange& change : delta.changes) {
      cells.push_back({change.key, *change.value, change.mod_revision, change.edit_id});
    }
    return Table(delta.to_revision, std::move(cells));
  }
  if (delta.from_revision > revision_) {
    return absl::FailedPreconditionError(fmt::format(
        "the delta starts at revision {} and the table is at {}", delta.from_revision, revision_));
  }
  Table table = WithChanges(delta.changes);
  table.revision_ = delta.to_revision;
  return table;
}

Table Table::WithChanges(const std::vector<CellChange>& changes) const {
  Table table = *this;
  for (const CellChange& change : changes) table.ApplyChange(change);
  table.DropOldTombstones();
  return table;
}

void Table::ApplyChange(const CellChange& change) {
  // What happened up to the floor is in the table, though its tombstones may be gone.
  if (change.mod_revision <= floor_revision_) return;
  const auto tombstone = tombstones_.find(change.key);
  if (tombstone != tombstones_.end()) {
    if (tombstone->second >= change.mod_revision) return;
    tombstones_.erase(tombstone);
  }
  const auto found = FindCell(cells_, change.key);
  const bool exists = found != cells_.end() && found->key == change.key;
  if (exists && found->mod_revision >= change.mod_revision) return;
  if (!change.value.has_value()) {
    if (exists) cells_.erase(found);
    tombstones_[change.key] = change.mod_revision;
  } else if (exists) {
    *found = {change.key, *change.value, change.mod_revision, change.edit_id};
  } else {
    cells_.insert(found, {change.key, *change.value, change.mod_revision, change.edit_id});
  }
  revision_ = std::max(revision_, change.mod_revision);
}

void Table::DropOldTombstones() {
  if (tombstones_.size() <= kMaxTombstones) return;
  std::vector<int64_t> revisions;
  for (const auto& [key, deleted_at] : tombstones_) revisions.push_back(deleted_at);
  const auto dropped = static_cast<std::ptrdiff_t>(revisions.size() - kMaxTombstones);
  const auto newest_dropped = revisions.begin() + (dropped - 1);
  std::nth_element(revisions.begin(), newest_dropped, revisions.end());
  floor_revision_ = std::max(floor_revision_, *newest_dropped);
  std::erase_if(tombstones_, [&](const auto& entry) { return entry.second <= floor_revision_; });
}

}  // namespace runshelf::table
