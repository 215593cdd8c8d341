#include "source/sidecar/lost_items.h"

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

// Nodes write at different times: once the first node's items arrive, the others need not write
// theirs.
constexpr Duration kWriteDelayMin = std::chrono::milliseconds(20);
constexpr Duration kWriteDelayMax = std::chrono::milliseconds(1500);
constexpr Duration kWriteRetry = std::chrono::milliseconds(500);
// The longest lease that the store grants. The user of an item with a lease renews it.
constexpr Duration kLeaseTime = std::chrono::minutes(10);

}  // namespace

LostItemWriter::LostItemWriter(event::EventLoop& loop, store::StoreClient& store, Random& random,
                               LogWriter& log)
    : store_(store), random_(random), log_(log), timer_(loop, [this] { WriteAll(); }) {}

void LostItemWriter::OnWritten(const store::Item& item) {
  if (store::EraOf(item.revision) >= store::EraOf(era_began_)) {
    store::Item& unconfirmed = unconfirmed_[item.key];
    if (item.revision > unconfirmed.revision) unconfirmed = item;
    return;
  }
  // The response arrived after the next era had begun.
  AddLost(item, 0);
  WriteKeys({item.key});
  if (!timer_.active()) timer_.Start(kWriteRetry);
}

void LostItemWriter::OnEraBegan(const store::EraChange& change, const store::Item& completion,
                                bool writes_first) {
  era_began_ = change.revision;
  writes_first_ = writes_first;
  Items known = change.former;
  // What the watch reported for a lost item was the loss itself, so that the last known version
  // remains.
  for (const auto& [key, lost] : std::exchange(lost_, {})) {
    if (key != completion_key_) known[key] = lost.item;
  }
  completion_key_ = completion.key;
  completion_.reset();
  if (!change.present.contains(completion.key)) completion_ = completion;
  const std::vector<std::string> own = TakeUnconfirmed(&known);
  for (const auto& [key, item] : known) AddIfLost(item, change.present);
  AddCompletionIfDue();
  WriteKeys(own);
  if (!lost_.empty()) timer_.Start(WriteDelay());
}

Duration LostItemWriter::WriteDelay() {
  return writes_first_ ? kWriteDelayMin : random_.Between(kWriteDelayMin, kWriteDelayMax);
}

void LostItemWriter::AddCompletionIfDue() {
  if (!lost_.empty() || !completion_.has_value()) return;
  AddLost(*completion_, 0);
  completion_.reset();
  timer_.Start(WriteDelay());
}

std::vector<std::string> LostItemWriter::TakeUnconfirmed(Items* known) {
  std::vector<std::string> keys;
  std::erase_if(unconfirmed_, [&](const auto& entry) {
    const auto& [key, item] = entry;
    if (store::EraOf(item.revision) >= store::EraOf(era_began_)) return false;
    store::Item& latest = (*known)[key];
    if (item.revision > latest.revision) {
      latest = item;
      keys.push_back(key);
    }
    return true;
  });
  return keys;
}

void LostItemWriter::AddIfLost(const store::Item& item, const Items& present) {
  const auto found = present.find(item.key);
  if (found == present.end()) return AddLost(item, 0);
  const bool older = found->second.value != item.value &&
                     store::CounterOf(found->second.revision) < store::CounterOf(item.revision);
  if (older) AddLost(item, found->second.revision);
}

void LostItemWriter::AddLost(const store::Item& item, store::Revision present) {
  LostItem lost;
  lost.item = item;
  lost.present = present;
  lost.loss_revision = era_began_;
  lost_[item.key] = std::move(lost);
}

bool LostItemWriter::OnItem(const store::Item& item) {
  const auto unconfirmed = unconfirmed_.find(item.key);
  if (unconfirmed != unconfirmed_.end() && item.revision >= unconfirmed->second.revision)
    unconfirmed_.erase(unconfirmed);
  const auto found = lost_.find(item.key);
  if (found == lost_.end()) return true;
  if (item.revision <= found->second.loss_revision) return false;
  lost_.erase(found);
  AddCompletionIfDue();
  return true;
}

void LostItemWriter::WriteAll() {
  if (lost_.empty()) return;
  timer_.Start(kWriteRetry);
  std::vector<std::string> keys;
  for (const auto& [key, lost] : lost_) keys.push_back(key);
  WriteKeys(keys);
}

void LostItemWriter::WriteKeys(const std::vector<std::string>& keys) {
  std::vector<std::string> to_write;
  bool leased = false;
  for (const std::string& key : keys) {
    const auto found = lost_.find(key);
    if (found == lost_.end() || std::exchange(found->second.writing, true)) continue;
    to_write.push_back(key);
    leased = leased || found->second.item.lease != 0;
  }
  if (!leased) {
    for (const std::string& key : to_write) Write(key, 0);
    return;
  }
  store_.GrantLease(kLeaseTime, [this, to_write](const absl::StatusOr<store::Lease>& lease) {
    const bool present = lease.ok() && lease->era == store_.era();
    for (const std::string& key : to_write) Write(key, present ? lease->id : 0);
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
  transaction.purpose = "lost_item";
  transaction.conditions.push_back({key, lost.present});
  transaction.puts.push_back({key, lost.item.value, needs_lease ? lease : 0});
  store_.Commit(transaction, [this, key, loss_revision = lost.loss_revision](
                                 const absl::StatusOr<store::CommitResult>& result) {
    OnCommitResult(key, loss_revision, result);
  });
}

// Committed items are kept until a watch delivers them, because the store may be restored before
// that.
void LostItemWriter::OnCommitResult(const std::string& key, store::Revision loss_revision,
                                    const absl::StatusOr<store::CommitResult>& result) {
  const bool committed = result.ok() && result->outcome == store::CommitOutcome::kCommitted;
  const bool conflict = result.ok() && result->outcome == store::CommitOutcome::kConflict;
  log_.Write(LogLevel::kWarning, "lost_item_written",
             {{"key", key}, {"committed", committed}, {"known", result.ok()}});
  const auto found = lost_.find(key);
  if (found == lost_.end() || found->second.loss_revision != loss_revision) return;
  if (committed) return;
  if (conflict) return OnConflict(&found->second, *result);
  found->second.writing = false;
}

void LostItemWriter::OnConflict(LostItem* lost, const store::CommitResult& result) {
  const store::Revision present = result.found.empty() ? 0 : result.found.front().revision;
  // Another node wrote the item, and the watch will deliver it.
  if (present > lost->loss_revision) return;
  // The item was removed, or the version in the store is part of the loss.
  lost->present = present;
  lost->writing = false;
}

}  // namespace runshelf::sidecar
