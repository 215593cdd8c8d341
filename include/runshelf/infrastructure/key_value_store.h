// The platform's key-value service, reduced to what runshelf needs.
//
// Another service needs one adapter that implements this interface. The service is rate-limited and
// has outages, and a write may take effect although its answer is lost; every status says which.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::infrastructure {

struct KeyValue {
  std::string key;
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;  // Revision of the store at which the value was last written.
  int64_t lease = 0;         // Zero when the key is bound to no lease.
};

// All keys of a prefix at one revision of the store.
struct RangeResult {
  int64_t revision = 0;
  std::vector<KeyValue> key_values;  // Ascending by key.
};

// Holds when the key's mod_revision equals `mod_revision`; zero means that the key does not exist.
struct Condition {
  std::string key;
  int64_t mod_revision = 0;
};

struct Write {
  std::string key;
  std::optional<std::string> value;  // Deletes the key when absent.
  int64_t lease = 0;
};

struct CommitResult {
  bool succeeded = false;  // False: some condition did not hold and nothing was written.
  int64_t revision = 0;    // Of the store after the call.
};

struct WatchEvent {
  bool deleted = false;
  KeyValue key_value;  // Of a deleted key only key and mod_revision are set.
};

// Status codes used by all calls:
//   kUnavailable      the service was not reached or refused; certainly nothing was written
//   kResourceExhausted the rate limit was hit; certainly nothing was written
//   kUnknown          the answer was lost; a write may have taken effect
//   kInvalidArgument  the service refused the request as malformed
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  // Reads all keys that start with `prefix`, at one revision.
  virtual absl::StatusOr<RangeResult> Range(const std::string& prefix) = 0;

  // Applies all writes at once if all conditions hold, none otherwise. At most 128 writes.
  virtual absl::StatusOr<CommitResult> Commit(const std::vector<Condition>& conditions,
                                              const std::vector<Write>& writes) = 0;

  // Grants a lease that lapses `time_to_live` after the last KeepAlive; returns its id.
  virtual absl::StatusOr<int64_t> GrantLease(Duration time_to_live) = 0;
  virtual absl::Status KeepLeaseAlive(int64_t lease) = 0;
  virtual absl::Status RevokeLease(int64_t lease) = 0;

  // Calls `on_events` for every change below `prefix` from `start_revision` on, in order, and
  // blocks until `stop` returns true (asked at least every second) or the stream breaks. The
  // revision that is passed along is the store's after the events. kOutOfRange: the revisions asked
  // for have been compacted, so the caller must read the range again.
  virtual absl::Status Watch(
      const std::string& prefix, int64_t start_revision,
      const std::function<void(int64_t revision, const std::vector<WatchEvent>&)>& on_events,
      const std::function<bool()>& stop) = 0;
};

}  // namespace runshelf::infrastructure
