// Follows the table in the platform's key-value service and feeds a TableMirror.
//
// Reads the range once, then watches from the next revision on. A broken watch is resumed where it
// ended; the range is read again only when those revisions have been compacted. While the platform
// is away the table in force stays.
//
// A connection that went silent looks like a table without changes. Each watch is therefore ended
// after `watch_duration` and resumed over a new connection, which bounds how long a change can go
// unnoticed.
#pragma once

#include <functional>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"
#include "runshelf/infrastructure/key_value_store.h"
#include "runshelf/table/table_editor.h"
#include "runshelf/table/table_mirror.h"

namespace runshelf::table {

struct TableSourceOptions {
  Duration watch_duration = std::chrono::seconds(2);
  Duration first_backoff = std::chrono::milliseconds(100);
  Duration longest_backoff = std::chrono::seconds(2);
};

// Called from the thread that runs the source.
struct TableSourceCallbacks {
  std::function<void(const TableSnapshot&)> on_table;  // The table has advanced.
  std::function<void(bool reachable)> on_platform;     // After each call to the platform.
};

class TableSource {
 public:
  // The arguments must outlive the source.
  TableSource(infrastructure::KeyValueStore& store, TableMirror& mirror, const Clock& clock,
              Random& random, WaitFunction wait, TableSourceCallbacks callbacks,
              TableSourceOptions options = {});

  // Blocks until `stop` returns true; asked at least every second or longest_backoff.
  void Run(const std::function<bool()>& stop);

 private:
  absl::Status Follow(const std::function<bool()>& stop);
  absl::Status ReadRange();
  absl::Status Watch(const std::function<bool()>& stop);
  void HandleEvents(const std::vector<infrastructure::WatchEvent>& events);
  void ReportTable();
  void ReportMalformed();

  infrastructure::KeyValueStore& store_;
  TableMirror& mirror_;
  const Clock& clock_;
  Random& random_;
  WaitFunction wait_;
  TableSourceCallbacks callbacks_;
  TableSourceOptions options_;
  int64_t next_revision_ = 0;  // From which to watch; zero: the range must be read first.
};

}  // namespace runshelf::table
