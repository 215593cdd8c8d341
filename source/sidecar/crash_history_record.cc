#include "source/sidecar/crash_history_record.h"

#include <absl/strings/numbers.h>

#include <utility>

#include "source/sidecar/part_configs.h"

namespace runshelf::sidecar {
namespace {

constexpr std::string_view kKeptText = "kept";
constexpr std::string_view kLostText = "lost";
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
// Surviving nodes have written their record by then: they write lost items within 1.5 s, and the
// record after that. The delay is random so that nodes write at different times.
constexpr Duration kWriteDelayMin = std::chrono::seconds(3);
constexpr Duration kWriteDelayMax = std::chrono::seconds(6);
// The lifetime of termination records and quarantine items.
constexpr Duration kLossRecordLifetime = std::chrono::minutes(10);

std::string KeyOfEra(store::StoreEra era) {
  return KeyOf(kCrashHistoryPrefix, std::to_string(era));
}

}  // namespace

CrashHistoryRecord::CrashHistoryRecord(CrashHistoryRecordContext context)
    : context_(std::move(context)),
      timer_(context_.loop, [this] { WriteIfMissing(); }),
      may_be_incomplete_(!context_.first_start) {}

bool CrashHistoryRecord::HasPresentRecord() const {
  return era_.has_value() && *era_ >= context_.store.era();
}

store::Item CrashHistoryRecord::ItemOfEra(store::StoreEra era) const {
  store::Item item;
  item.key = KeyOfEra(era);
  const bool lost = MayBeIncomplete();
  item.value = std::string(lost ? kLostText : kKeptText);
  item.lease = lost ? 1 : 0;
  return item;
}

bool CrashHistoryRecord::OnItem(const store::Item& item) {
  store::StoreEra era = 0;
  if (!absl::SimpleAtoi(NameAfter(item.key, kCrashHistoryPrefix), &era)) return false;
  if (item.value != kKeptText && item.value != kLostText) return false;
  // A restored store contains the records of earlier eras.
  if (era < context_.store.era() || (era_.has_value() && era < *era_)) return true;
  era_ = era;
  may_be_incomplete_ = item.value == kLostText;
  lapsed_ = false;
  NotifyChanged();
  return true;
}

void CrashHistoryRecord::OnRemoved(const std::string& key) {
  if (!HasPresentRecord() || key != KeyOfEra(context_.store.era())) return;
  may_be_incomplete_ = false;
  lapsed_ = true;
  NotifyChanged();
  OnSynchronized();
}

void CrashHistoryRecord::OnSynchronized() {
  // Surviving nodes write the record of a new era together with the lost items (LostItemWriter).
  const bool missing = lapsed_ || (!HasPresentRecord() && !context_.store.restored());
  NotifyChanged();
  if (!missing || timer_.active()) return;
  missing_since_ = context_.loop.Now();
  WriteIfMissing();
}

void CrashHistoryRecord::WriteIfMissing() {
  if (!lapsed_ && HasPresentRecord()) return;
  timer_.Start(kCheckInterval);
  const bool may_write_at_once = context_.first_start || lapsed_;
  const bool first = may_write_at_once && context_.writes_first();
  const Duration waited = context_.loop.Now() - missing_since_;
  if (!first && !WriteDelayElapsed(waited)) return;
  // Retries after the same delay if this write fails.
  missing_since_ = context_.loop.Now();
  if (!lapsed_ && MayBeIncomplete()) {
    context_.store.GrantLease(
        kLossRecordLifetime, [this](const absl::StatusOr<store::Lease>& lease) {
          const bool present = lease.ok() && lease->era == context_.store.era();
          if (present && !HasPresentRecord()) Write(CrashHistory::kLost, lease->id);
        });
    return;
  }
  Write(CrashHistory::kKept, 0);
}

bool CrashHistoryRecord::WriteDelayElapsed(Duration waited) {
  if (waited < kWriteDelayMin) return false;
  if (!write_delay_.has_value())
    write_delay_ = context_.random.Between(kWriteDelayMin, kWriteDelayMax);
  return waited >= *write_delay_;
}

void CrashHistoryRecord::Write(CrashHistory history, store::LeaseId lease) {
  const std::string key = KeyOfEra(context_.store.era());
  store::Transaction transaction;
  transaction.purpose = "crash_history";
  transaction.conditions.push_back({key, 0});
  const std::string value(history == CrashHistory::kLost ? kLostText : kKeptText);
  transaction.puts.push_back({key, value, lease});
  context_.store.Commit(
      transaction, [this, key, value](const absl::StatusOr<store::CommitResult>& result) {
        const bool committed = result.ok() && result->outcome == store::CommitOutcome::kCommitted;
        context_.log.Write(LogLevel::kInfo, "memory_record_written",
                           {{"key", key}, {"value", value}, {"committed", committed}});
      });
}

void CrashHistoryRecord::NotifyChanged() {
  if (on_changed_) on_changed_();
}

}  // namespace runshelf::sidecar
