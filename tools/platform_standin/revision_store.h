// An in-memory key-value store with revisions, in the manner of etcd's v3 API: transactions that
// compare before they write, leases, a history of changes for watches, and compaction.
//
// Deterministic and free of input and output: callers pass `now`. Not thread-safe; see
// synchronized_store.h.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/infrastructure/key_value_store.h"

namespace runshelf::platform_standin {

// Largest number of operations in one branch of a transaction.
inline constexpr size_t kMaxOperationsPerTransaction = 128;

// Keys from `first` up to but without `end`. An empty `end` means `first` alone, and a single zero
// byte means all keys from `first` on.
struct KeyRange {
  std::string first;
  std::string end;

  bool Contains(const std::string& key) const;
};

// The range of all keys that start with `prefix`.
KeyRange PrefixRange(const std::string& prefix);

// A stored key with the number of writes since it was created.
struct Item {
  infrastructure::KeyValue key_value;
  int64_t version = 0;
};

// The number of a key that a transaction compares; each is zero for a key that does not exist.
enum class CompareTarget { kVersion, kCreateRevision, kModRevision };
enum class CompareResult { kEqual, kNotEqual, kGreater, kLess };

struct Compare {
  std::string key;
  CompareTarget target = CompareTarget::kModRevision;
  CompareResult result = CompareResult::kEqual;
  int64_t value = 0;
};

struct PutOperation {
  std::string key;
  std::string value;
  int64_t lease = 0;  // Zero binds the key to no lease.
};

struct DeleteOperation {
  KeyRange range;
};

using Operation = std::variant<PutOperation, DeleteOperation>;

// All operations of `success` if every comparison holds, those of `failure` otherwise.
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Operation> success;
  std::vector<Operation> failure;
};

struct TransactionResult {
  bool succeeded = false;
  int64_t revision = 0;                 // Of the store after the transaction.
  std::vector<Operation> operations;    // Those that were carried out.
  std::vector<int64_t> deleted_counts;  // One for each of `operations`; zero for a put.
};

struct ItemRange {
  int64_t revision = 0;
  std::vector<Item> items;  // Ascending by key.
};

struct ChangeEvent {
  bool deleted = false;
  Item item;  // Of a deleted key only key and mod_revision are set.
};

struct EventBatch {
  int64_t revision = 0;  // The batch holds every matching change up to this revision.
  std::vector<ChangeEvent> events;
};

class RevisionStore {
 public:
  // Keeps at most about `history_limit` changes for watches; older ones are compacted.
  explicit RevisionStore(size_t history_limit = 100'000) : history_limit_(history_limit) {}

  int64_t revision() const { return revision_; }

  // The newest revision that watches can no longer read.
  int64_t compacted_revision() const { return compacted_revision_; }

  ItemRange Range(const KeyRange& range) const;

  // kInvalidArgument: an empty key, too many operations, or a key written twice.
  // kNotFound: a put names a lease that does not exist. Nothing is written in either case.
  absl::StatusOr<TransactionResult> Commit(const Transaction& transaction);

  // Grants a lease that lapses `time_to_live` after the last KeepLeaseAlive.
  // kInvalidArgument: `time_to_live` is not positive.
  absl::StatusOr<int64_t> GrantLease(Instant now, Duration time_to_live);

  // Returns the lease's time to live. kNotFound: no such lease.
  absl::StatusOr<Duration> KeepLeaseAlive(Instant now, int64_t lease);

  // Deletes the lease and its keys. kNotFound: no such lease.
  absl::Status RevokeLease(int64_t lease);

  // Revokes all leases that have lapsed at `now`. Callers do so before every other call.
  void ExpireLeases(Instant now);

  // Returns the changes within `range` from `start_revision` on, whole revisions only and at most
  // about `max_events`. kOutOfRange: `start_revision` has been compacted.
  absl::StatusOr<EventBatch> Events(const KeyRange& range, int64_t start_revision,
                                    size_t max_events) const;

  // Forgets the changes up to `revision`. kOutOfRange: already compacted, or in the future.
  absl::Status Compact(int64_t revision);

 private:
  struct Lease {
    Duration time_to_live{0};
    Instant expires_at;
    std::set<std::string> keys;
  };

  bool Holds(const Compare& compare) const;
  absl::Status Validate(const std::vector<Operation>& operations) const;
  void Put(const PutOperation& operation, int64_t revision);
  int64_t Delete(const KeyRange& range, int64_t revision);
  void Detach(const Item& item);
  void DropHistory(int64_t revision);
  void LimitHistory();

  size_t history_limit_;
  int64_t revision_ = 1;
  int64_t compacted_revision_ = 0;
  int64_t next_lease_ = 1000;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  Instant earliest_expiry_ = Instant::max();  // No lease lapses before; spares a scan per call.
  std::deque<ChangeEvent> history_;           // Ascending by mod_revision.
};

}  // namespace runshelf::platform_standin
