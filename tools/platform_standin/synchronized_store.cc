#include "tools/platform_standin/synchronized_store.h"

#include <algorithm>
#include <chrono>

namespace runshelf::platform_standin {
namespace {

// How often a waiting watch looks for leases that lapsed while nobody called.
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(20);

}  // namespace

ItemRange SynchronizedStore::Range(const KeyRange& range) {
  const std::lock_guard lock(mutex_);
  store_.ExpireLeases(clock_.Now());
  return store_.Range(range);
}

absl::StatusOr<TransactionResult> SynchronizedStore::Commit(const Transaction& transaction) {
  const std::lock_guard lock(mutex_);
  store_.ExpireLeases(clock_.Now());
  absl::StatusOr<TransactionResult> result = store_.Commit(transaction);
  changed_.notify_all();
  return result;
}

absl::StatusOr<int64_t> SynchronizedStore::GrantLease(Duration time_to_live) {
  const std::lock_guard lock(mutex_);
  return store_.GrantLease(clock_.Now(), time_to_live);
}

absl::StatusOr<Duration> SynchronizedStore::KeepLeaseAlive(int64_t lease) {
  const std::lock_guard lock(mutex_);
  const Instant now = clock_.Now();
  store_.ExpireLeases(now);
  return store_.KeepLeaseAlive(now, lease);
}

absl::Status SynchronizedStore::RevokeLease(int64_t lease) {
  const std::lock_guard lock(mutex_);
  store_.ExpireLeases(clock_.Now());
  absl::Status status = store_.RevokeLease(lease);
  changed_.notify_all();
  return status;
}

absl::Status SynchronizedStore::Compact(int64_t revision) {
  const std::lock_guard lock(mutex_);
  absl::Status status = store_.Compact(revision);
  changed_.notify_all();
  return status;
}

int64_t SynchronizedStore::revision() {
  const std::lock_guard lock(mutex_);
  store_.ExpireLeases(clock_.Now());
  return store_.revision();
}

int64_t SynchronizedStore::compacted_revision() {
  const std::lock_guard lock(mutex_);
  return store_.compacted_revision();
}

absl::StatusOr<EventBatch> SynchronizedStore::WaitForEvents(const KeyRange& range,
                                                            int64_t start_revision,
                                                            size_t max_events, Duration max_wait) {
  const auto give_up_at = std::chrono::steady_clock::now() + max_wait;
  std::unique_lock lock(mutex_);
  while (true) {
    store_.ExpireLeases(clock_.Now());
    absl::StatusOr<EventBatch> batch = store_.Events(range, start_revision, max_events);
    const auto now = std::chrono::steady_clock::now();
    if (!batch.ok() || !batch->events.empty() || now >= give_up_at) return batch;
    changed_.wait_until(lock, std::min(give_up_at, now + kLeaseCheckInterval));
  }
}

}  // namespace runshelf::platform_standin
