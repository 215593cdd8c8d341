// What a sidecar asks of the store that keeps its shared state, and what it is told.
//
// The store offers compare-and-swap over several keys, leases whose end removes their keys, and
// watches of a prefix. A StoreCodec translates these operations into the requests of one service.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/http/message.h"

namespace runshelf::store {

using LeaseId = int64_t;   // Zero stands for "no lease".
using StoreEra = int64_t;  // Rises each time the store comes back from an older copy of its data.

// Orders all changes of the store: by era, and within one by the store's own counter, which goes
// back when an era begins. Zero stands for "absent". Made by MakeRevision only.
using Revision = int64_t;

constexpr int kRevisionCounterBits = 40;
constexpr int64_t kRevisionCounterMax = (int64_t{1} << kRevisionCounterBits) - 1;

constexpr Revision MakeRevision(StoreEra era, int64_t counter) {
  return (era << kRevisionCounterBits) + counter;
}
constexpr StoreEra EraOf(Revision revision) { return revision >> kRevisionCounterBits; }
constexpr int64_t CounterOf(Revision revision) { return revision & kRevisionCounterMax; }
// For logs and people: "ERA.COUNTER", without the era where the store tells none.
std::string RevisionText(Revision revision);

struct Item {
  std::string key;
  std::string value;
  Revision revision = 0;  // Of its last change.
  LeaseId lease = 0;
};

// One page of the items below a prefix, ascending by key.
struct RangePage {
  std::vector<Item> items;
  bool more = false;      // Another page follows the last key.
  Revision revision = 0;  // Of the store when the page was read.
};

struct WatchEvent {
  Item item;  // Of a removed item only the key and the revision are set.
  bool removed = false;
};

struct WatchPage {
  std::vector<WatchEvent> events;  // In the order of their revisions.
  Revision revision = 0;           // To watch on from.
};

// Holds when the key's last change has this revision; zero: when the key does not exist.
struct Condition {
  std::string key;
  Revision revision = 0;
};

struct Put {
  std::string key;
  std::string value;
  LeaseId lease = 0;
};

// Performed whole when every condition holds, and not at all otherwise.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> removals;
};

enum class CommitOutcome {
  kCommitted,
  kConflict,    // A condition did not hold; nothing was done.
  kLeaseEnded,  // A put names a lease that is over; nothing was done.
};

struct CommitResult {
  CommitOutcome outcome = CommitOutcome::kConflict;
  Revision revision = 0;    // Of the change, when it was committed.
  std::vector<Item> found;  // On a conflict: the items of the conditions as they are; absent ones
                            // are left out.
};

struct Lease {
  LeaseId id = 0;
  StoreEra era = 0;  // In which it was granted; in a later one the id may be another's.
  Duration time_to_live{0};
};

// Translates operations into HTTP requests and answers back. Free of input and output. Revisions
// are the store's own counters here; StoreClient joins them with the era.
//
// Decoders return: kUnavailable or kResourceExhausted when the store refused and nothing was done;
// kNotFound and kOutOfRange as said below; kInternal for an answer that makes no sense.
class StoreCodec {
 public:
  virtual ~StoreCodec() = default;

  virtual http::Request EncodeRange(const std::string& prefix, const std::string& after_key) = 0;
  virtual absl::StatusOr<RangePage> DecodeRange(const http::Response& response) = 0;

  virtual http::Request EncodeWatch(const std::string& prefix, Revision after, Duration wait) = 0;
  // kOutOfRange: the history since that revision is gone, so the range must be read again.
  virtual absl::StatusOr<WatchPage> DecodeWatch(const http::Response& response) = 0;

  virtual http::Request EncodeTransaction(const Transaction& transaction) = 0;
  virtual absl::StatusOr<CommitResult> DecodeTransaction(const http::Response& response) = 0;

  virtual http::Request EncodeGrantLease(Duration time_to_live) = 0;
  virtual absl::StatusOr<Lease> DecodeGrantLease(const http::Response& response) = 0;

  virtual http::Request EncodeKeepLease(LeaseId lease) = 0;
  // kNotFound: the lease is over.
  virtual absl::Status DecodeKeepLease(const http::Response& response) = 0;

  virtual http::Request EncodeEndLease(LeaseId lease) = 0;

  // The era in which the store gave an answer; nullopt when the answer does not tell.
  virtual std::optional<StoreEra> DecodeEra(const http::Response& response) = 0;
};

}  // namespace runshelf::store
