// A RevisionStore that many threads share, with leases that lapse by a clock.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <condition_variable>
#include <mutex>

#include "tools/platform_standin/revision_store.h"

namespace runshelf::platform_standin {

class SynchronizedStore {
 public:
  // `clock` must outlive the store.
  explicit SynchronizedStore(const Clock& clock) : clock_(clock) {}

  ItemRange Range(const KeyRange& range);
  absl::StatusOr<TransactionResult> Commit(const Transaction& transaction);
  absl::StatusOr<int64_t> GrantLease(Duration time_to_live);
  absl::StatusOr<Duration> KeepLeaseAlive(int64_t lease);
  absl::Status RevokeLease(int64_t lease);
  absl::Status Compact(int64_t revision);
  int64_t revision();
  int64_t compacted_revision();

  // As RevisionStore::Events; waits up to `max_wait` of real time while there are none.
  absl::StatusOr<EventBatch> WaitForEvents(const KeyRange& range, int64_t start_revision,
                                           size_t max_events, Duration max_wait);

 private:
  const Clock& clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  RevisionStore store_;  // Guarded by mutex_.
};

}  // namespace runshelf::platform_standin
