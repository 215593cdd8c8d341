#include "source/store/blocking_store.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace runshelf::store {
namespace {

StoreClientConfig ClientConfig(const event::Endpoint& endpoint) {
  StoreClientConfig config;
  config.endpoint = endpoint;
  return config;
}

std::string KeyWithoutSlash(const std::string& key) {
  return key.starts_with('/') ? key.substr(1) : key;
}

std::string KeyWithSlash(const std::string& key) { return "/" + key; }

// Starts an operation and runs the loop until its callback is called.
template <typename Result>
Result Await(event::EventLoop& loop,
             const std::function<void(std::function<void(Result)>)>& start) {
  std::optional<Result> result;
  start([&](Result answer) {
    result.emplace(std::move(answer));
    loop.Stop();
  });
  loop.Run();
  return *std::move(result);
}

}  // namespace

BlockingStore::BlockingStore(StoreCodec& codec, const event::Endpoint& endpoint)
    : client_(loop_, pool_, codec, ClientConfig(endpoint)) {}

absl::StatusOr<RangePage> BlockingStore::ReadPage(const std::string& prefix,
                                                  const std::string& after_key) {
  return Await<absl::StatusOr<RangePage>>(
      loop_, [&](auto callback) { client_.Range(prefix, after_key, std::move(callback)); });
}

absl::StatusOr<infrastructure::RangeResult> BlockingStore::Range(const std::string& prefix) {
  infrastructure::RangeResult result;
  std::string after_key;
  while (true) {
    const absl::StatusOr<RangePage> page = ReadPage(KeyWithoutSlash(prefix), after_key);
    if (!page.ok()) return page.status();
    if (result.revision == 0) result.revision = page->revision;
    for (const Item& item : page->items) {
      infrastructure::KeyValue key_value;
      key_value.key = KeyWithSlash(item.key);
      key_value.value = item.value;
      key_value.mod_revision = item.revision;
      key_value.lease = item.lease;
      result.key_values.push_back(std::move(key_value));
    }
    if (!page->more || page->items.empty()) return result;
    after_key = page->items.back().key;
  }
}

absl::StatusOr<infrastructure::CommitResult> BlockingStore::Commit(
    const std::vector<infrastructure::Condition>& conditions,
    const std::vector<infrastructure::Write>& writes) {
  if (conditions.size() + writes.size() > kMaxTransactionEntries) {
    return absl::InvalidArgumentError(
        "transaction has more conditions and writes than the store allows");
  }
  Transaction transaction;
  for (const infrastructure::Condition& condition : conditions) {
    transaction.conditions.push_back({KeyWithoutSlash(condition.key), condition.mod_revision});
  }
  for (const infrastructure::Write& write : writes) {
    if (write.value.has_value()) {
      transaction.puts.push_back({KeyWithoutSlash(write.key), *write.value, write.lease});
    } else {
      transaction.removals.push_back(KeyWithoutSlash(write.key));
    }
  }
  const auto committed = Await<absl::StatusOr<CommitResult>>(
      loop_, [&](auto callback) { client_.Commit(transaction, std::move(callback)); });
  if (!committed.ok()) return committed.status();
  if (committed->outcome == CommitOutcome::kLeaseEnded) {
    return absl::UnavailableError("the lease of the record has expired");
  }
  infrastructure::CommitResult result;
  result.succeeded = committed->outcome == CommitOutcome::kCommitted;
  result.revision = committed->revision;
  for (const Item& item : committed->found) {
    result.revision = std::max(result.revision, item.revision);
  }
  return result;
}

absl::StatusOr<int64_t> BlockingStore::GrantLease(Duration time_to_live) {
  const Duration bounded = std::min(time_to_live, kLongestLease);
  const auto lease = Await<absl::StatusOr<Lease>>(
      loop_, [&](auto callback) { client_.GrantLease(bounded, std::move(callback)); });
  if (!lease.ok()) return lease.status();
  return lease->id;
}

absl::Status BlockingStore::KeepLeaseAlive(int64_t lease) {
  return Await<absl::Status>(loop_,
                             [&](auto callback) { client_.KeepLease(lease, std::move(callback)); });
}

absl::Status BlockingStore::RevokeLease(int64_t lease) {
  client_.EndLease(lease);
  return absl::OkStatus();
}

absl::Status BlockingStore::Watch(
    const std::string&, int64_t,
    const std::function<void(int64_t, const std::vector<infrastructure::WatchEvent>&)>&,
    const std::function<bool()>&) {
  return absl::UnimplementedError("BlockingStore does not support watches");
}

}  // namespace runshelf::store
