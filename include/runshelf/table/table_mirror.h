// The newest table that a process knows, from the platform and from peers.
//
// Free of input and output. The revision never falls: what is older than the table in force changes
// nothing, in whatever order ranges, events and deltas arrive. Safe to use from several threads.
#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <mutex>
#include <vector>

#include "runshelf/infrastructure/key_value_store.h"
#include "runshelf/table/store_records.h"
#include "runshelf/table/table.h"

namespace runshelf::table {

class TableMirror {
 public:
  TableMirror();

  // Never null; the empty table of revision 0 until the first one arrives.
  TableSnapshot Current() const;

  // Takes a range of kTablePrefix; cells that are not in it are gone. True when the table advanced.
  // A malformed cell leaves the value known before in force, if there is one.
  bool ReplaceByRange(const infrastructure::RangeResult& range);

  // Takes watch events of kTablePrefix, in order; events of one transaction in one call.
  // True when the table advanced.
  bool ApplyEvents(const std::vector<infrastructure::WatchEvent>& events);

  // Takes a delta of a peer. True when the table advanced. Errors of Table::Apply.
  absl::StatusOr<bool> ApplyDelta(const TableDelta& delta);

  // Returns and clears the malformed cells met since the last call.
  std::vector<MalformedRecord> TakeMalformed();

 private:
  bool Publish(Table table);

  mutable std::mutex mutex_;
  TableSnapshot current_;
  std::vector<MalformedRecord> malformed_;
};

}  // namespace runshelf::table
