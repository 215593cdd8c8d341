#include "runshelf/table/table_source.h"

#include <algorithm>
#include <string>
#include <utility>

#include "runshelf/common/log.h"
#include "source/table/backoff.h"

namespace runshelf::table {

TableSource::TableSource(infrastructure::KeyValueStore& store, TableMirror& mirror,
                         const Clock& clock, Random& random, WaitFunction wait,
                         TableSourceCallbacks callbacks, TableSourceOptions options)
    : store_(store),
      mirror_(mirror),
      clock_(clock),
      random_(random),
      wait_(std::move(wait)),
      callbacks_(std::move(callbacks)),
      options_(options) {}

void TableSource::Run(const std::function<bool()>& stop) {
  Backoff backoff(options_.first_backoff, options_.longest_backoff, random_);
  while (!stop()) {
    const absl::Status status = Follow(stop);
    if (status.ok()) {
      backoff.Reset();
      continue;
    }
    if (absl::IsOutOfRange(status)) next_revision_ = 0;
    LogEvent(LogLevel::kWarning, "table_watch_broken",
             {{"reason", std::string(status.message())}, {"next_revision", next_revision_}});
    wait_(backoff.Next());
  }
}

// Watches once, after reading the range if that is needed.
absl::Status TableSource::Follow(const std::function<bool()>& stop) {
  if (next_revision_ != 0) return Watch(stop);
  absl::Status status = ReadRange();
  if (!status.ok()) return status;
  return Watch(stop);
}

absl::Status TableSource::ReadRange() {
  const absl::StatusOr<infrastructure::RangeResult> range = store_.Range(std::string(kTablePrefix));
  if (callbacks_.on_platform) callbacks_.on_platform(range.ok());
  if (!range.ok()) return range.status();
  next_revision_ = range->revision + 1;
  if (range->revision < mirror_.Current()->revision()) {
    LogEvent(LogLevel::kWarning, "table_range_too_old",
             {{"revision", range->revision}, {"in_force", mirror_.Current()->revision()}});
  }
  if (mirror_.ReplaceByRange(*range)) ReportTable();
  ReportMalformed();
  return absl::OkStatus();
}

absl::Status TableSource::Watch(const std::function<bool()>& stop) {
  const Instant end = clock_.Now() + options_.watch_duration;
  absl::Status status = store_.Watch(
      std::string(kTablePrefix), next_revision_,
      [this](int64_t, const std::vector<infrastructure::WatchEvent>& events) {
        HandleEvents(events);
      },
      [&] { return stop() || clock_.Now() >= end; });
  if (callbacks_.on_platform) callbacks_.on_platform(status.ok() || absl::IsOutOfRange(status));
  return status;
}

void TableSource::HandleEvents(const std::vector<infrastructure::WatchEvent>& events) {
  if (callbacks_.on_platform) callbacks_.on_platform(true);
  // The store's own revision may be ahead of the events that were delivered, so it is not used.
  for (const infrastructure::WatchEvent& event : events) {
    next_revision_ = std::max(next_revision_, event.key_value.mod_revision + 1);
  }
  if (mirror_.ApplyEvents(events)) ReportTable();
  ReportMalformed();
}

void TableSource::ReportTable() {
  if (callbacks_.on_table) callbacks_.on_table(mirror_.Current());
}

void TableSource::ReportMalformed() {
  for (const MalformedRecord& record : mirror_.TakeMalformed()) {
    LogEvent(
        LogLevel::kWarning, "table_cell_malformed",
        {{"key", record.store_key}, {"revision", record.mod_revision}, {"reason", record.reason}});
  }
}

}  // namespace runshelf::table
