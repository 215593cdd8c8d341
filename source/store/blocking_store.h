// The sidecars' store as the key-value service that the editor of the operators' table works on.
//
// For command-line tools: each call runs an event loop of its own until the answer is there.
#pragma once

#include <functional>
#include <string>

#include "runshelf/infrastructure/key_value_store.h"
#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/store/store_client.h"

namespace runshelf::store {

// The store bounds leases to this time; longer ones are cut to it.
constexpr Duration kLongestLease = std::chrono::minutes(10);
// Most conditions, writes and removals of one transaction, taken together.
constexpr size_t kMaxTransactionEntries = 32;

// Keys lose a leading slash, so that they lie below the prefix that sidecars watch. The pages of a
// long range are read one after the other and form no snapshot; each value carries its revision.
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
  // kUnimplemented: sidecars follow the store by PrefixWatcher.
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
