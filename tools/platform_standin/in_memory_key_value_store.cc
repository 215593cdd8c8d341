#include "tools/platform_standin/in_memory_key_value_store.h"

#include <chrono>

namespace runshelf::platform_standin {
namespace {

constexpr size_t kMaxEventsPerBatch = 1000;
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(20);

// The status of a call that `action` stopped before it had an effect; OK for one that runs.
absl::Status StatusBefore(FaultAction action) {
  switch (action) {
    case FaultAction::kNone:
    case FaultAction::kLoseAnswer:
      return absl::OkStatus();
    case FaultAction::kRefuse:
      return absl::UnavailableError("the service is away");
    case FaultAction::kRateLimit:
      return absl::ResourceExhaustedError("too many requests");
    case FaultAction::kClose:
      return absl::UnknownError("the answer was lost");
  }
  return absl::OkStatus();
}

absl::Status StatusAfter(FaultAction action) {
  if (action == FaultAction::kLoseAnswer) return absl::UnknownError("the answer was lost");
  return absl::OkStatus();
}

std::vector<infrastructure::WatchEvent> ToWatchEvents(const std::vector<ChangeEvent>& changes) {
  std::vector<infrastructure::WatchEvent> events;
  events.reserve(changes.size());
  for (const ChangeEvent& change : changes) {
    events.push_back({change.deleted, change.item.key_value});
  }
  return events;
}

Transaction ToTransaction(const std::vector<infrastructure::Condition>& conditions,
                          const std::vector<infrastructure::Write>& writes) {
  Transaction transaction;
  for (const infrastructure::Condition& condition : conditions) {
    transaction.compares.push_back({condition.key, CompareTarget::kModRevision,
                                    CompareResult::kEqual, condition.mod_revision});
  }
  for (const infrastructure::Write& write : writes) {
    if (write.value.has_value()) {
      transaction.success.emplace_back(PutOperation{write.key, *write.value, write.lease});
    } else {
      transaction.success.emplace_back(DeleteOperation{{write.key, ""}});
    }
  }
  return transaction;
}

}  // namespace

FaultAction InMemoryKeyValueStore::Decide(CallKind kind) {
  return faults_ == nullptr ? FaultAction::kNone : faults_->Decide(clock_.Now(), kind);
}

absl::StatusOr<infrastructure::RangeResult> InMemoryKeyValueStore::Range(
    const std::string& prefix) {
  const FaultAction action = Decide(CallKind::kRead);
  if (absl::Status status = StatusBefore(action); !status.ok()) return status;
  const ItemRange items = store_.Range(PrefixRange(prefix));
  infrastructure::RangeResult result;
  result.revision = items.revision;
  for (const Item& item : items.items) result.key_values.push_back(item.key_value);
  return result;
}

absl::StatusOr<infrastructure::CommitResult> InMemoryKeyValueStore::Commit(
    const std::vector<infrastructure::Condition>& conditions,
    const std::vector<infrastructure::Write>& writes) {
  const FaultAction action = Decide(CallKind::kWrite);
  if (absl::Status status = StatusBefore(action); !status.ok()) return status;
  const absl::StatusOr<TransactionResult> result = store_.Commit(ToTransaction(conditions, writes));
  if (absl::Status status = StatusAfter(action); !status.ok()) return status;
  if (!result.ok()) return result.status();
  return infrastructure::CommitResult{result->succeeded, result->revision};
}

absl::StatusOr<int64_t> InMemoryKeyValueStore::GrantLease(Duration time_to_live) {
  const FaultAction action = Decide(CallKind::kWrite);
  if (absl::Status status = StatusBefore(action); !status.ok()) return status;
  absl::StatusOr<int64_t> lease = store_.GrantLease(time_to_live);
  if (absl::Status status = StatusAfter(action); !status.ok()) return status;
  return lease;
}

absl::Status InMemoryKeyValueStore::KeepLeaseAlive(int64_t lease) {
  const FaultAction action = Decide(CallKind::kWrite);
  if (absl::Status status = StatusBefore(action); !status.ok()) return status;
  const absl::StatusOr<Duration> time_to_live = store_.KeepLeaseAlive(lease);
  if (absl::Status status = StatusAfter(action); !status.ok()) return status;
  return time_to_live.status();
}

absl::Status InMemoryKeyValueStore::RevokeLease(int64_t lease) {
  const FaultAction action = Decide(CallKind::kWrite);
  if (absl::Status status = StatusBefore(action); !status.ok()) return status;
  absl::Status status = store_.RevokeLease(lease);
  if (absl::Status lost = StatusAfter(action); !lost.ok()) return lost;
  return status;
}

absl::Status InMemoryKeyValueStore::Watch(
    const std::string& prefix, int64_t start_revision,
    const std::function<void(int64_t revision, const std::vector<infrastructure::WatchEvent>&)>&
        on_events,
    const std::function<bool()>& stop) {
  if (absl::Status status = StatusBefore(Decide(CallKind::kRead)); !status.ok()) return status;
  const KeyRange range = PrefixRange(prefix);
  int64_t next_revision = start_revision > 0 ? start_revision : store_.revision() + 1;
  Duration max_wait{0};
  while (true) {
    const absl::StatusOr<EventBatch> batch =
        store_.WaitForEvents(range, next_revision, kMaxEventsPerBatch, max_wait);
    if (!batch.ok()) return batch.status();
    if (!batch->events.empty()) on_events(batch->revision, ToWatchEvents(batch->events));
    next_revision = std::max(next_revision, batch->revision + 1);
    if (stop()) return absl::OkStatus();
    if (faults_ != nullptr && faults_->settings().outage) {
      return absl::UnavailableError("the service is away");
    }
    max_wait = kStopCheckInterval;
  }
}

}  // namespace runshelf::platform_standin
