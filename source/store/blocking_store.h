// Presents the sidecars' store as a KeyValueStore, the interface that the editor of the operators'
// table uses.
//
// For command-line tools: each call blocks, running the object's own event loop until the response
// arrives.
#pragma once

#include <functional>
#include <string>

#include "runshelf/infrastructure/key_value_store.h"
#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/store/store_client.h"

namespace runshelf::store {

// Maximum time to live that the store grants; longer requests are reduced to it.
constexpr Duration kLongestLease = std::chrono::minutes(10);
// Maximum total number of conditions, writes and removals in one transaction.
constexpr size_t kMaxTransactionEntries = 32;

// A leading slash is stripped from keys, so that they lie below the prefix that sidecars watch. The
// pages of a long range are read one after another and do not form a consistent snapshot; each
// value carries its own revision.
class BlockingStore : public infrastructure::KeyValueStore {
 public:
  BlockingStore(StoreCodec& codec, const event::Endpoint& endpoint);

  absl::StatusOr<infrastructure::RangeResult> Range(const std::string& prefix) override;
  absl::StatusOr<infrastructure::CommitResult> Commit(
      const std::vector<infrastructure::Condition>& conditions,
      const std::vector<infrastructure::Write>& writes) override;
  absl::StatusOr<int64_t> GrantLease(Duration time_to_live) override;
  absl::Status KeepLeaseAlive(int64_t lease) override;
  absl::Status RevokeLease(int64_t lease) override;
  // Always returns kUnimplemented; sidecars watch the store with PrefixWatcher.
  absl::Status Watch(
      const std::string& prefix, int64_t start_revision,
      const std::function<void(int64_t revision, const std::vector<infrastructure::WatchEvent>&)>&
          on_events,
      const std::function<bool()>& stop) override;

 private:
  absl::StatusOr<RangePage> ReadPage(const std::string& prefix, const std::string& after_key);

  event::EventLoop loop_;
  http::ConnectionPool pool_{loop_};
  StoreClient client_;
};

}  // namespace runshelf::store
