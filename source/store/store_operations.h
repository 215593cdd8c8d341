// Operations of the key-value store that holds the state shared by the sidecars, and their results.
//
// The store offers compare-and-swap transactions over several keys, leases whose expiry removes the
// keys bound to them, and watches of a key prefix. A StoreCodec translates these operations into
// the HTTP requests of one store service.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/http/message.h"

namespace runshelf::store {

using LeaseId = int64_t;   // Zero: no lease.
using StoreEra = int64_t;  // Increases each time the store is restored from a backup of its data.

// Totally orders the changes of the store: first by era, then by the store's own counter, which
// restarts from a lower value in a new era. Zero: the item does not exist. Create values with
// MakeRevision only.
using Revision = int64_t;

constexpr int kRevisionCounterBits = 40;
constexpr int64_t kRevisionCounterMax = (int64_t{1} << kRevisionCounterBits) - 1;

constexpr Revision MakeRevision(StoreEra era, int64_t counter) {
  return (era << kRevisionCounterBits) + counter;
}
constexpr StoreEra EraOf(Revision revision) { return revision >> kRevisionCounterBits; }
constexpr int64_t CounterOf(Revision revision) { return revision & kRevisionCounterMax; }
// Human-readable form for logs: "ERA.COUNTER", or "COUNTER" when the store does not report an era.
std::string RevisionText(Revision revision);

// One key of the store with its value.
struct Item {
  std::string key;
  std::string value;
  Revision revision = 0;  // Revision of the last change.
  LeaseId lease = 0;
};

// One page of the items below a prefix, in ascending key order.
struct RangePage {
  std::vector<Item> items;
  bool more = false;      // More items follow the last key of this page.
  Revision revision = 0;  // Revision of the store when the page was read.
};

// One change of an item: a write or a removal.
struct WatchEvent {
  Item item;  // For a removed item, only the key and the revision are set.
  bool removed = false;
};

// Result of one watch call; without events if its wait ended without changes.
struct WatchPage {
  std::vector<WatchEvent> events;  // In ascending revision order.
  Revision revision = 0;           // Revision to continue the watch from.
};

// Satisfied when the last change of the key has this revision; with revision zero, when the key
// does not exist.
struct Condition {
  std::string key;
  Revision revision = 0;
};

// Write of one item in a transaction; with a lease, the item is removed when the lease ends.
struct Put {
  std::string key;
  std::string value;
  LeaseId lease = 0;
};

// Applied atomically if every condition is satisfied; otherwise has no effect.
struct Transaction {
  std::string_view purpose = "other";  // For the metrics; must be a string literal.
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> removals;
};

// How the store processed a transaction.
enum class CommitOutcome {
  kCommitted,
  kConflict,    // A condition was not satisfied; nothing was changed.
  kLeaseEnded,  // A put names a lease that has expired or was revoked; nothing was changed.
};

// Result of a transaction that the store processed.
struct CommitResult {
  CommitOutcome outcome = CommitOutcome::kConflict;
  Revision revision = 0;    // Revision of the change, if it was committed.
  std::vector<Item> found;  // On a conflict: existing items with the keys of the conditions.
};

// A lease as granted by the store.
struct Lease {
  LeaseId id = 0;
  StoreEra era = 0;  // Era of the grant; in a later era the id may belong to another lease.
  Duration time_to_live{0};
};

// Encodes store operations as HTTP requests and decodes the responses; performs no I/O. Revisions
// are the store's own counters here; StoreClient combines them with the era.
//
// Decoders return kUnavailable or kResourceExhausted when the store refused the request without
// executing it, kNotFound and kOutOfRange as described at the methods, and kInternal for a
// malformed response.
class StoreCodec {
 public:
  virtual ~StoreCodec() = default;

  virtual http::Request EncodeRange(const std::string& prefix, const std::string& after_key) = 0;
  virtual absl::StatusOr<RangePage> DecodeRange(const http::Response& response) = 0;

  virtual http::Request EncodeWatch(const std::string& prefix, Revision after, Duration wait) = 0;
  // kOutOfRange: the store no longer has the history since that revision, so the range must be read
  // again.
  virtual absl::StatusOr<WatchPage> DecodeWatch(const http::Response& response) = 0;

  virtual http::Request EncodeTransaction(const Transaction& transaction) = 0;
  virtual absl::StatusOr<CommitResult> DecodeTransaction(const http::Response& response) = 0;

  virtual http::Request EncodeGrantLease(Duration time_to_live) = 0;
  virtual absl::StatusOr<Lease> DecodeGrantLease(const http::Response& response) = 0;

  virtual http::Request EncodeKeepLease(LeaseId lease) = 0;
  // kNotFound: the lease has expired or was revoked.
  virtual absl::Status DecodeKeepLease(const http::Response& response) = 0;

  virtual http::Request EncodeEndLease(LeaseId lease) = 0;

  // Era of the store when it sent the response; nullopt if the response does not state it.
  virtual std::optional<StoreEra> DecodeEra(const http::Response& response) = 0;
};

}  // namespace runshelf::store
