#include "tools/platform_standin/revision_store.h"

#include <algorithm>

namespace runshelf::platform_standin {
namespace {

const std::string kAllKeysFromFirst(1, '\0');
constexpr unsigned char kLargestByte = 0xff;

int64_t TargetValue(const Item& item, CompareTarget target) {
  switch (target) {
    case CompareTarget::kVersion:
      return item.version;
    case CompareTarget::kCreateRevision:
      return item.key_value.create_revision;
    case CompareTarget::kModRevision:
      return item.key_value.mod_revision;
  }
  return 0;
}

bool ResultHolds(int64_t actual, CompareResult result, int64_t expected) {
  switch (result) {
    case CompareResult::kEqual:
      return actual == expected;
    case CompareResult::kNotEqual:
      return actual != expected;
    case CompareResult::kGreater:
      return actual > expected;
    case CompareResult::kLess:
      return actual < expected;
  }
  return false;
}

// Whether some key is put twice, or put and deleted.
bool WritesAKeyTwice(const std::vector<Operation>& operations) {
  std::set<std::string> put_keys;
  for (const Operation& operation : operations) {
    const auto* put = std::get_if<PutOperation>(&operation);
    if (put != nullptr && !put_keys.insert(put->key).second) return true;
  }
  for (const Operation& operation : operations) {
    const auto* removal = std::get_if<DeleteOperation>(&operation);
    if (removal == nullptr) continue;
    const bool overlaps =
        std::any_of(put_keys.begin(), put_keys.end(),
                    [&](const std::string& key) { return removal->range.Contains(key); });
    if (overlaps) return true;
  }
  return false;
}

}  // namespace

bool KeyRange::Contains(const std::string& key) const {
  if (end.empty()) return key == first;
  if (end == kAllKeysFromFirst) return key >= first;
  return key >= first && key < end;
}

KeyRange PrefixRange(const std::string& prefix) {
  std::string end = prefix;
  while (!end.empty() && static_cast<unsigned char>(end.back()) == kLargestByte) end.pop_back();
  if (end.empty()) return {prefix.empty() ? kAllKeysFromFirst : prefix, kAllKeysFromFirst};
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return {prefix, end};
}

ItemRange RevisionStore::Range(const KeyRange& range) const {
  ItemRange result;
  result.revision = revision_;
  for (auto entry = items_.lower_bound(range.first); entry != items_.end(); ++entry) {
    if (!range.Contains(entry->first)) break;
    result.items.push_back(entry->second);
  }
  return result;
}

bool RevisionStore::Holds(const Compare& compare) const {
  const auto entry = items_.find(compare.key);
  const Item item = entry == items_.end() ? Item{} : entry->second;
  return ResultHolds(TargetValue(item, compare.target), compare.result, compare.value);
}

absl::Status RevisionStore::Validate(const std::vector<Operation>& operations) const {
  if (operations.size() > kMaxOperationsPerTransaction) {
    return absl::InvalidArgumentError("etcdserver: too many operations in txn request");
  }
  for (const Operation& operation : operations) {
    const auto* put = std::get_if<PutOperation>(&operation);
    const std::string& key =
        put != nullptr ? put->key : std::get<DeleteOperation>(operation).range.first;
    if (key.empty()) return absl::InvalidArgumentError("etcdserver: key is not provided");
    if (put != nullptr && put->lease != 0 && leases_.count(put->lease) == 0) {
      return absl::NotFoundError("etcdserver: requested lease not found");
    }
  }
  if (WritesAKeyTwice(operations)) {
    return absl::InvalidArgumentError("etcdserver: duplicate key given in txn request");
  }
  return absl::OkStatus();
}

absl::StatusOr<TransactionResult> RevisionStore::Commit(const Transaction& transaction) {
  if (transaction.compares.size() > kMaxOperationsPerTransaction) {
    return absl::InvalidArgumentError("etcdserver: too many operations in txn request");
  }
  for (const std::vector<Operation>* branch : {&transaction.success, &transaction.failure}) {
    if (absl::Status status = Validate(*branch); !status.ok()) return status;
  }
  TransactionResult result;
  result.succeeded = std::all_of(transaction.compares.begin(), transaction.compares.end(),
                                 [this](const Compare& compare) { return Holds(compare); });
  result.operations = result.succeeded ? transaction.success : transaction.failure;

  const int64_t next_revision = revision_ + 1;
  bool changed = false;
  for (const Operation& operation : result.operations) {
    int64_t deleted = 0;
    if (const auto* put = std::get_if<PutOperation>(&operation)) {
      Put(*put, next_revision);
      changed = true;
    } else {
      deleted = Delete(std::get<DeleteOperation>(operation).range, next_revision);
      changed = changed || deleted > 0;
    }
    result.deleted_counts.push_back(deleted);
  }
  if (changed) revision_ = next_revision;
  LimitHistory();
  result.revision = revision_;
  return result;
}

void RevisionStore::Put(const PutOperation& operation, int64_t revision) {
  Item& item = items_[operation.key];
  if (item.version == 0) {
    item.key_value.key = operation.key;
    item.key_value.create_revision = revision;
  }
  Detach(item);
  item.key_value.value = operation.value;
  item.key_value.mod_revision = revision;
  item.key_value.lease = operation.lease;
  ++item.version;
  if (operation.lease != 0) leases_.at(operation.lease).keys.insert(operation.key);
  history_.push_back({false, item});
}

int64_t RevisionStore::Delete(const KeyRange& range, int64_t revision) {
  int64_t deleted = 0;
  auto entry = items_.lower_bound(range.first);
  while (entry != items_.end() && range.Contains(entry->first)) {
    Detach(entry->second);
    ChangeEvent event;
    event.deleted = true;
    event.item.key_value.key = entry->first;
    event.item.key_value.mod_revision = revision;
    history_.push_back(std::move(event));
    entry = items_.erase(entry);
    ++deleted;
  }
  return deleted;
}

void RevisionStore::Detach(const Item& item) {
  const auto lease = leases_.find(item.key_value.lease);
  if (lease != leases_.end()) lease->second.keys.erase(item.key_value.key);
}

absl::StatusOr<int64_t> RevisionStore::GrantLease(Instant now, Duration time_to_live) {
  if (time_to_live <= Duration::zero()) {
    return absl::InvalidArgumentError("etcdserver: lease TTL must be positive");
  }
  const int64_t lease = next_lease_++;
  leases_[lease] = Lease{time_to_live, now + time_to_live, {}};
  earliest_expiry_ = std::min(earliest_expiry_, now + time_to_live);
  return lease;
}

absl::StatusOr<Duration> RevisionStore::KeepLeaseAlive(Instant now, int64_t lease) {
  const auto entry = leases_.find(lease);
  if (entry == leases_.end()) {
    return absl::NotFoundError("etcdserver: requested lease not found");
  }
  entry->second.expires_at = now + entry->second.time_to_live;
  return entry->second.time_to_live;
}

absl::Status RevisionStore::RevokeLease(int64_t lease) {
  const auto entry = leases_.find(lease);
  if (entry == leases_.end()) {
    return absl::NotFoundError("etcdserver: requested lease not found");
  }
  const std::set<std::string> keys = std::move(entry->second.keys);
  leases_.erase(entry);
  const int64_t next_revision = revision_ + 1;
  for (const std::string& key : keys) {
    if (Delete({key, ""}, next_revision) > 0) revision_ = next_revision;
  }
  LimitHistory();
  return absl::OkStatus();
}

void RevisionStore::ExpireLeases(Instant now) {
  if (now < earliest_expiry_) return;
  std::vector<int64_t> lapsed;
  earliest_expiry_ = Instant::max();
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now) {
      lapsed.push_back(id);
    } else {
      earliest_expiry_ = std::min(earliest_expiry_, lease.expires_at);
    }
  }
  for (const int64_t id : lapsed) (void)RevokeLease(id);
}

absl::StatusOr<EventBatch> RevisionStore::Events(const KeyRange& range, int64_t start_revision,
                                                 size_t max_events) const {
  if (start_revision <= compacted_revision_) {
    return absl::OutOfRangeError("etcdserver: mvcc: required revision has been compacted");
  }
  EventBatch batch;
  batch.revision = revision_;
  auto entry = std::lower_bound(history_.begin(), history_.end(), start_revision,
                                [](const ChangeEvent& event, int64_t revision) {
                                  return event.item.key_value.mod_revision < revision;
                                });
  for (; entry != history_.end(); ++entry) {
    const int64_t event_revision = entry->item.key_value.mod_revision;
    const bool starts_revision =
        batch.events.empty() || batch.events.back().item.key_value.mod_revision != event_revision;
    if (starts_revision && batch.events.size() >= max_events) {
      batch.revision = event_revision - 1;
      break;
    }
    if (range.Contains(entry->item.key_value.key)) batch.events.push_back(*entry);
  }
  return batch;
}

absl::Status RevisionStore::Compact(int64_t revision) {
  if (revision <= compacted_revision_) {
    return absl::OutOfRangeError("etcdserver: mvcc: required revision has been compacted");
  }
  if (revision > revision_) {
    return absl::OutOfRangeError("etcdserver: mvcc: required revision is a future revision");
  }
  DropHistory(revision);
  return absl::OkStatus();
}

void RevisionStore::DropHistory(int64_t revision) {
  while (!history_.empty() && history_.front().item.key_value.mod_revision <= revision) {
    history_.pop_front();
  }
  compacted_revision_ = std::max(compacted_revision_, revision);
}

void RevisionStore::LimitHistory() {
  while (history_.size() > history_limit_) {
    DropHistory(history_.front().item.key_value.mod_revision);
  }
}

}  // namespace runshelf::platform_standin
