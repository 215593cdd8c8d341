#include "source/sidecar/lost_items.h"

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

// Nodes write at different times: the first one's items spare the others theirs.
constexpr Duration kWriteMin = std::chrono::milliseconds(20);
constexpr Duration kWriteMax = std::chrono::milliseconds(1500);
constexpr Duration kWriteRetry = std::chrono::milliseconds(500);
// The longest that the store grants. Whoever uses an item with a lease renews it.
constexpr Duration kLeaseTime = std::chrono::minutes(10);

}  // namespace

LostItemWriter::LostItemWriter(event::EventLoop& loop, store::StoreClient& store, Random& random,
                               LogWriter& log)
    : store_(store), random_(random), log_(log), timer_(loop, [this] { WriteAll(); }) {}

void LostItemWriter::OnEraBegan(const store::EraChange& change) {
  for (const auto& [key, item] : change.former) {
    const auto found = change.present.find(key);
    const bool missing = found == change.present.end();
    const bool older = !missing && found->second.value != item.value &&
                       store::CounterOf(found->second.revision) < store::CounterOf(item.revision);
    if (!missing && !older) continue;
    LostItem lost;
    lost.item = item;
    if (!missing) lost.present = found->second.revision;
    lost.lost_by = change.revision;
    lost_[key] = std::move(lost);
  }
  if (!lost_.empty()) timer_.Start(random_.Between(kWriteMin, kWriteMax));
}

bool LostItemWriter::OnItem(const store::Item& item) {
  const auto found = lost_.find(item.key);
  if (found == lost_.end()) return true;
  if (item.revision <= found->second.lost_by) return false;
  lost_.erase(found);
  return true;
}

void LostItemWriter::WriteAll() {
  if (lost_.empty()) return;
  timer_.Start(kWriteRetry);
  std::vector<std::string> keys;
  bool leased = false;
  for (auto& [key, lost] : lost_) {
    if (std::exchange(lost.writing, true)) continue;
    keys.push_back(key);
    leased = leased || lost.item.lease != 0;
  }
  if (!leased) {
    for (const std::string& key : keys) Write(key, 0);
    return;
  }
  store_.GrantLease(kLeaseTime, [this, keys](const absl::StatusOr<store::Lease>& lease) {
    for (const std::string& key : keys) Write(key, lease.ok() ? lease->id : 0);
  });
}

void LostItemWriter::Write(const std::string& key, store::LeaseId lease) {
  const auto found = lost_.find(key);
  if (found == lost_.end()) return;
  LostItem& lost = found->second;
  const bool needs_lease = lost.item.lease != 0;
  if (needs_lease && lease == 0) {
    lost.writing = false;
    return;
  }
  store::Transaction transaction;
  transaction.conditions.push_back({key, lost.present});
  transaction.puts.push_back({key, lost.item.value, needs_lease ? lease : 0});
  store_.Commit(transaction, [this, key](const absl::StatusOr<store::CommitResult>& result) {
    OnWritten(key, result);
  });
}

void LostItemWriter::OnWritten(const std::string& key,
                               const absl::StatusOr<store::CommitResult>& result) {
  const bool committed = result.ok() && result->outcome == store::CommitOutcome::kCommitted;
  const bool conflict = result.ok() && result->outcome == store::CommitOutcome::kConflict;
  log_.Write(LogLevel::kWarning, "lost_item_written",
             {{"key", key}, {"committed", committed}, {"known", result.ok()}});
  const auto found = lost_.find(key);
  if (committed || found == lost_.end()) return;
  found->second.writing = false;
  // Somebody else wrote it, and the watch brings that; or removed what was there.
  if (conflict && result->found.empty()) found->second.present = 0;
  if (conflict && !result->found.empty()) lost_.erase(found);
}

}  // namespace runshelf::sidecar
