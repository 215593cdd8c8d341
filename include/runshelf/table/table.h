// The operators' table as an immutable snapshot, and the changes that lead from one to the next.
//
// Revisions are those of the platform's key-value service. A table of revision R holds the effect
// of every change up to R and of none after. Apply never leads back to an older revision, so tables
// may arrive from the platform and from several peers in any order.
//
// Deleted cells leave a tombstone, so that the deletion is part of later deltas. A table knows
// all deletions after its `floor_revision` only; for readers older than that, ChangesSince returns
// a complete delta, which replaces their table.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runshelf/table/cell.h"

namespace runshelf::table {

// Tombstones kept in one table; the oldest ones are dropped beyond it.
constexpr size_t kMaxTombstones = 4096;

struct Cell {
  CellKey key;
  CellValue value;
  int64_t mod_revision = 0;  // Platform revision of the edit that last wrote the cell.
  std::string edit_id;       // Of that edit.

  bool operator==(const Cell&) const = default;
};

// The newest state of one cell; `value` is absent when the cell was deleted.
struct CellChange {
  CellKey key;
  std::optional<CellValue> value;
  int64_t mod_revision = 0;
  std::string edit_id;  // Empty when the cell was deleted.

  bool operator==(const CellChange&) const = default;
};

// All changes after `from_revision` up to `to_revision`, at most one for each cell.
struct TableDelta {
  int64_t from_revision = 0;
  int64_t to_revision = 0;
  bool complete = false;  // `changes` is the whole table: cells that are not in it do not exist.
  std::vector<CellChange> changes;

  bool operator==(const TableDelta&) const = default;
};

class Table {
 public:
  // The empty table of revision 0.
  Table() = default;

  // A table as read at `revision`; `cells` in any order, keys unique and values valid.
  Table(int64_t revision, std::vector<Cell> cells);

  int64_t revision() const { return revision_; }
  int64_t floor_revision() const { return floor_revision_; }
  const std::vector<Cell>& cells() const { return cells_; }  // Ascending by key.

  // Returns the cell, or nullptr when there is none. Allocates nothing; O(log cells).
  const Cell* Lookup(std::string_view service, std::string_view caller_class) const;

  // Whether any cell of `service` exists.
  bool HasService(std::string_view service) const;

  // Returns what a reader with a table of `revision` lacks. An empty delta with equal revisions
  // when it lacks nothing.
  TableDelta ChangesSince(int64_t revision) const;

  // Returns the whole table as a delta that fits every reader.
  TableDelta ToCompleteDelta() const;

  // Returns the table after `delta`. A delta that is not newer than the table changes nothing.
  // kFailedPrecondition: the delta starts after this table, so changes in between are missing.
  // kInvalidArgument: the delta contradicts itself.
  absl::StatusOr<Table> Apply(const TableDelta& delta) const;

  // Returns the table with single changes applied, each unless the table already reflects it;
  // the revision becomes the highest of them. For changes in the platform's order, without gaps.
  Table WithChanges(const std::vector<CellChange>& changes) const;

 private:
  void ApplyChange(const CellChange& change);
  void DropOldTombstones();

  int64_t revision_ = 0;
  int64_t floor_revision_ = 0;
  std::vector<Cell> cells_;
  std::map<CellKey, int64_t> tombstones_;  // Revision at which the cell was deleted.
};

using TableSnapshot = std::shared_ptr<const Table>;

}  // namespace runshelf::table
